//! Connections, exchanges, queue and retries for one target of an entry.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use pg::{Frame, Severity, Status};
use pool::connection::Id;
use pool::connection::{Limits, Pool};
use pool::queue::{Limits as Bounds, Queue};
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

pub struct Back {
    pool: Pool,
    used: BTreeMap<Id, Connection>,
    statements: Statements,
    queue: Queue,
    shapes: Table,
    budget: Budget,
}

impl Back {
    pub fn new(now: Instant) -> Self {
        let idle_timeout = Duration::from_secs(3600);
        let limits = Limits {
            quota: 0,
            min_live: 0,
            idle_timeout,
        };
        Self {
            pool: Pool::new(limits),
            used: BTreeMap::new(),
            statements: Statements::default(),
            queue: Queue::new(bounds()),
            shapes: Table::default(),
            budget: Budget::new(Duration::from_secs(10), now),
        }
    }

    /// Carries out an event of the target's connections; none if it is of something else.
    pub fn on_event(&mut self, now: Instant, event: &Event) -> Option<String> {
        let mut text = String::new();
        match event.event.as_str() {
            "connections" => text = self.connect(now, u32::try_from(event.count).unwrap()),
            "ask" => text = self.ask(event),
            "answer" => text = self.answer(now, event.connection, &event.frames),
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

    /// Sends a batch on the connection of the caller's transaction, or on an idle one.
    fn ask(&mut self, event: &Event) -> String {
        let Event {
            caller,
            sql,
            write,
            request,
            ..
        } = event;
        let open = self.used.iter().find(|(_, c)| c.caller == *caller);
        let Some(id) = open.map(|(id, _)| *id).or_else(|| self.pool.acquire()) else {
            return "waits".to_owned();
        };
        let connection = self.used.entry(id).or_insert_with(|| Connection {
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

    /// What the caller gets of the target's answers, and what becomes of the connection.
    fn answer(&mut self, now: Instant, id: u64, frames: &[String]) -> String {
        let id = Id(id);
        let Some(connection) = self.used.get_mut(&id) else {
            return "nobody".to_owned();
        };
        let (mut out, mut progress) = (BytesMut::new(), Progress::Pending);
        for text in frames {
            let bytes = frame(text);
            let frame = Frame::first(&bytes, MAX_FRAME).unwrap().unwrap();
            match connection
                .exchange
                .answer(frame, &mut connection.prepared, &mut out)
            {
                Ok(now) => progress = now,
                Err(failure) => {
                    let got = show(&connection.caller, &out);
                    self.close(id);
                    return format!("{got}; closed: {failure}");
                }
            }
        }
        let got = show(&connection.caller, &out);
        let idle = connection.exchange.status() == Status::Idle;
        if progress == Progress::Done && idle && connection.exchange.position().is_none() {
            self.give_back(now, id);
            return format!("{got}; free");
        }
        got
    }

    /// Passes on what was held, or ends the caller's wait without it.
    pub fn release(
        &mut self,
        now: Instant,
        id: u64,
        may: impl Fn(Term) -> Result<(), &'static str>,
    ) -> String {
        let id = Id(id);
        let Some(connection) = self.used.get_mut(&id) else {
            return "nobody".to_owned();
        };
        let (held, caller) = (connection.exchange.take_held(), connection.caller.clone());
        let answer = connection
            .exchange
            .position()
            .filter(|answer| answer.role == Role::Primary);
        let verdict = answer.map_or(Err("no_position"), |answer| may(answer.point.term));
        if let Err(reason) = verdict {
            self.close(id);
            return format!("{caller}: 08007 {reason}; closed");
        }
        self.give_back(now, id);
        format!("{}; free", show(&caller, &held))
    }

    fn close(&mut self, id: Id) {
        self.used.remove(&id);
        self.pool.discard(id, &mut Vec::new());
        self.pool.on_closed(id);
    }

    fn give_back(&mut self, now: Instant, id: Id) {
        self.used.remove(&id);
        self.pool.release(id, now, &mut Vec::new());
    }

    fn submit(&mut self, now: Instant, wait: u64) -> String {
        let deadline = now + Duration::from_millis(wait);
        let work = Submission {
            key: Key(1),
            class: Class::Interactive,
            deadline,
        };
        match self.queue.submit(work, &self.shapes, now) {
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
            pool::Event::Refuse(ticket, why) => format!("refuse {} {}", ticket.0, why.sqlstate()),
        };
        join(events.into_iter().map(text))
    }
}

fn join(texts: impl Iterator<Item = String>) -> String {
    texts.collect::<Vec<_>>().join(", ")
}

const fn bounds() -> Bounds {
    Bounds {
        slots: 1,
        long_max: 1,
        waiting_max: 2,
        long_after: Duration::from_secs(60),
        max_aging_time: Duration::from_secs(60),
    }
}

/// Builds a frame from its short form: tag, colon, content.
fn frame(text: &str) -> BytesMut {
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
        // Role, term and lsn as the position query returns them.
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
        _ => panic!("no frame: {text}"),
    }
    out
}

/// The short form of what a caller gets.
fn show(caller: &str, mut bytes: &[u8]) -> String {
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
