//! Runs the review's script cases: `standin CASE FOLDER`, in the repository root. The record is written
//! to the folder. Each case starts the project's own programs against
//! the stand-ins in this folder, and exits with 1 if its rule was broken, 0 if it held, and 2 if the
//! case could not run. With `TROUBLE=0` in the environment it leaves its disruption out.

mod cases;
mod database;
mod http;
mod platform;
mod requester;
mod system;

use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// A case that takes longer is stopped with exit code 2.
const TIME_LIMIT: Duration = Duration::from_secs(112);

/// Outcome of a case.
pub enum Verdict {
    Held,
    Broken,
    Unusable,
}

static FINISHED: AtomicBool = AtomicBool::new(false);

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        if !FINISHED.load(Ordering::SeqCst) {
            system::record("the case takes too long");
            system::end_all();
            exit(2);
        }
    });
    std::panic::set_hook(Box::new(|info| system::record(&info.to_string())));
    let verdict = std::panic::catch_unwind(|| cases::run(&case, trouble));
    FINISHED.store(true, Ordering::SeqCst);
    system::end_all();
    let (text, code) = match verdict {
        Ok(Verdict::Held) => ("the rule held", 0),
        Ok(Verdict::Broken) => ("THE RULE WAS BROKEN", 1),
        Ok(Verdict::Unusable) | Err(_) => ("the case could not run", 2),
    };
    system::record(text);
    println!("{text}");
    exit(code);
}
