//! Event-driven simulation in virtual time, shared by tests and examples.

#![allow(dead_code)]

pub mod backend;
pub mod fleet;
pub mod policy;
pub mod scenario;
pub mod sim;
pub mod stats;
