//! Opening of the data folder at the start of a process.

use std::path::Path;

use anyhow::{Context, Result};
use disk::{Native, Opened, Wal};
use rand::Rng;
use tokio::time::sleep;

use crate::writes::FULL_DISK_RETRY_DELAY;

/// Opens the data folder. While the disk is too full for that, waits for space.
///
/// # Errors
///
/// Fails if the folder can't be opened for another reason, as [`Wal::open`] lists them.
pub async fn open(folder: &Path, rng: &mut impl Rng) -> Result<(Wal<Native>, Opened)> {
    let mut was_full = false;
    loop {
        match Wal::open(Native, folder, rng) {
            Err(error) if disk::is_full(&error) => {
                if !was_full {
                    tracing::warn!(error = %format!("{error:#}"), "disk full at the start; waiting for space");
                }
                was_full = true;
                sleep(FULL_DISK_RETRY_DELAY).await;
            }
            result => return result.with_context(|| format!("open {}", folder.display())),
        }
    }
}
