//! Signals that ask the process to end.

use std::{io, thread};

use async_channel::Receiver;
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
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

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    /// To end.
    End,
    /// To read the settings again.
    Reload,
}

/// Returns a channel that gets a message for each request to end or to read the settings again.
///
/// # Errors
/// Returns what the system reports where the signals cannot be watched.
pub fn all() -> io::Result<Receiver<Asked>> {
    let mut signals = Signals::new([SIGHUP, SIGINT, SIGTERM])?;
    let (tx, rx) = async_channel::unbounded();
    thread::spawn(move || {
        for signal in signals.forever() {
            let asked = match signal {
                SIGHUP => Asked::Reload,
                _ => Asked::End,
            };
            if tx.send_blocking(asked).is_err() {
                return;
            }
        }
    });
    Ok(rx)
}
