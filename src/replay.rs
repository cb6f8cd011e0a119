//! Replay tool: sends recorded traces to a running system.

use std::process::ExitCode;

/// Exit code if the trace states an outcome that the run did not reach.
const EXIT_UNEXPECTED_OUTCOME: u8 = 3;

fn main() -> ExitCode {
    match replay::command::run(&replay::command::command().get_matches()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_UNEXPECTED_OUTCOME),
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}
