//! Leases of entries and connection quotas.
//!
//! The control leader keeps [`grant::Table`] and [`quota::Split`]; an entry keeps [`holder::Lease`] and
//! [`allowance::Allowance`].
//!
//! What both sides rely on:
//!
//! - The revision in a renewal means that the entry passes on no answer any more that an older
//!   catalog would allow. With a hold, it is sent once the open transactions of the database have
//!   ended.
//! - An entry reads the clock just before it passes an answer on, and applies the changes that a
//!   grant carries before it counts the grant.
//! - An entry that was replaced by a new process of the same name sends no further renewals.
//! - A leader applies a dismissal only of an entry whose leases have ended
//!   ([`grant::Table::is_free`]).

pub mod allowance;
pub mod grant;
pub mod holder;
pub mod quota;
