//! Player of recorded traces against a running system.
//!
//! [`Trace`] is what a trace says, [`play`] sends its statements at their intended starts, and
//! [`Report`] holds the measures of a run. The player starts no process: faults and operators'
//! changes are written as lines to a file that the starting script reads.

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
pub use event::{Event, Job, What};
pub use generate::{NAMES, generate};
pub use measure::{Attempt, Gap, gap, quantiles, recovery};
pub use play::{Addresses, Entry, play};
pub use plot::plot;
pub use prepare::prepare;
pub use record::{Answer, Counters, Fault, Place, Run, Sample, Scrape};
pub use report::{Check, Report};
pub use statement::classify;
pub use trace::Trace;
