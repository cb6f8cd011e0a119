//! Command line that all processes share.

pub mod args;
