//! Moves of traffic from one version of a service to another.
