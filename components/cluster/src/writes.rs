//! Queue of writes of the replicated log. The event loop adds writes; a blocking task carries them
//! out and syncs them in batches.
//!
//! Writes that a full disk has no space for stay in the queue and are tried again. To the consensus
//! node a full disk is a slow one: it withholds whatever depends on the writes.

use std::time::{Duration, Instant};

use anyhow::Result;
use consensus::{Store, Write};
use tokio::sync::mpsc;
use tokio::task::{spawn_blocking, spawn_local};

/// Delay after which writes to a full disk are tried again.
pub const FULL_DISK_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Result of a batch of writes.
#[derive(Debug)]
pub struct Completion<S> {
    /// The store for the next batch; `None` if the task panicked or was cancelled.
    store: Option<S>,
    /// Writes for which the disk had no space, oldest first.
    rest: Vec<(u64, Write)>,
    /// Sequence number of the last durable write; `None` if there was no space for the first one.
    synced: Result<Option<u64>>,
}

/// Queue of writes in front of a store.
#[derive(Debug)]
pub struct Queue<S> {
    /// `None` while a batch is running, and permanently after its task panicked or was cancelled.
    store: Option<S>,
    writes: Vec<(u64, Write)>,
    /// Set while the disk is full: when the next batch may start.
    retry_at: Option<Instant>,
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
            retry_at: None,
        }
    }

    /// Whether the last batch found the disk full.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.retry_at.is_some()
    }

    /// When [`Queue::start_batch`] is due although no write was added; `None` while a batch is
    /// running.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        self.retry_at.filter(|_| self.store.is_some())
    }

    pub fn push(&mut self, seq: u64, write: Write) {
        self.writes.push((seq, write));
    }

    /// Starts a batch of all queued writes unless one is running. The batch is synced once at its end.
    pub fn start_batch<E: 'static>(
        &mut self,
        now: Instant,
        events: &mpsc::Sender<E>,
        into_event: impl Fn(Completion<S>) -> E + 'static,
    ) {
        let is_due = self.retry_at.is_none_or(|retry_at| retry_at <= now);
        if self.writes.is_empty() || !is_due {
            return;
        }
        let Some(store) = self.store.take() else {
            return;
        };
        let writes = std::mem::take(&mut self.writes);
        let events = events.clone();
        spawn_local(async move {
            let result = spawn_blocking(move || run_batch(store, writes)).await;
            let result = result.unwrap_or_else(|error| Completion {
                store: None,
                rest: Vec::new(),
                synced: Err(error.into()),
            });
            // The event loop may have ended; the writes are durable nevertheless.
            let _receiver_closed = events.send(into_event(result)).await;
        });
    }

    /// Handles the end of a batch. Returns the sequence number of the last durable write, or `None`
    /// if the disk had no space for any.
    ///
    /// # Errors
    ///
    /// Fails if a write or the sync of the batch failed for another reason than a full disk, or if
    /// its task panicked or was cancelled.
    pub fn on_batch_result(&mut self, now: Instant, result: Completion<S>) -> Result<Option<u64>> {
        self.store = result.store;
        let has_room = result.rest.is_empty();
        self.retry_at = (!has_room).then(|| now + FULL_DISK_RETRY_DELAY);
        self.writes.splice(0..0, result.rest);
        result.synced
    }
}

fn run_batch<S: Store<Error = anyhow::Error>>(
    mut store: S,
    mut writes: Vec<(u64, Write)>,
) -> Completion<S> {
    let written = write_all(&mut store, &writes);
    let synced = written.and_then(|count| {
        if count > 0 {
            store.sync()?;
        }
        Ok(count)
    });
    let (rest, synced) = match synced {
        Ok(count) => {
            let rest = writes.split_off(count);
            (rest, Ok(writes.last().map(|(seq, _)| *seq)))
        }
        Err(error) => (Vec::new(), Err(error)),
    };
    Completion {
        store: Some(store),
        rest,
        synced,
    }
}

/// Carries out writes until the disk is full. Returns the number of writes that were carried out.
fn write_all<S: Store<Error = anyhow::Error>>(
    store: &mut S,
    writes: &[(u64, Write)],
) -> Result<usize> {
    for (count, (_, write)) in writes.iter().enumerate() {
        match store.write(write) {
            Err(error) if S::is_full(&error) => return Ok(count),
            result => result?,
        }
    }
    Ok(writes.len())
}
