//! Queue of writes of the replicated log. The event loop adds writes; a blocking task carries them
//! out and syncs them in batches.

use anyhow::Result;
use consensus::{Store, Write};
use tokio::sync::mpsc;
use tokio::task::{spawn_blocking, spawn_local};

/// Result of a batch of writes.
#[derive(Debug)]
pub struct Completion<S> {
    /// The store for the next batch; `None` if the task panicked or was cancelled.
    store: Option<S>,
    /// Sequence number of the last write of the batch, if the whole batch is durable.
    pub synced: Result<u64>,
}

/// Queue of writes in front of a store.
#[derive(Debug)]
pub struct Queue<S> {
    /// `None` while a batch is running, and permanently after its task panicked or was cancelled.
    store: Option<S>,
    writes: Vec<(u64, Write)>,
}

impl<S> Queue<S>
where
    S: Store<Error = anyhow::Error> + Send + 'static,
{
    #[must_use]
    pub fn new(store: S) -> Self {
        Self {
            store: Some(store),
            writes: Vec::new(),
        }
    }

    pub fn push(&mut self, seq: u64, write: Write) {
        self.writes.push((seq, write));
    }

    /// Starts a batch of all queued writes unless one is running. The batch is synced once at its end.
    pub fn start_batch<E: 'static>(
        &mut self,
        events: &mpsc::Sender<E>,
        into_event: impl Fn(Completion<S>) -> E + 'static,
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
            let result = spawn_blocking(move || run_batch(store, &writes)).await;
            let result = result.unwrap_or_else(|error| Completion {
                store: None,
                synced: Err(error.into()),
            });
            // The event loop may have ended; the writes are durable nevertheless.
            let _receiver_closed = events.send(into_event(result)).await;
        });
    }

    /// Handles the end of a batch. Returns the sequence number of its last write.
    ///
    /// # Errors
    ///
    /// Fails if a write or the sync of the batch failed, or if its task panicked or was cancelled.
    pub fn on_batch_result(&mut self, result: Completion<S>) -> Result<u64> {
        self.store = result.store;
        result.synced
    }
}

fn run_batch<S: Store<Error = anyhow::Error>>(
    mut store: S,
    writes: &[(u64, Write)],
) -> Completion<S> {
    let synced = write_and_sync(&mut store, writes);
    Completion {
        store: Some(store),
        synced,
    }
}

fn write_and_sync<S: Store<Error = anyhow::Error>>(
    store: &mut S,
    writes: &[(u64, Write)],
) -> Result<u64> {
    let mut last_seq = 0;
    for (seq, write) in writes {
        store.write(write)?;
        last_seq = *seq;
    }
    store.sync()?;
    Ok(last_seq)
}
