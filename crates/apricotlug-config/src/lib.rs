//! Bundle and settings: parse, check, compare.
