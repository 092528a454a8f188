//! Test support: simulated fleet, real nodes and a TCP proxy.
#![allow(dead_code, missing_docs)]

pub mod fleet;
pub mod node;
pub mod proxy;
