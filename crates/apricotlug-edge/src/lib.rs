//! The request path: accept, identify, admit, place, send, verify, answer, settle.
