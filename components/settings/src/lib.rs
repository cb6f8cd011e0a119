//! Settings files of the processes: schema, checks and findings.
