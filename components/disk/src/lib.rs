//! Log and snapshot files of a control instance.
//!
//! One folder holds these files:
//!
//! | file | content | changed by |
//! |---|---|---|
//! | `lock` | nothing; locked while a process has the folder open | |
//! | `identity` | format version, identity of the disk | the first start only |
//! | `vote` | epoch and vote | replacement |
//! | `snapshot-INDEX` | position and members; bytes of the state machine | replacement |
//! | `log-NUMBER` | start of the segment, then appends and truncations in order | append |
//!
//! A file is replaced by a synced temporary file, a rename and a sync of the folder. A new segment
//! and the folder are synced before the first append to it. Segments are dropped, oldest first,
//! once a durable snapshot covers them.
//!
//! Every record carries its length with a CRC-32 of the length, and a CRC-32 of its bytes. At open,
//! an incomplete record at the end of the last segment is dropped: it was not synced, as its write
//! did not complete. Zeros in place of the end of the file count as incomplete too. Any other bad
//! record refuses the open, also if it is the last, since it may have been acknowledged. What is
//! recovered is synced before it is reported.

mod files;
mod frame;
mod open;
mod record;
mod replay;
mod segment;
mod wal;

pub use files::{Files, Native};
pub use wal::{Opened, Wal};
