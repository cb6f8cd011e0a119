//! PostgreSQL frames, builders and authentication.
