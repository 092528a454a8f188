//! TCP proxy on loopback that can be cut, one way or both, and healed. A connection that loses
//! bytes to a cut stays open but transfers nothing any more; new ones work after the heal.

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

/// TCP proxy in front of one address.
#[derive(Clone, Debug)]
pub struct Proxy {
    pub addr: SocketAddr,
    target: Arc<OnceLock<SocketAddr>>,
    cut_in: Arc<AtomicBool>,
    cut_out: Arc<AtomicBool>,
    stall_count: Arc<AtomicU64>,
}

impl Proxy {
    /// Starts a proxy; it drops connections until its target is set.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Self {
            addr: listener.local_addr().unwrap(),
            target: Arc::default(),
            cut_in: Arc::default(),
            cut_out: Arc::default(),
            stall_count: Arc::default(),
        };
        task::spawn(proxy.clone().run(listener));
        proxy
    }

    pub fn set_target(&self, addr: SocketAddr) {
        self.target.set(addr).unwrap();
    }

    /// Cuts or heals the direction to the target and the one from it.
    pub fn cut(&self, is_in_cut: bool, is_out_cut: bool) {
        self.cut_in.store(is_in_cut, Ordering::SeqCst);
        self.cut_out.store(is_out_cut, Ordering::SeqCst);
    }

    /// Stalls all open connections for good: they stay open but transfer nothing any more.
    pub fn stall_connections(&self) {
        self.stall_count.fetch_add(1, Ordering::SeqCst);
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
        let stall_count_at_start = self.stall_count.load(Ordering::SeqCst);
        let mut buf = vec![0; 16 * 1024];
        while let Ok(n) = from.read(&mut buf).await {
            let is_stalled = self.stall_count.load(Ordering::SeqCst) > stall_count_at_start;
            if is_stalled || is_cut.load(Ordering::SeqCst) {
                future::pending::<()>().await;
            }
            if n == 0 || to.write_all(&buf[..n]).await.is_err() {
                break;
            }
        }
        // Fails if the connection is closed already.
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }
}
