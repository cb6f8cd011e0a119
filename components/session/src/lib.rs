//! Session tokens and the positions that reads of a session require.

pub mod needs;
pub mod signer;
pub mod token;

pub use needs::{Needs, Session};
pub use signer::{Key, Rejection, Signer};
pub use token::Token;
