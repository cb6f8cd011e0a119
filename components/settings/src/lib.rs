//! Settings files of the processes: schema, checks and findings.
//!
//! A file is checked against its JSON Schema and by rules across fields. All findings are reported
//! together, each with its file and JSON path. A finding contains no values of the file, since they
//! may be secrets.

mod check;
mod control;
mod coordinator;
mod entry;
mod file;
mod finding;
mod log;
mod proxy;
mod schema;
mod secret;
mod standin;

#[allow(missing_docs, reason = "generated; the schema holds the comments")]
#[allow(clippy::use_self, clippy::derivable_impls, reason = "generated")]
#[allow(dead_code, unused_imports, reason = "generated; helpers for defaults")]
#[rustfmt::skip]
pub mod generated {
    //! Types that settings files deserialize to, generated from `schema/settings`.

    pub mod control;
    pub mod coordinator;
    pub mod entry;
    pub mod proxy;
    pub mod standin;
}

pub use control::{Control, Member};
pub use coordinator::{Coordinator, RateLimit};
pub use entry::{Caller, Entry, Key};
pub use file::{Kind, Ports, load, load_with, parse};
pub use finding::{Finding, Report};
pub use log::{Format, Level, Log};
pub use proxy::{Keys, Proxy};
pub use schema::{Invalid, Schema};
pub use secret::Secret;
pub use standin::Standin;

/// Exit code of a process whose settings have findings.
pub const EXIT_FINDINGS: u8 = 2;
