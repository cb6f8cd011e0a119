//! Session tokens and the positions a session needs.
