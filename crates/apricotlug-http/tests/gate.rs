//! Limit on open connections: who is let in, and who is closed for it.

use std::{io::Read, net, sync::Arc};

use apricotlug_http::{ConnGate, GateCounts};
use async_std::{
    net::{TcpListener, TcpStream},
    task::block_on,
};

/// Returns both ends of a new connection.
async fn connection(listener: &TcpListener) -> (net::TcpStream, TcpStream) {
    let caller = net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (caller, listener.accept().await.unwrap().0)
}

fn is_closed(mut caller: &net::TcpStream) -> bool {
    caller.set_nonblocking(true).unwrap();
    matches!(caller.read(&mut [0; 1]), Ok(0))
}

#[test]
fn a_full_gate_closes_the_connection_that_has_waited_longest() {
    block_on(async {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let gate = Arc::new(ConnGate::new(3));
        let (mut callers, mut permits) = (Vec::new(), Vec::new());
        for _ in 0..3 {
            let (caller, stream) = connection(&listener).await;
            permits.push(gate.enter(&stream).unwrap());
            callers.push(caller);
        }
        // The first carries a request and then waits again, so the second has waited longest.
        assert!(permits[0].on_request());
        permits[0].on_wait();
        let (_caller, stream) = connection(&listener).await;
        let mut newest = gate.enter(&stream).unwrap();
        assert!(!permits[1].on_request(), "it was closed for another");
        assert!(permits[0].on_request() && permits[2].on_request() && newest.on_request());
        let closed: Vec<_> = callers.iter().map(is_closed).collect();
        assert_eq!(closed, [false, true, false]);
        // All carry requests now.
        assert!(gate.enter(&stream).is_none());
        let counts = GateCounts {
            open: 3,
            closed: 1,
            refused: 1,
        };
        assert_eq!(gate.counts(), counts);
        permits.clear();
        assert_eq!(gate.counts().open, 1, "the closed one is counted once");
        assert!(gate.enter(&stream).is_some());
    });
}
