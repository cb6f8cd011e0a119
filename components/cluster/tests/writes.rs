//! A full disk must delay the writes of the replicated log, not end them.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use cluster::writes::{Completion, FULL_DISK_RETRY_DELAY, Queue};
use consensus::{Store, Write};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Store whose writes end as scripted, and succeed after that.
#[derive(Debug, Default)]
struct Script {
    results: VecDeque<Result<(), &'static str>>,
    written: Vec<u64>,
    unsynced: bool,
}

const FULL: &str = "full";

impl Store for Script {
    type Error = anyhow::Error;

    fn write(&mut self, write: &Write) -> Result<()> {
        let Write::Truncate(index) = write else {
            bail!("unexpected write");
        };
        if let Some(Err(error)) = self.results.pop_front() {
            bail!(error);
        }
        self.unsynced = true;
        self.written.push(*index);
        Ok(())
    }

    fn sync(&mut self) -> Result<()> {
        self.unsynced = false;
        Ok(())
    }

    fn is_full(error: &anyhow::Error) -> bool {
        error.to_string() == FULL
    }
}

async fn run_batch(queue: &mut Queue<Script>, now: Instant) -> Option<Result<Option<u64>>> {
    let (events, mut received) = mpsc::channel::<Completion<Script>>(1);
    queue.start_batch(now, &events, |completion| completion);
    drop(events);
    let completion = received.recv().await?;
    Some(queue.on_batch_result(now, completion))
}

/// Writes behind the one without space must keep their order, and what came before it counts.
#[tokio::test]
async fn writes_without_space_are_repeated_in_order() {
    let test = async {
        let results = [Ok(()), Err(FULL), Err(FULL)];
        let mut queue = Queue::new(Script {
            results: results.into(),
            ..Script::default()
        });
        let start = Instant::now();
        for seq in 1..=3 {
            queue.push(seq, Write::Truncate(seq));
        }
        let first = run_batch(&mut queue, start).await.unwrap();
        assert_eq!(first.unwrap(), Some(1), "the first write is durable");
        assert!(queue.is_full());
        queue.push(4, Write::Truncate(4));

        let early = start + FULL_DISK_RETRY_DELAY - Duration::from_millis(1);
        assert!(
            run_batch(&mut queue, early).await.is_none(),
            "started early"
        );
        let retry_at = queue.deadline().unwrap();
        let second = run_batch(&mut queue, retry_at).await.unwrap();
        assert_eq!(second.unwrap(), None, "nothing is durable");

        let retry_at = queue.deadline().unwrap();
        let third = run_batch(&mut queue, retry_at).await.unwrap();
        assert_eq!(third.unwrap(), Some(4));
        assert!(!queue.is_full());
        assert_eq!(queue.deadline(), None);
    };
    LocalSet::new().run_until(test).await;
}

/// Any other failure of a write says nothing of what the disk holds, and must not be repeated.
#[tokio::test]
async fn other_failures_are_reported() {
    let test = async {
        let mut queue = Queue::new(Script {
            results: [Err("i/o error")].into(),
            ..Script::default()
        });
        let now = Instant::now();
        queue.push(1, Write::Truncate(1));
        run_batch(&mut queue, now).await.unwrap().unwrap_err();
        assert!(!queue.is_full());
        assert!(run_batch(&mut queue, now).await.is_none(), "repeated");
    };
    LocalSet::new().run_until(test).await;
}
