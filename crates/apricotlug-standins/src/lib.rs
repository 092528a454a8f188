//! Stand-ins for the platform and for backend servers, with fault injection, for tests and for
//! local development clusters.

pub mod backend;
pub mod platform;
