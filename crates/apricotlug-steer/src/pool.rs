//! Idle connections to backend servers.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use apricotlug_http::Conn;
use apricotlug_model::{HashMap, MonoTime};
use apricotlug_policy::steer::BackendKey;

/// Idle time after which a connection is closed where the backend server names none.
const UNKNOWN_IDLE: Duration = Duration::from_secs(4);

/// Time before the backend server's own limit at which a connection is no longer used: what is
/// sent just then may meet its closing.
const MARGIN: Duration = Duration::from_millis(1_200);

/// Most idle connections to one backend server.
const MAX_IDLE: usize = 24;

#[derive(Debug)]
struct Idle {
    conn: Conn,
    since: MonoTime,
    expires_at: MonoTime,
}

/// Idle connections by backend server.
#[derive(Debug, Default)]
pub struct Pool(Mutex<HashMap<BackendKey, Vec<Idle>>>);

impl Pool {
    /// Takes the connection used last that is still open, has nothing unasked on it and was used
    /// within the given span.
    pub async fn take(&self, key: BackendKey, within: Duration, now: MonoTime) -> Option<Conn> {
        loop {
            let mut idle = self.pop(key)?;
            let is_fit = !idle.expires_at.is_past(now) && now.since(idle.since) < within;
            if is_fit && idle.conn.is_reusable().await {
                return Some(idle.conn);
            }
        }
    }

    /// Returns a connection after a whole exchange. `idle_s` is the backend server's own limit.
    pub async fn put(&self, key: BackendKey, mut conn: Conn, idle_s: Option<u64>, now: MonoTime) {
        if !conn.is_reusable().await {
            return;
        }
        let span = idle_s.map_or(UNKNOWN_IDLE, Duration::from_secs);
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let conns = all.entry(key).or_default();
        if conns.len() < MAX_IDLE {
            conns.push(Idle {
                conn,
                since: now,
                expires_at: now.after(span.saturating_sub(MARGIN)),
            });
        }
    }

    /// Closes the idle connections to a backend server.
    pub fn clear(&self, key: BackendKey) {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.remove(&key);
    }

    /// Closes expired connections, and those to backend servers that are not wanted.
    pub fn sweep(&self, now: MonoTime, is_wanted: impl Fn(BackendKey) -> bool) {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.retain(|key, conns| {
            conns.retain(|idle| !idle.expires_at.is_past(now));
            is_wanted(*key) && !conns.is_empty()
        });
    }

    fn pop(&self, key: BackendKey) -> Option<Idle> {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.get_mut(&key)?.pop()
    }
}
