//! Event-driven harness in virtual time, shared by the tests and the comparisons.

#![allow(dead_code)]

pub mod backend;
pub mod fleet;
pub mod policy;
pub mod scenario;
pub mod sim;
pub mod stats;
