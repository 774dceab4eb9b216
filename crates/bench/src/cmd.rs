//! Commands of `yuccabench`.

pub mod capacity;
pub mod demo;
pub mod report;
pub mod run;
pub mod soak;
