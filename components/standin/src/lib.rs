//! Stand-in target for tests and the demo.
