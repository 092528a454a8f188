//! Small stand-ins of the platform and of backend servers, with faults.

pub mod backend;
pub mod platform;
