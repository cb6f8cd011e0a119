//! Streams on which entries claim tokens of the tenants' rate limits. Only the leader issues tokens.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use clock::{Boot, Clock as _, Moment, Suspension};
use ratelimit::{Claim, Issue, Issuer, Limit};
use registry::Plan;
use tokio::sync::mpsc;

use crate::api::Api;
use crate::event::{Event, StreamId};
use crate::process::{Loop, now};
use crate::servers::Connection;

/// Length of the queue of issues of a stream. An entry has one claim under way at a time.
const QUEUE_LEN: usize = 4;
/// Streams that are kept. Each holds a file descriptor, of which a coordinator has 4,096 in all, and
/// there are fewer entries.
const MAX_STREAMS: usize = 512;
/// Entries whose latest streams are remembered. Names of entries that are gone stay until this
/// instance no longer leads.
const MAX_ENTRIES: usize = 4096;
/// Time without issues after a suspension of the machine. The confirmation of the leadership does not
/// count suspended time, so another leader may issue tokens meanwhile.
const SUSPENSION_PAUSE: Duration = Duration::from_secs(1);

/// Lifetime of tokens at the entries (`TOKEN_LIFETIME` in the crate `proxy`), which do not know the
/// coordinators' settings. The issuer must not forget tokens that an entry may still spend.
const MIN_LIFETIME: Duration = Duration::from_secs(5);

/// The issuer of this instance while it leads, and its state.
#[derive(Debug)]
struct ActiveIssuer {
    limit: Limit,
    issuer: Issuer<String, StreamId>,
    suspension: Suspension,
    /// End of the pause after a suspension.
    paused_until: Option<Instant>,
    /// Whether the plan limits a tenant.
    has_limits: bool,
}

#[derive(Debug)]
struct Stream {
    outgoing: mpsc::Sender<wire::Issue>,
    /// The claim that is to be answered.
    claim: Option<Claim<String>>,
}

/// Streams of entries, and the issuer while this instance leads. Without an issuer there are no
/// streams: they are closed, and the entries connect to the next leader.
#[derive(Debug, Default)]
pub struct Rates {
    active: Option<ActiveIssuer>,
    streams: BTreeMap<StreamId, Stream>,
    /// Latest stream of each entry, which may have ended. Invariant: at most `MAX_ENTRIES`.
    latest: BTreeMap<String, StreamId>,
}

impl Rates {
    /// Starts an issuer, as this instance begins to lead.
    pub fn start(&mut self, limit: settings::RateLimit, plan: &Plan) {
        let moment = Boot.moment();
        let limit = Limit {
            lifetime: limit.window.max(MIN_LIFETIME),
            slack: limit.slack,
        };
        self.active = Some(ActiveIssuer {
            limit,
            issuer: Issuer::new(moment, limit),
            suspension: Suspension::new(now(), moment),
            paused_until: None,
            has_limits: false,
        });
        self.set_plan(plan);
    }

    /// Ends the issuer and closes all streams, as this instance no longer leads.
    pub fn stop(&mut self) {
        self.active = None;
        self.streams.clear();
        self.latest.clear();
    }

    /// Sets the limits to those of a plan.
    pub fn set_plan(&mut self, plan: &Plan) {
        let Some(active) = &mut self.active else {
            return;
        };
        let tenants = plan.tenants.iter();
        let limit = active.limit;
        let limits =
            tenants.filter_map(|(name, tenant)| Some((name.clone(), limit.spread(tenant.rate?))));
        let limits: Vec<_> = limits.collect();
        if !active.has_limits && !limits.is_empty() {
            tracing::info!(
                limits = limits.len(),
                version = plan.version,
                "issuer of rate limit tokens started"
            );
        }
        active.has_limits = !limits.is_empty();
        active.issuer.set_rates(Boot.moment(), limits.into_iter());
    }

    /// Accepts a stream, or closes it if this instance does not lead.
    pub fn open(&mut self, id: StreamId, outgoing: mpsc::Sender<wire::Issue>) {
        if self.active.is_some() && self.streams.len() < MAX_STREAMS {
            let claim = None;
            self.streams.insert(id, Stream { outgoing, claim });
        }
    }

    /// Has the stream of an entry take the place of its earlier one.
    fn replace(&mut self, moment: Moment, instance: &str, id: StreamId) {
        let has_room = self.latest.len() < MAX_ENTRIES;
        let earlier = match self.latest.get_mut(instance) {
            Some(latest) if *latest != id => std::mem::replace(latest, id),
            None if has_room => {
                self.latest.insert(instance.to_owned(), id);
                return;
            }
            Some(_) | None => return,
        };
        self.streams.remove(&earlier);
        if let Some(active) = &mut self.active {
            active.issuer.on_replaced(moment, earlier, id);
        }
    }

    fn close(&mut self, moment: Moment, id: StreamId) {
        if self.streams.remove(&id).is_some()
            && let Some(active) = &mut self.active
        {
            active.issuer.on_lost(moment, id);
        }
    }

    /// Answers the claims that wait, unless the machine was suspended. `is_confirmed` tells whether a
    /// quorum confirms that this instance leads.
    fn answer(
        &mut self,
        now: Instant,
        moment: Moment,
        is_confirmed: bool,
        mut on_answer: impl FnMut(&Claim<String>, &Issue<String>),
    ) {
        let Some(active) = &mut self.active else {
            return;
        };
        if active.suspension.detect(now, moment) {
            tracing::warn!("machine was suspended; issuer of rate limit tokens starts again");
            active.issuer.restart(moment);
            active.paused_until = Some(now + SUSPENSION_PAUSE);
        }
        if !is_confirmed || active.paused_until.is_some_and(|until| now < until) {
            return;
        }
        let mut closed = Vec::new();
        for (id, stream) in &mut self.streams {
            let Some(claim) = stream.claim.take() else {
                continue;
            };
            let issue = active.issuer.on_claim(moment, *id, &claim);
            on_answer(&claim, &issue);
            if stream.outgoing.try_send(issue.into()).is_err() {
                closed.push(*id);
            }
        }
        for id in closed {
            self.close(moment, id);
        }
    }
}

/// Reports the claims on a stream to the loop until the stream ends.
pub async fn receive(stream: link::Stream, id: StreamId, events: mpsc::Sender<Event>) {
    let (sender, outgoing) = mpsc::channel(QUEUE_LEN);
    if events.send(Event::RateOpened(id, sender)).await.is_ok() {
        let to_event = move |event| Event::Rate(id, event);
        stream.run(outgoing, events, to_event).await;
    }
}

impl<A: Api, C: Connection> Loop<A, C> {
    pub(crate) fn on_rate(&mut self, id: StreamId, event: link::Event<wire::Claim>) {
        let claim = match event {
            link::Event::Message(claim) => {
                if self.rates.streams.contains_key(&id) {
                    self.rates.replace(Boot.moment(), &claim.instance, id);
                }
                Claim::try_from(claim)
            }
            link::Event::Closed(_) => return self.rates.close(Boot.moment(), id),
        };
        match claim {
            Ok(claim) => {
                if let Some(stream) = self.rates.streams.get_mut(&id) {
                    stream.claim = Some(claim);
                }
            }
            Err(error) => {
                tracing::warn!(error = %format!("{error:#}"), "invalid claim of an entry; closing its stream");
                self.metrics.common.refusals.add("invalid");
                self.rates.close(Boot.moment(), id);
            }
        }
    }

    /// Answers the claims that have arrived, while a quorum confirms that this instance leads. Others
    /// stay until it does, or until their streams end.
    pub(crate) fn answer_claims(&mut self) {
        let moment = Boot.moment();
        // Events of this turn may have taken long, so its time can't tell whether a quorum still
        // confirms.
        let now = now();
        let is_confirmed = self.leadership.is_some() && self.node.leader_confirmed(now);
        let metrics = &self.metrics;
        self.rates
            .answer(now, moment, is_confirmed, |claim, issue| {
                let issued: u64 = issue
                    .grants
                    .iter()
                    .map(|grant| u64::from(grant.tokens))
                    .sum();
                metrics.tokens_issued.inc_by(issued);
                for grant in &issue.grants {
                    let mut needs = claim.needs.iter();
                    let need = needs.find(|need| need.tenant == grant.tenant);
                    let waiting = need.map_or(0, |need| need.waiting);
                    metrics
                        .tokens_short
                        .inc_by(waiting.saturating_sub(grant.tokens).into());
                }
            });
    }
}
