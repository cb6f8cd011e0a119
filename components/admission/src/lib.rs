//! Admission of statements to servers that run a limited number of them at once and reject the
//! others. Decisions only, without I/O and without a clock.

pub mod queue;
pub mod tenancy;
pub mod window;

pub use queue::Queue;
pub use window::Window;
