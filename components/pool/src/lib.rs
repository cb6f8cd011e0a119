//! Connections, queue, admission and scheduling of a target.
