//! Answers that break off, or are none in the protocol, through an entry instance.

mod support;

use std::{
    io::{Read, Write},
    net::TcpStream,
};

use apricotlug_standins::backend::{Fault, FaultRule};
use support::{CALLER, Entry, Reply, World, ask};

/// Upload that the buffers of the sockets cannot hold, in bytes.
const UPLOAD_BYTES: usize = 4 << 20;

/// Tries of each answer: which half of the connection hears of a reset differs from try to try.
const TRIES: usize = 12;

fn single() -> (World, Entry) {
    let world = World::start(|text| text);
    let entry = world.fleet(&["brest"]).remove(0);
    (world, entry)
}

/// Sends a request with a body while every backend server has a fault. Returns the reply and how often
/// the request ran.
fn ask_at_fault(
    world: &World,
    entry: &Entry,
    fault: Fault,
    path: &str,
    body: &[u8],
) -> (Reply, usize) {
    for backend in &world.backends {
        backend.set_faults(vec![FaultRule::always(fault)]);
    }
    let before = world.total();
    let lines = format!("authorization: Bearer {CALLER}\r\n");
    let reply = ask(entry.caller, "POST", path, &lines, body);
    (reply, world.total() - before)
}

/// Returns whether a reply ends as its head declares.
fn is_whole(reply: &Reply) -> bool {
    match reply.header("content-length") {
        Some(len) => len.parse() == Ok(reply.body.len()),
        None => reply.status != 0 && reply.body.ends_with("0\r\n\r\n"),
    }
}

/// Guards against a part of an answer that is taken for all of it, since a write heard of the reset and
/// the stream of the answer seemed to end.
#[test]
fn an_answer_without_a_length_that_a_reset_cuts_short_does_not_end() {
    let (world, entry) = single();
    let head = "HTTP/1.1 200 OK\r\napricotlug-request-id: {id}\r\n\r\n";
    let part = "HTTP/1.1 200 OK\r\napricotlug-request-id: {id}\r\n\r\npart";
    let upload = vec![b'u'; UPLOAD_BYTES];
    let mut whole = Vec::new();
    for text in [head, part] {
        for _ in 0..TRIES {
            let fault = Fault::ResetUpload(text);
            let (reply, runs) = ask_at_fault(&world, &entry, fault, "/bookings/x", &upload);
            assert!(runs <= 1, "ran {runs} times");
            if reply.status == 200 && is_whole(&reply) {
                whole.push(reply);
            }
        }
    }
    assert!(
        whole.is_empty(),
        "{} of {}: {:?}",
        whole.len(),
        2 * TRIES,
        whole[0]
    );
}

/// Guards against the loss of answers to requests that ran.
#[test]
fn an_answer_with_a_length_is_delivered_although_the_upload_failed() {
    let (world, entry) = single();
    let ok = "HTTP/1.1 200 OK\r\napricotlug-request-id: {id}\r\ncontent-length: 4\r\n\r\nbody";
    let too_large =
        "HTTP/1.1 413 Too Large\r\napricotlug-request-id: {id}\r\ncontent-length: 4\r\n\r\nbody";
    let chunked = "HTTP/1.1 200 OK\r\napricotlug-request-id: {id}\r\n\
        transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
    let upload = vec![b'u'; UPLOAD_BYTES];
    for (text, status) in [(ok, 200), (too_large, 413), (chunked, 200)] {
        for _ in 0..TRIES {
            let fault = Fault::ResetUpload(text);
            let (reply, runs) = ask_at_fault(&world, &entry, fault, "/bookings/x", &upload);
            assert_eq!((reply.status, runs), (status, 1), "{reply:?}");
            assert!(is_whole(&reply) && reply.body.contains("body"), "{reply:?}");
        }
    }
}

#[test]
fn a_head_without_a_status_or_with_a_line_that_has_no_field_name_is_no_answer() {
    let (world, entry) = single();
    let texts = [
        "HTTP/1.1 000 OK\r\napricotlug-request-id: {id}\r\ncontent-length: 4\r\n\r\nbody",
        "HTTP/1.1 600 OK\r\napricotlug-request-id: {id}\r\ncontent-length: 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\napricotlug-request-id: {id}\r\nx odd: 2\r\ncontent-length: 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\napricotlug-request-id: {id}\r\ncontent-length : 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\napricotlug-request-id: {id}\r\n content-length: 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\napricotlug-request-id: {id}\r\nx\u{1}odd: 2\r\ncontent-length: 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\n x-odd: 2\r\napricotlug-request-id: {id}\r\ncontent-length: 4\r\n\r\nbody",
        "HTTP/1.1 503 Full\r\napricotlug-outcome: not-run\r\nx odd: 2\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 103 Early\r\nx odd: 2\r\n\r\n\
         HTTP/1.1 200 OK\r\napricotlug-request-id: {id}\r\ncontent-length: 4\r\n\r\nbody",
    ];
    for text in texts {
        let (reply, runs) = ask_at_fault(&world, &entry, Fault::Text(text), "/bookings/x", b"body");
        let seen = (reply.status, reply.outcome(), runs);
        assert_eq!(seen, (504, "unknown", 1), "{text:?}: {reply:?}");
    }
}

/// Guards against an answer that breaks off and seems whole, since a body without a length ends for a
/// caller of HTTP/1.0 where its connection does.
#[test]
fn a_caller_of_http_1_0_does_not_see_the_end_of_an_answer_that_broke_off() {
    let (world, entry) = single();
    let chunks = "HTTP/1.1 200 OK\r\napricotlug-request-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n";
    let nothing =
        "HTTP/1.1 200 OK\r\napricotlug-request-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n";
    for text in [chunks, nothing] {
        for backend in &world.backends {
            backend.set_faults(vec![FaultRule::always(Fault::Text(text))]);
        }
        let mut stream = TcpStream::connect(entry.caller).unwrap();
        write!(
            stream,
            "POST /bookings/x HTTP/1.0\r\nhost: a\r\nauthorization: Bearer {CALLER}\r\ncontent-length: 0\r\n\r\n"
        )
        .unwrap();
        let mut received = Vec::new();
        let ended = stream.read_to_end(&mut received);
        let received = String::from_utf8_lossy(&received);
        assert!(ended.is_err(), "{text:?}: {received:?}");
    }
}
