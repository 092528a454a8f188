//! At-most-once execution: attempt states and order tokens.
