//! Choice of a target for a statement.
