//! TCP relay on loopback that can be cut, one way or both, and healed. Connections that are cut
//! stay open and go silent.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use async_std::{
    io::{ReadExt, WriteExt},
    net::{TcpListener, TcpStream},
    task,
};

/// Time between looks at whether a cut direction has healed.
const POLL: Duration = Duration::from_millis(20);

/// Relay in front of one address.
#[derive(Clone, Debug)]
pub struct Relay {
    pub addr: SocketAddr,
    cut_in: Arc<AtomicBool>,
    cut_out: Arc<AtomicBool>,
}

impl Relay {
    /// Starts a relay. `target` is asked at each connection, so that it may be set later.
    pub async fn start(target: impl Fn() -> SocketAddr + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let relay = Self {
            addr: listener.local_addr().unwrap(),
            cut_in: Arc::default(),
            cut_out: Arc::default(),
        };
        let shared = relay.clone();
        task::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let Ok(far) = TcpStream::connect(target()).await else {
                    continue;
                };
                task::spawn(pump(near.clone(), far.clone(), Arc::clone(&shared.cut_in)));
                task::spawn(pump(far, near, Arc::clone(&shared.cut_out)));
            }
        });
        relay
    }

    /// Cuts what goes to the target, and what comes from it.
    pub fn cut(&self, is_in_cut: bool, is_out_cut: bool) {
        self.cut_in.store(is_in_cut, Ordering::SeqCst);
        self.cut_out.store(is_out_cut, Ordering::SeqCst);
    }

    pub fn heal(&self) {
        self.cut(false, false);
    }
}

async fn pump(mut from: TcpStream, mut to: TcpStream, is_cut: Arc<AtomicBool>) {
    let mut buf = vec![0; 16 * 1024];
    let mut has_lost = false;
    while let Ok(n) = from.read(&mut buf).await {
        // What has lost its place in the middle stays silent for good, as a forgotten
        // connection does.
        has_lost |= is_cut.load(Ordering::SeqCst);
        while has_lost && n > 0 {
            task::sleep(POLL).await;
            if to.peek(&mut [0; 1]).await.is_ok_and(|n| n == 0) {
                return;
            }
        }
        if n == 0 || to.write_all(&buf[..n]).await.is_err() {
            break;
        }
    }
    // A failure means that the connection is closed already.
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}
