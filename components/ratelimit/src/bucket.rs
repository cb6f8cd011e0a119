//! Bucket of one tenant.
