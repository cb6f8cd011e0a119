//! Open-loop player of recorded traces against a running system.
//!
//! [`Trace`] is a parsed trace, [`play`] sends its statements at their intended start times, and
//! [`Report`] holds the measures of a run. The player starts no process: it writes faults and
//! operators' changes as lines to a file that the starting script reads.

mod caller;
pub mod command;
mod compare;
mod display;
mod event;
mod generate;
mod measure;
mod outcome;
mod play;
mod plot;
mod prepare;
mod record;
mod report;
mod scrape;
mod setup;
mod statement;
mod trace;

#[allow(missing_docs, reason = "generated; the schema holds the comments")]
#[allow(clippy::use_self, clippy::derivable_impls, reason = "generated")]
#[allow(clippy::large_enum_variant, reason = "generated")]
#[rustfmt::skip]
#[path = "generated.rs"]
pub mod format;

pub use compare::compare;
pub use event::{Event, Payload, Query};
pub use generate::{TRACE_NAMES, generate};
pub use measure::{Attempt, Gap, longest_gap, quantiles, recovery_ms};
pub use play::{Addresses, Entry, play};
pub use plot::plot;
pub use prepare::prepare;
pub use record::{Counters, Fault, Run, Sample, Scope, Scrape, Status};
pub use report::{Check, Report};
pub use statement::classify;
pub use trace::Trace;
