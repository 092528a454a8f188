//! Description of the API for programs.

/// OpenAPI 3.1 page, as JSON.
pub const OPENAPI: &str = include_str!("openapi.json");
