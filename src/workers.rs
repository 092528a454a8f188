//! Number of worker threads of the runtime.
//!
//! The runtime starts one a core unless its environment variable says otherwise. An instance is
//! small, and each thread has a heap arena of its own that keeps what it freed: two threads keep
//! the memory of a bundle change from multiplying, and one can serve while the other loads.

use std::env;

/// Environment variable by which the runtime takes its number of worker threads.
const VARIABLE: &str = "ASYNC_STD_THREAD_COUNT";

/// Worker threads where the environment names no number.
const WORKERS: &str = "2";

/// Limits the worker threads, unless the environment names a number. Called first in `main`.
#[allow(unsafe_code)]
pub fn limit() {
    if env::var_os(VARIABLE).is_none() {
        // SAFETY: no other thread of this process runs yet, so none reads the environment.
        unsafe { env::set_var(VARIABLE, WORKERS) };
    }
}
