//! Leases and connection quotas of entry instances.
//!
//! An instance renews its lease with the control leader. It passes acknowledgements of writes on to
//! callers only while the lease is valid, and keeps no more connections open than its quotas allow.
//! The control leader keeps [`grant::Table`] and [`quota::Allocator`]; an instance keeps
//! [`holder::Lease`] and [`allowance::Allowance`].
//!
//! Both sides rely on the following:
//!
//! - The revision in a renewal means that the instance no longer passes on answers that only an
//!   older catalog would allow. While writes are held, it is sent once the open transactions of the
//!   database have ended.
//! - An instance reads the clock just before it passes an answer on, and applies the catalog
//!   changes in a grant before it counts the grant.
//! - An instance that was replaced by a new process of the same name sends no further renewals.
//! - A leader dismisses an instance only after the instance's leases have ended
//!   ([`grant::Table::is_dismissible`]).

pub mod allowance;
pub mod grant;
pub mod holder;
pub mod quota;
