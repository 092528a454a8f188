//! Placement of a request on a backend server endpoint.
