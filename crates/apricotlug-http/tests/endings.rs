//! How the end of a peer's stream is told from that of a connection that failed.

use std::{
    io::{Read, Write},
    net::{self, Shutdown},
    thread,
    time::Duration,
};

use apricotlug_http::{
    BodyReader, BodyWriter, Conn, Framing, Headers, HttpError, Limits, RequestHead, exchange,
};
use async_std::{net::TcpListener, task::block_on};

const REQUEST: &[u8] = b"request";
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nanswer";

/// Bytes that the buffers of a socket cannot hold.
const UPLOAD_BYTES: usize = 16 << 20;

/// Time limit of an exchange.
const TIME_LIMIT: Duration = Duration::from_secs(30);

/// How the peer ends a connection on which it has sent its answer.
#[derive(Clone, Copy, Debug)]
enum Ending {
    /// It closes the connection with input unread, which resets it.
    Reset,
    /// It ends its stream, and resets the connection after that.
    EndThenReset,
    /// It closes the connection with all input read.
    Close,
}

/// What the connection writes, until it fails, before it reads the answer.
#[derive(Clone, Copy, Debug)]
enum Upload {
    None,
    Bytes,
    Pieces,
    Body,
    /// Bytes, and some again once that has failed.
    Again,
}

/// Returns a connection to a peer that has sent its answer and ended the connection.
fn ended_conn(ending: Ending) -> Conn {
    let (mut conn, mut peer) = block_on(async {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let peer = net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        (Conn::new(stream, Limits::default()), peer)
    });
    block_on(conn.write(REQUEST)).unwrap();
    peer.peek(&mut [0]).unwrap();
    peer.write_all(ANSWER).unwrap();
    match ending {
        Ending::Reset => {}
        Ending::EndThenReset => peer.shutdown(Shutdown::Write).unwrap(),
        Ending::Close => peer.read_exact(&mut [0; REQUEST.len()]).unwrap(),
    }
    conn
}

async fn write(conn: &mut Conn, upload: Upload) {
    let bytes = vec![b'u'; UPLOAD_BYTES];
    let failed = match upload {
        Upload::None => return,
        Upload::Bytes => conn.write(&bytes).await,
        Upload::Pieces => conn.write_pieces(&[b"u", &bytes]).await,
        Upload::Body => BodyWriter::new(conn, Framing::Chunked).write(&bytes).await,
        Upload::Again => conn.write(&bytes).await.and(conn.write(&bytes).await),
    };
    assert!(matches!(failed, Err(HttpError::Io(_))), "{failed:?}");
}

/// Reads the head, and the body with the given framing.
async fn read_answer(conn: &mut Conn, framing: Framing) -> Result<Vec<u8>, HttpError> {
    conn.read_response().await?;
    let mut reader = BodyReader::new(framing, u64::MAX);
    let mut body = Vec::new();
    while let Some(piece) = reader.next(conn).await? {
        body.extend_from_slice(&piece);
    }
    Ok(body)
}

/// Guards against a part of an answer that is taken for all of it: the operating system reports a reset
/// once, and where a write heard of it, the stream seemed to end.
#[test]
fn a_body_until_close_is_whole_only_where_its_stream_ended() {
    for upload in [
        Upload::None,
        Upload::Bytes,
        Upload::Pieces,
        Upload::Body,
        Upload::Again,
    ] {
        for is_lean in [false, true] {
            let read = |ending| {
                let mut conn = ended_conn(ending);
                conn.set_lean(is_lean);
                block_on(async {
                    write(&mut conn, upload).await;
                    read_answer(&mut conn, Framing::UntilClose).await
                })
            };
            let cut = read(Ending::Reset);
            assert!(matches!(cut, Err(HttpError::Io(_))), "{upload:?}: {cut:?}");
            assert_eq!(read(Ending::EndThenReset).unwrap(), b"answer", "{upload:?}");
            assert_eq!(read(Ending::Close).unwrap(), b"answer", "{upload:?}");
        }
    }
}

/// Guards against the loss of an answer that is whole.
#[test]
fn a_body_with_a_length_is_whole_whatever_became_of_the_connection() {
    for upload in [Upload::None, Upload::Bytes, Upload::Again] {
        for ending in [Ending::Reset, Ending::EndThenReset, Ending::Close] {
            let mut conn = ended_conn(ending);
            let body = block_on(async {
                write(&mut conn, upload).await;
                read_answer(&mut conn, Framing::Length(6)).await
            });
            assert_eq!(body.unwrap(), b"answer", "{upload:?} {ending:?}");
        }
    }
}

/// Guards against a failure that only its first reader hears of.
#[test]
fn a_connection_that_failed_never_ends_for_a_later_reader() {
    let mut conn = ended_conn(Ending::Reset);
    block_on(async {
        conn.closed().await;
        for _ in 0..2 {
            let body = read_answer(&mut conn, Framing::UntilClose).await;
            assert!(matches!(body, Err(HttpError::Io(_))), "{body:?}");
        }
    });
}

/// An answer to a single request, whose client reads it once the request is written.
#[test]
fn a_single_exchange_takes_no_part_of_an_answer_for_the_whole() {
    let request = RequestHead {
        method: "POST".to_owned(),
        target: "/x".to_owned(),
        minor: 1,
        headers: Headers::default(),
    };
    let answers = [
        (
            true,
            "HTTP/1.1 200 OK\r\nx-odd: 2\r\ncontent-length: 4\r\n\r\nbody",
        ),
        (false, "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nbody"),
        (
            false,
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n",
        ),
        (false, "HTTP/1.1 200 OK\r\n\r\nbody"),
        (false, "HTTP/1.1 200 OK\r\n\r\n"),
        (false, "HTTP/1.1 000 OK\r\ncontent-length: 4\r\n\r\nbody"),
        (
            false,
            "HTTP/1.1 200 OK\r\nx odd: 2\r\ncontent-length: 4\r\n\r\nbody",
        ),
        (
            false,
            "HTTP/1.1 200 OK\r\nx-odd : 2\r\ncontent-length: 4\r\n\r\nbody",
        ),
    ];
    for (is_whole, answer) in answers {
        let listener = net::TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let addr = listener.local_addr().unwrap();
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            // The request stays unread, so that the close resets the connection.
            stream.peek(&mut [0]).unwrap();
            stream.write_all(answer.as_bytes()).unwrap();
        });
        let reply = block_on(exchange(
            addr,
            request.clone(),
            b"body",
            1 << 20,
            TIME_LIMIT,
        ));
        assert_eq!(reply.is_ok(), is_whole, "{answer:?}: {reply:?}");
    }
}
