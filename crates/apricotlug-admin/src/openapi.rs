//! Machine-readable description of the administration API.

/// OpenAPI 3.1 document, as JSON.
pub const OPENAPI: &str = include_str!("openapi.json");
