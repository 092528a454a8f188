//! Idle connections to backend servers.

use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use apricotlug_http::Conn;
use apricotlug_model::HashMap;

/// Longest time that a connection stays idle in the pool. Limits how many requests meet a
/// connection that a device on the path has silently dropped.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// Largest number of idle connections per address.
const MAX_IDLE_PER_ADDR: usize = 64;

#[derive(Debug)]
struct Idle {
    conn: Conn,
    expires_at: Instant,
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool(Mutex<HashMap<SocketAddr, Vec<Idle>>>);

impl Pool {
    /// Takes the most recently used connection that is still open and has no unexpected bytes.
    pub async fn take(&self, addr: SocketAddr) -> Option<Conn> {
        loop {
            let mut idle = self.pop(addr)?;
            if idle.expires_at > Instant::now() && idle.conn.is_reusable().await {
                return Some(idle.conn);
            }
        }
    }

    /// Returns a connection after a complete exchange. One with unexpected bytes is closed, as is
    /// one above the limit per address.
    pub async fn put(&self, addr: SocketAddr, mut conn: Conn) {
        if !conn.is_reusable().await {
            return;
        }
        let mut idle = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let conns = idle.entry(addr).or_default();
        if conns.len() < MAX_IDLE_PER_ADDR {
            conns.push(Idle {
                conn,
                expires_at: Instant::now() + MAX_IDLE_TIME,
            });
        }
    }

    /// Closes expired connections, and those to addresses that are no longer in use.
    pub fn retain(&self, is_in_use: impl Fn(SocketAddr) -> bool) {
        let now = Instant::now();
        let mut idle = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|addr, conns| {
            conns.retain(|idle| idle.expires_at > now);
            is_in_use(*addr) && !conns.is_empty()
        });
    }

    fn pop(&self, addr: SocketAddr) -> Option<Idle> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get_mut(&addr)?
            .pop()
    }
}
