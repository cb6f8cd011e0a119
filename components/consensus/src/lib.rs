//! Replicated log: elections, replication and membership, as decisions without I/O.
