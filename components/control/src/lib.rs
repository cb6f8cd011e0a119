//! Loop of a control process.
