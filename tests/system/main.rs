//! Failures of real processes, and their effects on callers.

mod caller;
mod combined;
mod control;
mod entries;
mod harness;
mod history;
mod input;
mod link;
mod load;
mod maintenance;
mod primary;
mod raw;
mod request;
mod settings;
mod statements;

/// Runs a test on the current thread.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}
