//! Logs: JSON lines on standard output, written by a thread of their own.
//!
//! The queue to that thread is bounded. Where it is full, lines are dropped and counted: logs
//! never hold up a request.

use std::io;

use apricotlug_config::LogLevel;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines that wait to be written at most.
const QUEUED_LINES: usize = 8_192;

/// Running logs. What is queued is written when they are dropped.
pub struct Logs {
    _guard: WorkerGuard,
    dropped: ErrorCounter,
}

impl Logs {
    /// Returns a reading of the lines that found the queue full.
    pub fn dropped(&self) -> impl Fn() -> u64 + Send + Sync + 'static {
        let counter = self.dropped.clone();
        move || counter.dropped_lines() as u64
    }
}

/// Starts logging.
pub fn start(level: LogLevel) -> Logs {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(QUEUED_LINES)
        .finish(io::stdout());
    let dropped = writer.error_counter();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_env_filter(EnvFilter::new(format!(
            "off,apricotlug={0}",
            level.as_str()
        )))
        .with_writer(writer);
    // A second start in one process has no effect.
    let _ = subscriber.try_init();
    Logs {
        _guard: guard,
        dropped,
    }
}
