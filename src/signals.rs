//! Signals that ask the process to end.

use std::{io, thread};

use async_channel::Receiver;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

/// Returns a channel that gets a message for each request to end.
///
/// # Errors
/// Returns what the system reports where the signals cannot be watched.
pub fn ends() -> io::Result<Receiver<()>> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let (tx, rx) = async_channel::bounded(1);
    thread::spawn(move || {
        for _ in signals.forever() {
            if tx.send_blocking(()).is_err() {
                return;
            }
        }
    });
    Ok(rx)
}
