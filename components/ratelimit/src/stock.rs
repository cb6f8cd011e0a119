//! Tokens and waiting operations of one tenant at a holder.
