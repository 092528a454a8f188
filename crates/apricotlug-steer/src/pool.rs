//! Pool of idle connections to backend servers.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use apricotlug_http::Conn;
use apricotlug_model::{HashMap, MonoTime};
use apricotlug_policy::steer::BackendKey;

/// Idle timeout that is assumed if the backend server announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time before the backend server's own idle timeout at which a connection is no longer used. A
/// request sent later could arrive while the backend server closes the connection.
const IDLE_MARGIN: Duration = Duration::from_millis(1_200);

/// Largest number of idle connections to one backend server.
const MAX_IDLE_PER_BACKEND: usize = 24;

#[derive(Debug)]
struct IdleConn {
    conn: Conn,
    since: MonoTime,
    expires_at: MonoTime,
}

/// Idle connections, by backend server.
#[derive(Debug)]
pub struct Pool {
    max: usize,
    conns: Mutex<HashMap<BackendKey, Vec<IdleConn>>>,
}

impl Pool {
    /// Creates a pool for up to `max` connections.
    #[must_use]
    pub fn new(max: usize) -> Self {
        Self {
            max,
            conns: Mutex::default(),
        }
    }

    /// Takes the most recently used connection that is still open, has no unexpected data to read
    /// and was idle for less than `max_idle`. Connections that fail the check are closed.
    pub async fn take(&self, key: BackendKey, max_idle: Duration, now: MonoTime) -> Option<Conn> {
        loop {
            let mut idle = self.pop(key)?;
            let is_usable = !idle.expires_at.is_past(now) && now.since(idle.since) < max_idle;
            if is_usable && idle.conn.is_reusable().await {
                return Some(idle.conn);
            }
        }
    }

    /// Returns a connection to the pool after a complete exchange. `keep_alive_s` is the idle
    /// timeout that the backend server announced, in seconds.
    pub async fn put(
        &self,
        key: BackendKey,
        mut conn: Conn,
        keep_alive_s: Option<u64>,
        now: MonoTime,
    ) {
        if !conn.is_reusable().await {
            return;
        }
        conn.release_buffer();
        let idle_timeout = keep_alive_s.map_or(DEFAULT_IDLE_TIMEOUT, Duration::from_secs);
        let mut conns_by_backend = self.conns.lock().unwrap_or_else(PoisonError::into_inner);
        let is_full = conns_by_backend.values().map(Vec::len).sum::<usize>() >= self.max;
        let conns = conns_by_backend.entry(key).or_default();
        if conns.len() < MAX_IDLE_PER_BACKEND && !is_full {
            conns.push(IdleConn {
                conn,
                since: now,
                expires_at: now.after(idle_timeout.saturating_sub(IDLE_MARGIN)),
            });
        }
    }

    /// Closes all idle connections to a backend server.
    pub fn clear(&self, key: BackendKey) {
        let mut conns_by_backend = self.conns.lock().unwrap_or_else(PoisonError::into_inner);
        conns_by_backend.remove(&key);
    }

    /// Closes expired connections, and all connections to backend servers that are not registered.
    pub fn sweep(&self, now: MonoTime, is_registered: impl Fn(BackendKey) -> bool) {
        let mut conns_by_backend = self.conns.lock().unwrap_or_else(PoisonError::into_inner);
        conns_by_backend.retain(|key, conns| {
            conns.retain(|idle| !idle.expires_at.is_past(now));
            is_registered(*key) && !conns.is_empty()
        });
    }

    fn pop(&self, key: BackendKey) -> Option<IdleConn> {
        let mut conns_by_backend = self.conns.lock().unwrap_or_else(PoisonError::into_inner);
        conns_by_backend.get_mut(&key)?.pop()
    }
}
