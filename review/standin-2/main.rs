//! Stand-ins for servers, platform, operator and callers, and the scripts of review/6 to review/10.
//!
//! Uses the standard library only. `review-2 CASE FOLDER` starts the programs of the deploy file on
//! loopback addresses, plays the case, writes `record.txt` into the folder and ends all processes.
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

mod callers;
mod group;
mod system;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use callers::{Caller, Flood};
use system::{Record, System};

/// `memory_mb` of a `frontend` machine (SYSTEM.md, `amuc-ovile` and `totara-girth`).
const FRONTEND_MEMORY_MB: u64 = 260;
/// `memory_mb` of a `core` machine (SYSTEM.md, all sites).
const CORE_MEMORY_MB: u64 = 256;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, trouble {trouble}"));
    let played = match case.as_str() {
        "changes" => many_changes(&mut record, trouble),
        "prepare" => memory_case(&mut record, trouble, prepare_many),
        "unread" => memory_case(&mut record, trouble, send_ahead),
        "halfway" => memory_case(&mut record, trouble, stop_halfway),
        _ => Err(format!("unknown case {case}")),
    };
    let code = match played {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            record.line(&format!("could not run: {error}"));
            2
        }
    };
    record.line(&format!("exit code {code}"));
    ExitCode::from(code)
}

/// The operator changes a manifest of many routes several hundred times (or, without the disruption, a
/// small one). Returns whether each coordinator stayed within the memory of its machine.
fn many_changes(record: &mut Record, trouble: bool) -> Result<bool, String> {
    const CHANGES: u64 = 400;
    const ROUTES: usize = 5600;
    const LIMIT: Duration = Duration::from_secs(90);
    let system = System::start(record, 1, 40)?;
    let routes = if trouble { ROUTES } else { 10 };
    let started = Instant::now();
    let mut peaks = Vec::new();
    for change in 1..=CHANGES {
        system.put_plan(1 + change, 40, routes)?;
        peaks = system.coordinator_memory_mb();
        let is_over = peaks.iter().all(|(_, peak)| *peak > CORE_MEMORY_MB);
        if change % 50 == 0 || is_over {
            let ms = started.elapsed().as_millis();
            record.line(&format!(
                "{change} changes of a manifest of {routes} routes acknowledged, {ms} ms: coordinators use \
                 {peaks:?} MB (now, peak); their machines have {CORE_MEMORY_MB} MB"
            ));
        }
        if is_over || started.elapsed() > LIMIT {
            break;
        }
    }
    Ok(peaks.iter().all(|(_, peak)| *peak <= CORE_MEMORY_MB))
}

/// Watches the memory of a proxy while `crowd` talks to it. Returns whether the process stayed within
/// the memory of its machine and answered an ordinary caller afterwards.
fn memory_case(
    record: &mut Record,
    trouble: bool,
    crowd: fn(&mut Record, &System, bool) -> Result<(), String>,
) -> Result<bool, String> {
    let system = System::start(record, 1, 40)?;
    let mut ordinary = Caller::open(system.proxy_address(0), "till")?;
    ordinary.expect("WRITE egg 1", "COMPLETE", Duration::from_secs(2))?;
    record.line(&format!(
        "before: proxy uses {} MB",
        system.proxy_memory_mb(0)
    ));
    crowd(record, &system, trouble)?;
    let peak = system.proxy_memory_peak_mb(0);
    let alive = system.proxy_is_running(0);
    record.line(&format!(
        "after: proxy runs: {alive}, uses {} MB, at most {peak} MB; its machine has {FRONTEND_MEMORY_MB} MB",
        system.proxy_memory_mb(0)
    ));
    if peak > FRONTEND_MEMORY_MB {
        record.line("the machine kills the process (DEPLOY.md: Memory and descriptors)");
        system.kill_proxy(0);
        let lost = ordinary.run("READ egg", Duration::from_secs(2));
        record.line(&format!("an ordinary caller's open session: {lost:?}"));
        return Ok(false);
    }
    // A refusal is no answer that counts, but the caller may come back.
    let until = Instant::now() + Duration::from_secs(10);
    let answered = loop {
        let answered = Caller::open(system.proxy_address(0), "till")
            .and_then(|mut caller| caller.expect("READ egg", "COMPLETE", Duration::from_secs(5)));
        if answered.is_ok() || Instant::now() > until {
            break answered;
        }
        std::thread::sleep(Duration::from_millis(200));
    };
    record.line(&format!("an ordinary request afterwards: {answered:?}"));
    Ok(alive && answered.is_ok())
}

/// One caller after the other opens a session, prepares statements of a shape that nobody has prepared
/// before, removes each name again, reads every answer, and ends its session.
fn prepare_many(record: &mut Record, system: &System, trouble: bool) -> Result<(), String> {
    const SESSIONS: usize = 100;
    const STATEMENTS: usize = 2000;
    /// The sheets' requests have up to 1,200 bytes.
    const SHAPE_BYTES: usize = 1000;
    const LIMIT: Duration = Duration::from_secs(90);
    let started = Instant::now();
    let mut number = 0;
    for session in 0..SESSIONS {
        let mut caller = Caller::open(system.proxy_address(0), "till")?;
        for _ in 0..STATEMENTS {
            number += usize::from(trouble);
            let shape = format!("q{number}{}", "x".repeat(SHAPE_BYTES));
            let wait = Duration::from_secs(5);
            caller.expect(&format!("PREPARE s1 READ {shape}"), "COMPLETE", wait)?;
            caller.expect("DEALLOCATE s1", "COMPLETE", wait)?;
        }
        caller.terminate();
        if session % 10 == 9 || session + 1 == SESSIONS {
            record.line(&format!(
                "{} sessions have ended, each with {STATEMENTS} statements of {SHAPE_BYTES} bytes prepared and \
                 deallocated, {} ms: proxy uses {} MB",
                session + 1,
                started.elapsed().as_millis(),
                system.proxy_memory_mb(0)
            ));
        }
        if system.proxy_memory_mb(0) > FRONTEND_MEMORY_MB {
            record.line(&format!(
                "over the limit after {} sessions, one open at a time",
                session + 1
            ));
            break;
        }
        if started.elapsed() > LIMIT {
            break;
        }
    }
    std::thread::sleep(Duration::from_secs(1));
    Ok(())
}

/// Callers send reads ahead, without reading the answers (or, without the disruption, reading them).
fn send_ahead(record: &mut Record, system: &System, trouble: bool) -> Result<(), String> {
    const CALLERS: usize = 20;
    const LIMIT: Duration = Duration::from_secs(40);
    let address = system.proxy_address(0);
    let flood = Flood::start(address, CALLERS, !trouble)?;
    let started = Instant::now();
    let mut shown = Instant::now();
    while started.elapsed() < LIMIT {
        std::thread::sleep(Duration::from_millis(100));
        let used = system.proxy_memory_mb(0);
        if shown.elapsed() > Duration::from_secs(2) || used > FRONTEND_MEMORY_MB {
            shown = Instant::now();
            record.line(&format!(
                "{} ms: {CALLERS} callers have sent {} reads: proxy uses {used} MB",
                started.elapsed().as_millis(),
                flood.sent()
            ));
        }
        if used > FRONTEND_MEMORY_MB || !system.proxy_is_running(0) {
            break;
        }
    }
    flood.stop();
    Ok(())
}

/// Callers each send the greater part of one message inside the size limit, and then nothing.
fn stop_halfway(record: &mut Record, system: &System, trouble: bool) -> Result<(), String> {
    const CALLERS: usize = 300;
    const SENT_BYTES: usize = 1_000_000;
    let mut open = Vec::new();
    for number in 0..CALLERS {
        let mut caller = Caller::open(system.proxy_address(0), "till")?;
        let text = format!("QUERY h{number} WRITE egg {}", "y".repeat(SENT_BYTES));
        if trouble {
            caller.send_raw(text.as_bytes())?;
        }
        open.push(caller);
    }
    for second in 1..=10 {
        std::thread::sleep(Duration::from_secs(1));
        let used = system.proxy_memory_mb(0);
        record.line(&format!(
            "{CALLERS} callers, {second} s: proxy uses {used} MB"
        ));
        if used > FRONTEND_MEMORY_MB {
            break;
        }
    }
    Ok(())
}
