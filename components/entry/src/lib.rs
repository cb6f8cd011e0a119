//! Loop of an entry process.
