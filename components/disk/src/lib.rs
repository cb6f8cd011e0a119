//! Log and snapshot files of a control instance.
//!
//! The data folder holds these files:
//!
//! | file | content | written by |
//! |---|---|---|
//! | `lock` | nothing; locked while a process uses the folder | |
//! | `identity` | version of the file formats, identity of the disk | creation at the first start |
//! | `vote` | epoch and vote | replacement |
//! | `snapshot-INDEX` | position and members, then the state machine's data | replacement |
//! | `log-NUMBER` | a segment: start position, then appends and truncations in order | append |
//!
//! To replace a file, a temporary file is written and synced, renamed over the old one, and the
//! folder is synced. A new segment and the folder are synced before the first append to it.
//! Segments are removed, oldest first, once a durable snapshot covers them.
//!
//! Every record carries its length, a CRC-32 of the length and a CRC-32 of its bytes. At open, an
//! incomplete record at the end of the last segment is dropped: its write did not complete, so it
//! was not synced. A record whose end consists of zeros counts as incomplete too, because a file
//! may be extended before its bytes are written.
//!
//! Several writes may share a sync, and a loss of power may take one and leave a later one. The log
//! then ends before the first lost write, and what follows is dropped. So that lost bytes aren't
//! taken for damaged ones, each write begins with the extent of the last sync: lost bytes are zeros
//! up to the next write, and no later write was made after a sync that covered them. Any other
//! damaged record makes the open fail, even the last one, as it may have been acknowledged. Zeros in
//! place of a write of the last batch can't be told from a loss. Recovered data is synced before it
//! is returned.
//!
//! Names that were removed since the last sync of the folder may come back one by one. Segments
//! before a gap in the numbers are removed again if the snapshot covers the gap.
//!
//! A write that finds no space is taken back: a segment is cut to its last complete record, and a
//! new file is removed. The log stays usable, and the write can be repeated ([`Full`]). After any
//! other error, and after a failed sync in particular, nothing more is written.

mod file_names;
mod file_system;
mod frame;
mod full;
mod open;
mod record;
mod replay;
mod wal;

pub use file_system::{Files, Native};
pub use full::{Full, is_full};
pub use wal::{Opened, Wal};
