//! Pool of open connections, keyed by peer address.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use apricotlug_model::HashMap;
use futures::{
    FutureExt,
    executor::LocalSpawner,
    future::{LocalBoxFuture, Shared},
};

use super::{client::Connection, traffic::Meter};
use crate::PeerError;

/// Maximum number of connections kept open.
const MAX_CONNECTIONS: usize = 64;
/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Connection that is being opened, shared by all tasks that wait for it.
type Opening = Shared<LocalBoxFuture<'static, Result<Rc<Connection>, PeerError>>>;

/// Pool of connections, each replaced after its first failed call.
pub(crate) struct Pool {
    connections: RefCell<HashMap<SocketAddr, Rc<Connection>>>,
    opening: RefCell<HashMap<SocketAddr, Opening>>,
    meter: Arc<Meter>,
    spawner: LocalSpawner,
}

impl Pool {
    pub fn new(meter: Arc<Meter>, spawner: LocalSpawner) -> Self {
        Self {
            connections: RefCell::default(),
            opening: RefCell::default(),
            meter,
            spawner,
        }
    }

    /// Returns an open connection, and whether it is a reused one.
    ///
    /// # Errors
    /// Returns an error if no connection can be opened; nothing was sent then.
    pub async fn get(&self, addr: SocketAddr) -> Result<(Rc<Connection>, bool), PeerError> {
        if let Some(connection) = self.cached(addr) {
            return Ok((connection, true));
        }
        Ok((self.open(addr).await?, false))
    }

    /// Opens a new connection, which replaces an existing one to the same address.
    ///
    /// # Errors
    /// Returns an error if no connection can be opened; nothing was sent then.
    pub async fn open(&self, addr: SocketAddr) -> Result<Rc<Connection>, PeerError> {
        let opening = self.opening(addr);
        let opened = opening.await;
        self.opening.borrow_mut().remove(&addr);
        let opened = opened.inspect_err(|_| Meter::count(&self.meter.calls_failed, 1))?;
        self.connections
            .borrow_mut()
            .insert(addr, Rc::clone(&opened));
        self.close_surplus();
        Ok(opened)
    }

    /// Closes connections that are broken or idle.
    pub fn close_idle(&self) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|_, c| !c.is_broken() && c.idle_time() < IDLE_TIMEOUT);
    }

    /// Returns the connection that is being opened to an address, and starts opening one if there
    /// is none.
    fn opening(&self, addr: SocketAddr) -> Opening {
        let mut opening = self.opening.borrow_mut();
        let start = || {
            let meter = Arc::clone(&self.meter);
            Connection::open(addr, meter, self.spawner.clone())
                .boxed_local()
                .shared()
        };
        opening.entry(addr).or_insert_with(start).clone()
    }

    fn cached(&self, addr: SocketAddr) -> Option<Rc<Connection>> {
        let mut connections = self.connections.borrow_mut();
        let connection = connections.get(&addr).cloned()?;
        if connection.is_broken() {
            connections.remove(&addr);
            return None;
        }
        Some(connection)
    }

    fn close_surplus(&self) {
        let mut connections = self.connections.borrow_mut();
        while connections.len() > MAX_CONNECTIONS {
            let longest_idle = connections.iter().max_by_key(|(_, c)| c.idle_time());
            let Some(addr) = longest_idle.map(|(addr, _)| *addr) else {
                return;
            };
            connections.remove(&addr);
        }
    }
}
