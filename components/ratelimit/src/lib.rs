//! Rate limits of tenants over all proxies. The [`Issuer`] issues tokens, each [`Holder`] spends the
//! tokens that it holds, one for each operation. Decisions only, without I/O and without a clock.
//!
//! Load answered: a tenant that sends several times its limit over all proxies, a tenant with few
//! operations per second over many proxies, and callers that move to another proxy at once.

mod account;
mod bucket;
mod convert;
mod holder;
mod issuer;
mod local;
mod message;
mod shares;
mod stock;
mod tokens;
mod usage;

pub use holder::{Admission, Holder, Settled};
pub use issuer::{Issuer, Limit};
pub use message::{Claim, Grant, Issue, MAX_NEEDS, Need};
