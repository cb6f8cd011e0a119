//! Writes of the replicated log: queued on the loop, carried out and synced off its thread.

use anyhow::Result;
use consensus::{Store, Write};
use tokio::sync::mpsc;
use tokio::task::{spawn_blocking, spawn_local};

/// What became of a batch of writes.
#[derive(Debug)]
pub struct Done<S> {
    /// The store, back for the next batch; none if the task was lost with it.
    store: Option<S>,
    /// The last write of the batch, if all of it is durable.
    pub synced: Result<u64>,
}

/// The queue of writes.
#[derive(Debug)]
pub struct Queue<S> {
    /// None while a batch is under way, and for good after a failure.
    store: Option<S>,
    writes: Vec<(u64, Write)>,
}

impl<S> Queue<S>
where
    S: Store<Error = anyhow::Error> + Send + 'static,
{
    /// A queue before a store.
    #[must_use]
    pub fn new(store: S) -> Self {
        Self {
            store: Some(store),
            writes: Vec::new(),
        }
    }

    /// Adds a write.
    pub fn push(&mut self, seq: u64, write: Write) {
        self.writes.push((seq, write));
    }

    /// Starts a batch of all queued writes unless one is under way. One sync serves the batch.
    pub fn start<E: 'static>(
        &mut self,
        events: &mpsc::Sender<E>,
        wrap: impl Fn(Done<S>) -> E + 'static,
    ) {
        if self.writes.is_empty() {
            return;
        }
        let Some(store) = self.store.take() else {
            return;
        };
        let writes = std::mem::take(&mut self.writes);
        let events = events.clone();
        spawn_local(async move {
            let done = spawn_blocking(move || run(store, &writes)).await;
            let done = done.unwrap_or_else(|error| Done {
                store: None,
                synced: Err(error.into()),
            });
            // The loop may have ended; the writes are on the disk all the same.
            let _ended = events.send(wrap(done)).await;
        });
    }

    /// Takes the store back.
    ///
    /// # Errors
    ///
    /// Fails if a write or the sync of the batch failed, or if its task panicked or was cancelled.
    pub fn on_done(&mut self, done: Done<S>) -> Result<u64> {
        self.store = done.store;
        done.synced
    }
}

fn run<S: Store<Error = anyhow::Error>>(mut store: S, writes: &[(u64, Write)]) -> Done<S> {
    let synced = write(&mut store, writes);
    Done {
        store: Some(store),
        synced,
    }
}

fn write<S: Store<Error = anyhow::Error>>(store: &mut S, writes: &[(u64, Write)]) -> Result<u64> {
    let mut last = 0;
    for (seq, write) in writes {
        store.write(write)?;
        last = *seq;
    }
    store.sync()?;
    Ok(last)
}
