//! Calls between entry instances: membership, bundle, transfers.
