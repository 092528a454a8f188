//! TCP relay that can be cut: open connections end, new ones are closed at once.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

/// Relay in front of one address.
pub struct Relay {
    addr: SocketAddr,
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Relay {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let is_cut = Arc::new(AtomicBool::new(false));
        let open = Arc::new(Mutex::new(Vec::new()));
        let (cut, conns) = (Arc::clone(&is_cut), Arc::clone(&open));
        thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                if cut.load(Ordering::SeqCst) {
                    continue;
                }
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                let mut conns = conns.lock().unwrap();
                conns.push(client.try_clone().unwrap());
                conns.push(server.try_clone().unwrap());
                pump(client.try_clone().unwrap(), server.try_clone().unwrap());
                pump(server, client);
            }
        });
        Self { addr, is_cut, open }
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
        for conn in self.open.lock().unwrap().drain(..) {
            let _ = conn.shutdown(Shutdown::Both);
        }
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream) {
    thread::spawn(move || -> io::Result<()> {
        let mut buf = [0; 16 * 1024];
        loop {
            let len = from.read(&mut buf)?;
            if len == 0 {
                return to.shutdown(Shutdown::Write);
            }
            to.write_all(&buf[..len])?;
        }
    });
}
