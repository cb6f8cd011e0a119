//! The entry's side of one target: connections, exchanges, queue and retry budget.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use pg::{Frame, Severity, Status};
use pool::connection::Id;
use pool::connection::{Limits, Pool};
use pool::queue::{Limits as QueueLimits, Queue};
use pool::retry::Budget;
use pool::service_time::Table;
use pool::{Class, Key, Submission, Ticket};
use relay::statement::{Cache, Names, Table as Statements};
use relay::{Exchange, Progress};
use types::Term;
use types::target::Role;

use crate::event::Event;

const MAX_FRAME: usize = 1 << 16;

struct Connection {
    caller: String,
    exchange: Exchange,
    prepared: Cache,
}

pub struct Backend {
    pool: Pool,
    busy: BTreeMap<Id, Connection>,
    statements: Statements,
    queue: Queue,
    shapes: Table,
    budget: Budget,
}

impl Backend {
    pub fn new(now: Instant) -> Self {
        let idle_timeout = Duration::from_secs(3600);
        let limits = Limits {
            quota: 0,
            min_live: 0,
            idle_timeout,
        };
        Self {
            pool: Pool::new(limits),
            busy: BTreeMap::new(),
            statements: Statements::default(),
            queue: Queue::new(queue_limits()),
            shapes: Table::default(),
            budget: Budget::new(Duration::from_secs(10), now),
        }
    }

    /// Handles an event of the target's connections; `None` if the event is not one of these.
    pub fn on_event(&mut self, now: Instant, event: &Event) -> Option<String> {
        let mut text = String::new();
        match event.event.as_str() {
            "connections" => text = self.connect(now, u32::try_from(event.count).unwrap()),
            "ask" => text = self.send_batch(event),
            "answer" => text = self.on_answer(now, event.connection, &event.frames),
            "lost" => self.close(Id(event.connection)),
            "submit" => text = self.submit(now, event.wait),
            "schedule" => text = self.schedule(now),
            "finish" => self
                .queue
                .finish(Ticket(event.ticket), &mut self.shapes, now),
            "drain" => {
                let mut tickets = Vec::new();
                self.queue.drain(&mut tickets);
                text = join(tickets.iter().map(|ticket| ticket.0.to_string()));
            }
            "requests" => (0..event.count).for_each(|_| self.budget.on_request(now)),
            "retry" => {
                let allowed = self.budget.try_spend(now);
                text = if allowed { "allowed" } else { "refused" }.to_owned();
            }
            _ => return None,
        }
        Some(text)
    }

    fn connect(&mut self, now: Instant, count: u32) -> String {
        let mut actions = Vec::new();
        self.pool.set_quota(count, &mut actions);
        self.pool.on_demand(count, now, &mut actions);
        for action in actions {
            if let pool::Action::Open(id) = action {
                self.pool.on_opened(id, now, &mut Vec::new());
            }
        }
        format!("{} idle", self.pool.count().idle)
    }

    /// Sends a batch on the connection of the caller's open transaction, or on an idle one.
    fn send_batch(&mut self, event: &Event) -> String {
        let Event {
            caller,
            sql,
            write,
            request,
            ..
        } = event;
        let open = self.busy.iter().find(|(_, c)| c.caller == *caller);
        let Some(id) = open.map(|(id, _)| *id).or_else(|| self.pool.acquire()) else {
            return "waits".to_owned();
        };
        let connection = self.busy.entry(id).or_insert_with(|| Connection {
            caller: caller.clone(),
            exchange: Exchange::default(),
            prepared: Cache::default(),
        });
        let (exchange, mut out) = (&mut connection.exchange, BytesMut::new());
        exchange.begin_batch();
        if *write {
            exchange.hold_completions();
        }
        if *request {
            exchange.substitute(sql, pg::SET_COMPLETE, &mut out);
        } else {
            let mut bytes = BytesMut::new();
            pg::query(&mut bytes, sql.as_bytes());
            let frame = Frame::first(&bytes, MAX_FRAME).unwrap().unwrap();
            let (names, prepared) = (&mut Names::default(), &mut connection.prepared);
            exchange
                .request(frame, names, &mut self.statements, prepared, &mut out)
                .unwrap();
        }
        if *write {
            exchange.query_position(&mut out);
        }
        format!("on {}", id.0)
    }

    /// Returns what the caller receives of the target's answers, and the state of the connection.
    fn on_answer(&mut self, now: Instant, id: u64, frames: &[String]) -> String {
        let id = Id(id);
        let Some(connection) = self.busy.get_mut(&id) else {
            return "nobody".to_owned();
        };
        let (mut out, mut progress) = (BytesMut::new(), Progress::Pending);
        for text in frames {
            let bytes = parse_frame(text);
            let frame = Frame::first(&bytes, MAX_FRAME).unwrap().unwrap();
            match connection
                .exchange
                .answer(frame, &mut connection.prepared, &mut out)
            {
                Ok(current) => progress = current,
                Err(failure) => {
                    let received = describe_frames(&connection.caller, &out);
                    self.close(id);
                    return format!("{received}; closed: {failure}");
                }
            }
        }
        let received = describe_frames(&connection.caller, &out);
        let idle = connection.exchange.status() == Status::Idle;
        if progress == Progress::Done && idle && connection.exchange.position().is_none() {
            self.release_connection(now, id);
            return format!("{received}; free");
        }
        received
    }

    /// Forwards the held completion if the term allows it; otherwise reports an unknown outcome.
    pub fn release(
        &mut self,
        now: Instant,
        id: u64,
        may_acknowledge: impl Fn(Term) -> Result<(), &'static str>,
    ) -> String {
        let id = Id(id);
        let Some(connection) = self.busy.get_mut(&id) else {
            return "nobody".to_owned();
        };
        let (held, caller) = (connection.exchange.take_held(), connection.caller.clone());
        let answer = connection
            .exchange
            .position()
            .filter(|answer| answer.role == Role::Primary);
        let verdict = answer.map_or(Err("no_position"), |answer| {
            may_acknowledge(answer.point.term)
        });
        if let Err(reason) = verdict {
            self.close(id);
            return format!("{caller}: 08007 {reason}; closed");
        }
        self.release_connection(now, id);
        format!("{}; free", describe_frames(&caller, &held))
    }

    fn close(&mut self, id: Id) {
        self.busy.remove(&id);
        self.pool.discard(id, &mut Vec::new());
        self.pool.on_closed(id);
    }

    fn release_connection(&mut self, now: Instant, id: Id) {
        self.busy.remove(&id);
        self.pool.release(id, now, &mut Vec::new());
    }

    fn submit(&mut self, now: Instant, wait: u64) -> String {
        let deadline = now + Duration::from_millis(wait);
        let submission = Submission {
            key: Key(1),
            class: Class::Interactive,
            deadline,
        };
        match self.queue.submit(submission, &self.shapes, now) {
            Ok(ticket) => format!("ticket {}", ticket.0),
            Err(refusal) => refusal.sqlstate().to_owned(),
        }
    }

    fn schedule(&mut self, now: Instant) -> String {
        let mut events = Vec::new();
        self.queue
            .schedule(usize::MAX, &mut self.shapes, now, &mut events);
        let text = |event| match event {
            pool::Event::Start(ticket) => format!("start {}", ticket.0),
            pool::Event::Refuse(ticket, reason) => {
                format!("refuse {} {}", ticket.0, reason.sqlstate())
            }
        };
        join(events.into_iter().map(text))
    }
}

fn join(texts: impl Iterator<Item = String>) -> String {
    texts.collect::<Vec<_>>().join(", ")
}

const fn queue_limits() -> QueueLimits {
    QueueLimits {
        slots: 1,
        long_max: 1,
        waiting_max: 2,
        long_after: Duration::from_secs(60),
        max_aging_time: Duration::from_secs(60),
    }
}

/// Builds a frame from its short form in a trace: tag, colon, content.
fn parse_frame(text: &str) -> BytesMut {
    let (tag, content) = text.split_once(':').unwrap_or((text, ""));
    let mut out = BytesMut::new();
    match tag {
        "C" => pg::command_complete(&mut out, content),
        "D" => pg::text_row(&mut out, content),
        "T" => pg::text_column(&mut out, content),
        "E" => pg::error_response(&mut out, Severity::Error, content, "recorded"),
        "Z" => pg::ready_for_query(
            &mut out,
            match content {
                "I" => Status::Idle,
                "T" => Status::Open,
                _ => Status::Failed,
            },
        ),
        // Role, term and lsn, as in the row of the position query.
        "P" => {
            let mut body = vec![0, 3];
            for column in content.split(' ') {
                body.extend(u32::try_from(column.len()).unwrap().to_be_bytes());
                body.extend(column.as_bytes());
            }
            out.extend_from_slice(b"D");
            out.extend_from_slice(&u32::try_from(4 + body.len()).unwrap().to_be_bytes());
            out.extend_from_slice(&body);
        }
        _ => panic!("unknown frame: {text}"),
    }
    out
}

/// The short form of the frames that a caller receives.
fn describe_frames(caller: &str, mut bytes: &[u8]) -> String {
    let mut texts = vec![format!("{caller}:")];
    while let Some(frame) = Frame::first(bytes, MAX_FRAME).unwrap() {
        bytes = &bytes[frame.raw.len()..];
        let code = frame.error_field(b'C').filter(|_| frame.tag == b'E');
        let row = frame
            .columns()
            .flatten()
            .next()
            .filter(|_| frame.tag == b'D');
        let content = match (code.or(row), frame.tag) {
            (Some(content), _) => content,
            (None, b'C') => &frame.raw[5..frame.raw.len() - 1],
            (None, b'Z') => &frame.raw[5..],
            (None, _) => b"",
        };
        let content = String::from_utf8_lossy(content);
        texts.push(format!("{}:{content}", char::from(frame.tag)));
    }
    texts.join(" ")
}
