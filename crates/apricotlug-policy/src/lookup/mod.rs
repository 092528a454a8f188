//! Look-ups: which entry instances a caller should use.
