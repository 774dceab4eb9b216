//! Decision logic of the yuccawing serving layer, without I/O.
//!
//! Each component takes an event and the current time, changes its state and returns effects. No
//! code here opens a socket, reads a clock, starts a thread or draws a random number, so the same
//! code runs in the daemon, in property tests and in the experiment tool.

pub mod allowance;
pub mod bucket;
pub mod burn;
pub mod config;
pub mod fleet;
pub mod ids;
pub mod lease;
pub mod membership;
pub mod placement;
pub mod queue;
pub mod retry;
pub mod route;
pub mod rules;
pub mod stream;
pub mod ticket;
pub mod time;

pub use arcstr::ArcStr;
