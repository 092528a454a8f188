//! Pool of idle connections to backend servers.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use apricotlug_http::Conn;
use apricotlug_model::{HashMap, MonoTime};
use apricotlug_policy::steer::BackendKey;

/// Idle timeout that is assumed if the backend server announces none.
const UNKNOWN_IDLE: Duration = Duration::from_secs(4);

/// Time before the backend server's own idle timeout at which a connection is no longer used. A
/// request sent later could arrive while the backend server closes the connection.
const MARGIN: Duration = Duration::from_millis(1_200);

/// Largest number of idle connections to one backend server.
const MAX_IDLE: usize = 24;

#[derive(Debug)]
struct Idle {
    conn: Conn,
    since: MonoTime,
    expires_at: MonoTime,
}

/// Idle connections, by backend server.
#[derive(Debug, Default)]
pub struct Pool(Mutex<HashMap<BackendKey, Vec<Idle>>>);

impl Pool {
    /// Takes the most recently used connection that is still open, has no unexpected data to read
    /// and was idle for less than `max_idle`. Connections that fail the check are closed.
    pub async fn take(&self, key: BackendKey, within: Duration, now: MonoTime) -> Option<Conn> {
        loop {
            let mut idle = self.pop(key)?;
            let is_fit = !idle.expires_at.is_past(now) && now.since(idle.since) < within;
            if is_fit && idle.conn.is_reusable().await {
                return Some(idle.conn);
            }
        }
    }

    /// Returns a connection to the pool after a complete exchange. `idle_s` is the idle timeout
    /// that the backend server announced, in seconds.
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

    /// Closes all idle connections to a backend server.
    pub fn clear(&self, key: BackendKey) {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.remove(&key);
    }

    /// Closes expired connections, and all connections to backend servers that are not wanted.
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
