//! The cases. Each is described in the `claim.txt` of its folder.

use std::collections::BTreeSet;
use std::io::{Read as _, Write as _};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::requester::{Session, next_id};
use crate::system::{System, record};

pub fn run(case: &str, trouble: bool) -> Verdict {
    match case {
        "readmission" => readmission(trouble),
        "partition" => partition(trouble),
        "slow-reader" => slow_reader(trouble),
        "malformed" => malformed(trouble),
        _ => Verdict::Unusable,
    }
}

fn secs(seconds: f64) {
    sleep(Duration::from_secs_f64(seconds));
}

/// Peers that send a broken message.
const RUDE_PEERS: usize = 120;

/// One write or read of a requester.
#[derive(Clone, Debug)]
struct Write {
    item: String,
    data: String,
    sent_at: Instant,
    answered_at: Instant,
    served: bool,
}

/// Requesters that write in sessions of their own, one after the other.
struct Writers {
    stop: Arc<AtomicBool>,
    writes: Arc<Mutex<Vec<Write>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Writers {
    /// Starts `count` requesters at each address, which pause between writes.
    fn start(addresses: &[SocketAddr], count: usize, pause: Duration) -> Self {
        Self::start_with(addresses, count, pause, ("orders", "WRITE"))
    }

    fn start_with(
        addresses: &[SocketAddr],
        count: usize,
        pause: Duration,
        work: (&'static str, &'static str),
    ) -> Self {
        let mut writers = Self {
            stop: Arc::default(),
            writes: Arc::default(),
            threads: Vec::new(),
        };
        for (proxy, address) in addresses.iter().enumerate() {
            for number in 0..count {
                let name = format!("{}{proxy}-{number}", work.0);
                let (stop, writes, address) =
                    (writers.stop.clone(), writers.writes.clone(), *address);
                writers.threads.push(thread::spawn(move || {
                    run_until(&stop, &writes, address, &name, pause, work);
                }));
            }
        }
        writers
    }

    /// Starts `count` requesters at each address that read from a board.
    fn start_readers(addresses: &[SocketAddr], count: usize, pause: Duration) -> Self {
        Self::start_with(addresses, count, pause, ("board", "READ"))
    }

    fn end(self) -> Vec<Write> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ended = thread.join();
        }
        self.writes.lock().unwrap().clone()
    }
}

fn run_until(
    stop: &AtomicBool,
    writes: &Mutex<Vec<Write>>,
    address: SocketAddr,
    name: &str,
    pause: Duration,
    (database, keyword): (&str, &str),
) {
    let mut session = None;
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        let sent_at = Instant::now();
        if session.is_none() {
            session = Session::open(address, database, name);
        }
        number += 1;
        let (item, data) = (name.to_owned(), number.to_string());
        let answer = session.as_mut().map(|open| match keyword {
            "READ" => open.run(&format!("READ {item}")),
            _ => open.run(&format!("WRITE {item} {data}")),
        });
        let served = answer.as_ref().is_some_and(|answer| answer.is_success());
        if !served {
            session = None;
        }
        let answered_at = Instant::now();
        writes.lock().unwrap().push(Write {
            item,
            data,
            sent_at,
            answered_at,
            served,
        });
        sleep(pause);
    }
}

/// Served and sent writes that were sent in a span.
fn share(writes: &[Write], from: Instant, to: Instant) -> (usize, usize) {
    let sent = writes
        .iter()
        .filter(|write| from <= write.sent_at && write.sent_at < to);
    (
        sent.clone().filter(|write| write.served).count(),
        sent.count(),
    )
}

fn listens(system: &System) -> Vec<SocketAddr> {
    system.proxies.iter().map(|proxy| proxy.listen).collect()
}

/// The leading coordinator loses the path to one replica for a while, and never takes that replica
/// up again. Commits that only this replica has received are lost at the next change of primary.
fn readmission(trouble: bool) -> Verdict {
    let Some(system) = System::start(2, 1000) else {
        return Verdict::Unusable;
    };
    let group = &system.group;
    let writers = Writers::start(&listens(&system), 2, Duration::from_millis(100));
    secs(2.0);
    let Some(leader) = system.leader() else {
        return Verdict::Unusable;
    };
    if trouble {
        group.cut_from(2, Some(leader));
    }
    secs(25.0);
    group.cut_from(2, None);
    secs(6.0);
    // From here on the same happens with and without the cut.
    record("server ledger-1: receives nothing for 6.5 s");
    group.with(1, |server| server.deaf = true);
    secs(2.0);
    group.go_dark(0);
    secs(4.5);
    group.with(1, |server| server.deaf = false);
    secs(2.5);
    group.restart(0);
    for _ in 0..150 {
        if !group.promotions().is_empty() {
            break;
        }
        secs(0.1);
    }
    secs(3.0);
    let writes = writers.end();
    if group.promotions().is_empty() {
        return Verdict::Unusable;
    }
    check_promotions(&system, &writes)
}

/// Checks that each promoted server has every commit that was acknowledged before.
fn check_promotions(system: &System, writes: &[Write]) -> Verdict {
    let promotions = system.group.promotions();
    let mut lost = 0;
    for promotion in &promotions {
        let log = promotion.log.iter().flat_map(|entry| &entry.writes);
        let kept: BTreeSet<&(String, String)> = log.collect();
        let acknowledged = writes
            .iter()
            .filter(|write| write.served && write.answered_at < promotion.at);
        for write in acknowledged {
            if !kept.contains(&(write.item.clone(), write.data.clone())) {
                lost += 1;
                record(&format!(
                    "LOST: {} = {} was acknowledged, and isn't in the log of {}, which is promoted",
                    write.item, write.data, promotion.id
                ));
            }
        }
    }
    record(&format!(
        "{} promotions, {lost} acknowledged commits lost",
        promotions.len()
    ));
    if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// The leading coordinator loses the path to a primary and one of its replicas, which all others
/// reach. It promotes the other replica, without the commits that were acknowledged meanwhile.
fn partition(trouble: bool) -> Verdict {
    let Some(system) = System::start(2, 1000) else {
        return Verdict::Unusable;
    };
    let writers = Writers::start(&listens(&system), 2, Duration::from_millis(100));
    secs(3.0);
    let Some(leader) = system.leader() else {
        return Verdict::Unusable;
    };
    if trouble {
        for index in [0, 2] {
            system.group.cut_from(index, Some(leader.clone()));
        }
    }
    secs(15.0);
    for index in [0, 2] {
        system.group.cut_from(index, None);
    }
    secs(5.0);
    let writes = writers.end();
    check_promotions(&system, &writes)
}

/// A planned stop cuts an answer that a requester with a slow link is still reading.
fn slow_reader(trouble: bool) -> Verdict {
    let Some(mut system) = System::start(2, 10_000) else {
        return Verdict::Unusable;
    };
    let Some(mut session) = Session::open(system.proxies[0].listen, "orders", "slow") else {
        return Verdict::Unusable;
    };
    let id = next_id();
    record(&format!("slow: sends {id} READ large"));
    session.send(&format!("QUERY {id} READ large"));
    let sent_at = Instant::now();
    secs(0.3);
    if trouble {
        system.proxies[0].process.signal("TERM");
    }
    let mut socket = session.socket();
    let _set = socket.set_read_timeout(Some(Duration::from_secs(6)));
    // The requester's link takes nothing for 4.5 s.
    secs(4.2);
    let (mut total, mut tail) = (0, Vec::new());
    let mut chunk = vec![0; 64 << 10];
    let ended = loop {
        match socket.read(&mut chunk) {
            Ok(read @ 1..) => {
                total += read;
                tail.extend_from_slice(&chunk[..read]);
                let surplus = tail.len().saturating_sub(200);
                tail.drain(..surplus);
                let text = String::from_utf8_lossy(&tail);
                if text.contains("COMPLETE r.1\r\nREADY I") && text.ends_with("\r\n") {
                    break "with the whole answer";
                }
            }
            Ok(_) => break "cut: the connection was closed",
            Err(_) => break "cut: the connection was reset or silent",
        }
    };
    let elapsed = sent_at.elapsed().as_secs_f64();
    record(&format!(
        "slow: has read {total} bytes after {elapsed:.2} s, {ended}"
    ));
    let ran = system.group.runs().iter().any(|run| run.id == id);
    if !ran {
        return Verdict::Unusable;
    }
    let _closed = socket.write_all(b"TERMINATE\r\n");
    if trouble {
        system.proxies[0].process.wait();
    }
    if ended.starts_with("cut") {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// A broken message inside a transaction leaves the transaction open on the server's connection for
/// good, until no connection is left.
fn malformed(trouble: bool) -> Verdict {
    let Some(system) = System::start(2, 1000) else {
        return Verdict::Unusable;
    };
    let addresses = listens(&system);
    let pause = Duration::from_millis(200);
    let writers = Writers::start(&addresses, 2, pause);
    let readers = Writers::start_readers(&addresses, 2, pause);
    let began_at = Instant::now();
    secs(4.0);
    let trouble_at = Instant::now();
    for number in 0..RUDE_PEERS {
        let name = format!("rude-{number}");
        let address = addresses[number % 2];
        let (database, begin, statement) = if number % 3 == 0 {
            ("orders", "BEGIN", format!("WRITE {name} 1"))
        } else {
            ("board", "BEGIN READ", "READ stock".to_owned())
        };
        let Some(mut session) = Session::open(address, database, &name) else {
            continue;
        };
        session.run(begin);
        session.run(&statement);
        if trouble {
            record(&format!("{name}: sends a broken message"));
            session.send("QUE\u{7f}RY broken");
            while session.line().is_some() {}
        } else {
            session.run("ROLLBACK");
            session.send("TERMINATE");
        }
    }
    let over_at = Instant::now();
    secs(30.0);
    let requests = [writers.end(), readers.end()].concat();
    let (before_served, before) = share(&requests, began_at, trouble_at);
    let from = over_at + Duration::from_secs(10);
    let (after_served, after) = share(&requests, from, from + Duration::from_secs(18));
    let open = [0, 1, 2].map(|index| system.group.with(index, |server| server.connections));
    record(&format!(
        "before the broken messages {before_served} of {before} requests were served"
    ));
    record(&format!(
        "from 10 s after the last one {after_served} of {after}; open connections: {open:?}"
    ));
    if before_served == 0 || after == 0 {
        return Verdict::Unusable;
    }
    if after_served == 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
