//! Class and fingerprint of SQL statements.
