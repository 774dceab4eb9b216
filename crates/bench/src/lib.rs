//! Experiments with yuccawing: a fleet of real processes on this machine, a fault-injecting proxy
//! between them, open-loop load, and a checker of the guarantees.

pub mod baseline;
pub mod checker;
pub mod client;
pub mod cmd;
pub mod driver;
pub mod experiment;
pub mod fleet;
pub mod metrics;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod results;
pub mod scenario;
pub mod soak;
pub mod trace;
pub mod usage;

mod error;

pub use error::{Error, Result};

/// Microseconds since the Unix epoch. All processes of an experiment run on one machine, so times of
/// the driver and of the stand-ins' journals are compared.
pub fn now_us() -> u64 {
    let d = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}
