//! Guards the delivery of stop signals.

use std::process::Command;

use observe::process;
use observe::stop::{Signal, signal};

/// Guards against a signal that kills the process because it arrived before the first poll of the
/// future.
#[test]
fn a_signal_before_the_first_poll_is_delivered() {
    let received = process::block_on(async {
        let stop = signal()?;
        let id = std::process::id().to_string();
        assert!(
            Command::new("kill")
                .args(["-TERM", &id])
                .status()?
                .success()
        );
        Ok(stop.await)
    });
    assert_eq!(received.unwrap(), Signal::Terminate);
}
