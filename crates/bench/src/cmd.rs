//! Commands of `yuccabench`.

pub mod capacity;
pub mod demo;
