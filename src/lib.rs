//! What the processes share: their command line.

pub mod args;
