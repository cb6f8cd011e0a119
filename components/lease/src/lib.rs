//! Leases of entries and connection quotas.
//!
//! The control leader keeps [`grant::Table`] and [`quota::Split`]; an entry keeps [`hold::Lease`].

pub mod grant;
pub mod hold;
pub mod quota;
