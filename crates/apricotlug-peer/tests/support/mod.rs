//! Support for the tests of this crate.
#![allow(dead_code, missing_docs)]

pub mod fleet;
pub mod node;
pub mod relay;
