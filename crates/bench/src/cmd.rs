//! Commands of `yuccabench`.

pub mod demo;
pub mod report;
pub mod run;
