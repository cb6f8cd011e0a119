//! Session tokens and the positions a session needs.

pub mod needs;
pub mod signer;
pub mod token;

pub use needs::{Needs, Session};
pub use signer::{Key, Refusal, Signer};
pub use token::Token;
