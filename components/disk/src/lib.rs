//! Log and snapshot files of a control instance.
//!
//! One folder holds `identity`, `vote`, `snapshot-INDEX` and the segments `log-NUMBER`.

mod files;
mod frame;
mod open;
mod record;
mod replay;
mod segment;
mod wal;

pub use files::{Files, Native};
pub use wal::{Opened, Wal};
