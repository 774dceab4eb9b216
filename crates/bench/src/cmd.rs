//! Commands of `yuccabench`.

pub mod demo;
