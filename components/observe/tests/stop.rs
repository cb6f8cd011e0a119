//! Stop signals.

use std::process::Command;

use observe::process;
use observe::stop::{Signal, signal};

/// Guards against a signal that ends the process at once because it came before the loop waited for
/// it.
#[test]
fn an_early_signal_is_kept() {
    let got = process::block(async {
        let stopped = signal()?;
        let id = std::process::id().to_string();
        assert!(
            Command::new("kill")
                .args(["-TERM", &id])
                .status()?
                .success()
        );
        Ok(stopped.await)
    });
    assert_eq!(got.unwrap(), Signal::Terminate);
}
