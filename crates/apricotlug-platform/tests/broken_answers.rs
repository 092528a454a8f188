//! Answers of the platform that break off, or are none in the protocol.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use apricotlug_platform::{Client, ClientConfig};
use async_std::{future::timeout, task::block_on};

/// Longest wait for an event of a watch that comes, and for one that must not.
const EVENT_TIME: Duration = Duration::from_secs(30);
const NO_EVENT_TIME: Duration = Duration::from_millis(500);

/// Body of a read that finds nothing: a part of a longer one may seem to be one.
const NOTHING: &str = r#"{"header":{"revision":"7"}}"#;

/// Starts a platform that sends the same bytes to each request and closes the connection. Returns its
/// address.
fn platform(answer: String) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            // A client that has gone needs no answer.
            if read_request(&mut stream).is_ok() {
                let _ = stream.write_all(answer.as_bytes());
            }
        }
    });
    addr
}

/// Reads a whole request: a close with a part of it unread would reset the connection.
fn read_request(stream: &mut TcpStream) -> io::Result<()> {
    let (mut text, mut buf) = (String::new(), [0; 4_096]);
    loop {
        let len = stream.read(&mut buf)?;
        if len == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        text.push_str(str::from_utf8(&buf[..len]).unwrap());
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let declared = head.split("content-length: ").nth(1).unwrap();
        let declared = declared.lines().next().unwrap();
        if declared.parse() == Ok(body.len()) {
            return Ok(());
        }
    }
}

fn client(answer: String) -> Client {
    Client::new(ClientConfig {
        addrs: vec![platform(answer)],
        call_timeout_ms: 3_000,
        calls_per_s: 10_000,
        burst: 10_000,
        backoff_base_ms: 1,
        backoff_cap_ms: 20,
        watch_idle_ms: 150,
        ..ClientConfig::default()
    })
}

#[test]
fn a_whole_answer_is_taken() {
    let len = NOTHING.len();
    let answer = format!("HTTP/1.1 200 OK\r\nX-Odd: 2\r\nContent-Length: {len}\r\n\r\n{NOTHING}");
    let entry = block_on(client(answer).get("a/x"));
    assert!(matches!(entry, Ok(None)), "{entry:?}");
}

#[test]
fn an_answer_that_breaks_off_or_is_none_in_the_protocol_is_an_error() {
    let len = NOTHING.len();
    let length = format!("Content-Length: {len}\r\n\r\n{NOTHING}");
    let chunk = format!("{len:x}\r\n{NOTHING}\r\n");
    let answers = [
        "HTTP/1.1 200 OK\r\n\r\n".to_owned(),
        format!("HTTP/1.1 200 OK\r\n\r\n{NOTHING}"),
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{NOTHING}",
            len + 1
        ),
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}"),
        format!("HTTP/1.1 000 OK\r\n{length}"),
        format!("HTTP/1.1 600 OK\r\n{length}"),
        format!("HTTP/1.1 200 OK\r\nX Odd: 2\r\n{length}"),
        format!("HTTP/1.1 200 OK\r\nX-Odd : 2\r\n{length}"),
        format!("HTTP/1.1 200 OK\r\n X-Odd: 2\r\n{length}"),
        format!("HTTP/1.1 200 OK\r\nX-Odd: 2\r\n folded\r\n{length}"),
        format!("HTTP/1.1 200 OK\r\nX\u{1}Odd: 2\r\n{length}"),
        format!("HTTP/1.1 200 OK\r\nContent-Length : 2\r\n{length}"),
    ];
    for answer in answers {
        let read = block_on(client(answer.clone()).get("a/x"));
        assert!(read.is_err(), "{answer:?}: {read:?}");
    }
}

#[test]
fn a_watch_takes_no_event_that_breaks_off_or_comes_with_no_answer() {
    let event = r#"{"result":{"events":[{"kv":{"key":"YS94","mod_revision":"7","version":"1"}}]}}"#;
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let head = "Transfer-Encoding: chunked\r\n\r\n";
    let whole = chunk(&format!("{event}\n"));
    let answers = [
        (true, format!("HTTP/1.1 200 OK\r\n{head}{whole}")),
        (false, format!("HTTP/1.1 200 OK\r\n{head}{}", chunk(event))),
        (
            false,
            format!("HTTP/1.1 200 OK\r\n{head}{}0\r\n\r\n", chunk(event)),
        ),
        (false, format!("HTTP/1.1 000 OK\r\n{head}{whole}")),
        (
            false,
            format!("HTTP/1.1 200 OK\r\nX Odd: 2\r\n{head}{whole}"),
        ),
    ];
    for (is_event, answer) in answers {
        let mut watch = client(answer.clone()).watch("a/", 1);
        let time_limit = if is_event { EVENT_TIME } else { NO_EVENT_TIME };
        let next = block_on(timeout(time_limit, watch.next()));
        assert_eq!(matches!(next, Ok(Ok(_))), is_event, "{answer:?}: {next:?}");
    }
}
