//! Tasks whose input or output is always ready let others run.

use std::{
    io::{Read, Write},
    net,
    sync::Arc,
};

use apricotlug_http::{
    AppLimits, BodyReader, BodyWriter, Conn, Framing, HttpError, Limits, serve_app,
};
use async_std::{
    net::{TcpListener, TcpStream},
    task::block_on,
};
use futures_lite::future::poll_once;

/// Size of a read, small so that bytes that all lie in the socket's buffer take many reads.
const READ_BYTES: usize = 512;

/// Bytes that fit into the buffers of a socket.
const BYTES: usize = 32 * 1024;

/// Returns both ends of a new connection.
fn connection() -> (net::TcpStream, TcpStream) {
    block_on(async {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let peer = net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        (peer, listener.accept().await.unwrap().0)
    })
}

/// Returns a connection on which the peer has sent `bytes`, and the peer.
fn conn_with(bytes: &[u8]) -> (Conn, net::TcpStream) {
    let (mut peer, stream) = connection();
    peer.write_all(bytes).unwrap();
    let mut conn = Conn::new(stream, Limits::default());
    conn.set_read_bytes(Some(READ_BYTES));
    (conn, peer)
}

async fn read_all(conn: &mut Conn, framing: Framing) -> Result<usize, HttpError> {
    let mut reader = BodyReader::new(framing, u64::MAX);
    let mut len = 0;
    while let Some(piece) = reader.next(conn).await? {
        len += piece.len();
    }
    Ok(len)
}

/// Guards against a worker thread that serves one body alone: time limits around it are not looked at,
/// and other requests wait.
#[test]
fn reading_a_body_that_is_always_ready_lets_other_tasks_run() {
    let chunks = [b"1\r\nx\r\n".repeat(BYTES / 6), b"0\r\n\r\n".to_vec()].concat();
    let bodies = [
        (Framing::Length(BYTES as u64), vec![b'x'; BYTES], BYTES),
        (Framing::Chunked, chunks, BYTES / 6),
    ];
    for (framing, bytes, len) in bodies {
        let (mut conn, _peer) = conn_with(&bytes);
        let mut reading = Box::pin(read_all(&mut conn, framing));
        let first_turn = block_on(poll_once(reading.as_mut()));
        assert!(first_turn.is_none(), "{framing:?} in one turn");
        assert_eq!(block_on(reading).unwrap(), len);
    }
}

/// Guards against chunks so small that one read brings thousands of them.
#[test]
fn chunks_that_were_read_together_let_other_tasks_run() {
    let chunks = [b"1\r\nx\r\n".repeat(2_000), b"0\r\n\r\n".to_vec()].concat();
    let (mut conn, _peer) = conn_with(&chunks);
    conn.set_read_bytes(None);
    let mut reading = Box::pin(read_all(&mut conn, Framing::Chunked));
    assert!(block_on(poll_once(reading.as_mut())).is_none());
    assert_eq!(block_on(reading).unwrap(), 2_000);
}

/// Guards against the same on the way to a peer that takes all bytes at once.
#[test]
fn writing_to_a_peer_that_is_always_ready_lets_other_tasks_run() {
    let (mut peer, stream) = connection();
    let mut conn = Conn::new(stream.clone(), Limits::default());
    let pieces = 256;
    let mut writer = BodyWriter::new(&conn, Framing::Chunked);
    let mut body = Box::pin(async {
        for _ in 0..pieces {
            writer.write(b"x").await.unwrap();
        }
        writer.finish().await
    });
    assert!(block_on(poll_once(body.as_mut())).is_none(), "a body");
    block_on(body).unwrap();
    let mut heads = Box::pin(async {
        for _ in 0..pieces {
            conn.write(b"x").await.unwrap();
        }
    });
    assert!(block_on(poll_once(heads.as_mut())).is_none(), "responses");
    block_on(heads);
    drop(conn);
    stream.shutdown(net::Shutdown::Write).unwrap();
    let mut received = Vec::new();
    peer.read_to_end(&mut received).unwrap();
    let expected = [
        b"1\r\nx\r\n".repeat(pieces),
        b"0\r\n\r\n".to_vec(),
        vec![b'x'; pieces],
    ];
    assert_eq!(received, expected.concat());
}

/// Guards against a time limit of the discarding of input that is looked at only by the loop itself,
/// which then holds its thread for the whole limit.
#[test]
fn discarding_input_that_is_always_ready_lets_other_tasks_run() {
    let (mut conn, peer) = conn_with(&vec![b'x'; BYTES]);
    peer.shutdown(net::Shutdown::Write).unwrap();
    assert!(block_on(poll_once(conn.linger())).is_none());
}

/// Guards against callers that connect without end and keep the thread of the listener for themselves.
#[test]
fn accepting_connections_that_are_always_there_lets_other_tasks_run() {
    const CONNECTIONS: usize = 32;
    block_on(async {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let connect = || net::TcpStream::connect(addr).unwrap();
        let _callers: Vec<_> = (0..CONNECTIONS).map(|_| connect()).collect();
        let limits = AppLimits::default();
        let gate = Arc::clone(&limits.gate);
        let mut serving = Box::pin(serve_app(listener, Arc::new(tide::new()), limits));
        assert!(poll_once(serving.as_mut()).await.is_none());
        assert!(gate.counts().open < CONNECTIONS, "accepted in one turn");
        while gate.counts().open < CONNECTIONS {
            assert!(poll_once(serving.as_mut()).await.is_none());
        }
    });
}
