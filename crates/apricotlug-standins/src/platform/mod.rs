//! Stand-in of the platform.
