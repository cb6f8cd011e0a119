//! Replay tool: plays recorded traces against a running system.

use std::process::ExitCode;

/// Exit code of a run that did not reach a stated outcome.
const EXIT_OUTCOME: u8 = 3;

fn main() -> ExitCode {
    match replay::command::run(&replay::command::command().get_matches()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_OUTCOME),
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}
