//! Idle connections to backend servers.

use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use apricotlug_http::Conn;
use apricotlug_model::HashMap;

/// Longest time that a connection stays idle in the pool. A path that lost track of a connection
/// is met by few requests.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// Most idle connections to one address.
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
    /// Takes the connection used last that is still open and has nothing unasked on it.
    pub async fn take(&self, addr: SocketAddr) -> Option<Conn> {
        loop {
            let mut idle = self.pop(addr)?;
            if idle.expires_at > Instant::now() && idle.conn.is_reusable().await {
                return Some(idle.conn);
            }
        }
    }

    /// Returns a connection after a whole exchange. One with unasked bytes is closed.
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

    /// Closes the idle connections to addresses that are no longer wanted, and expired ones.
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
