//! TCP relay on loopback that can be cut, one way or both, and healed. A connection that loses
//! bytes to a cut stays open and silent for good; new ones work after the heal.

use std::{
    future,
    net::{Shutdown, SocketAddr},
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use async_std::{
    io::{ReadExt, WriteExt},
    net::{TcpListener, TcpStream},
    task,
};

/// Relay in front of one address.
#[derive(Clone, Debug)]
pub struct Relay {
    pub addr: SocketAddr,
    target: Arc<OnceLock<SocketAddr>>,
    cut_in: Arc<AtomicBool>,
    cut_out: Arc<AtomicBool>,
    forgotten: Arc<AtomicU64>,
}

impl Relay {
    /// Starts a relay whose target is set later.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let relay = Self {
            addr: listener.local_addr().unwrap(),
            target: Arc::default(),
            cut_in: Arc::default(),
            cut_out: Arc::default(),
            forgotten: Arc::default(),
        };
        task::spawn(relay.clone().run(listener));
        relay
    }

    pub fn set_target(&self, addr: SocketAddr) {
        self.target.set(addr).unwrap();
    }

    /// Cuts what goes to the target, and what comes from it.
    pub fn cut(&self, is_in_cut: bool, is_out_cut: bool) {
        self.cut_in.store(is_in_cut, Ordering::SeqCst);
        self.cut_out.store(is_out_cut, Ordering::SeqCst);
    }

    /// Makes all connections of now go silent for good.
    pub fn forget(&self) {
        self.forgotten.fetch_add(1, Ordering::SeqCst);
    }

    async fn run(self, listener: TcpListener) {
        while let Ok((near, _)) = listener.accept().await {
            let Some(addr) = self.target.get() else {
                continue;
            };
            let Ok(far) = TcpStream::connect(addr).await else {
                continue;
            };
            let to_target = Arc::clone(&self.cut_in);
            let from_target = Arc::clone(&self.cut_out);
            task::spawn(self.clone().pump(near.clone(), far.clone(), to_target));
            task::spawn(self.clone().pump(far, near, from_target));
        }
    }

    async fn pump(self, mut from: TcpStream, mut to: TcpStream, is_cut: Arc<AtomicBool>) {
        let born = self.forgotten.load(Ordering::SeqCst);
        let mut buf = vec![0; 16 * 1024];
        while let Ok(n) = from.read(&mut buf).await {
            let is_forgotten = self.forgotten.load(Ordering::SeqCst) > born;
            if is_forgotten || is_cut.load(Ordering::SeqCst) {
                future::pending::<()>().await;
            }
            if n == 0 || to.write_all(&buf[..n]).await.is_err() {
                break;
            }
        }
        // A failure means that the connection is closed already.
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }
}
