//! What callers and backend servers may do to an instance, and what it does then.

mod support;

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpStream},
    time::Duration,
};

use apricotlug_standins::backend::{Fault, FaultRule};
use support::{CALLER, Entry, World, ask, send_raw};

fn head(lines: &str) -> String {
    format!("authorization: Bearer {CALLER}\r\nconnection: close\r\n{lines}\r\n")
}

fn single() -> (World, Entry) {
    let world = World::start(|text| text);
    let entry = world.fleet(&["brest"]).remove(0);
    (world, entry)
}

#[test]
fn ambiguous_and_oversized_requests_are_refused_with_a_status() {
    let (world, entry) = single();
    let giant = format!("x-pad: {}\r\n", "y".repeat(20_000));
    let many = "x-pad: y\r\n".repeat(200);
    let table: [(&str, u16); 12] = [
        (
            "POST /stock/x HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ncontent-length: 4\r\n",
            400,
        ),
        (
            "POST /stock/x HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n",
            400,
        ),
        (
            "POST /stock/x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip\r\n",
            400,
        ),
        (
            "POST /stock/x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked, chunked\r\n",
            400,
        ),
        (
            "POST /stock/x HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n",
            400,
        ),
        (
            "POST /stock/x HTTP/1.1\r\nhost: a\r\ncontent-length: 9999999999999\r\n",
            413,
        ),
        ("GET /stock/x HTTP/1.1\r\n", 400),
        ("GET /stock/x HTTP/1.1\r\nhost: a\r\nhost: b\r\n", 400),
        ("GET http://a/stock/x HTTP/1.1\r\nhost: a\r\n", 400),
        ("GET /stock/x SPDY/9\r\nhost: a\r\n", 400),
        (&format!("GET /stock/x HTTP/1.1\r\nhost: a\r\n{giant}"), 431),
        (&format!("GET /stock/x HTTP/1.1\r\nhost: a\r\n{many}"), 400),
    ];
    let before = world.total();
    for (request, status) in table {
        let reply = send_raw(entry.caller, format!("{request}{}", head("")).as_bytes());
        let shown = &request[..request.len().min(80)];
        assert_eq!(reply.status, status, "{shown:?} {reply:?}");
        assert_eq!(reply.outcome(), "not-run", "{shown:?}");
    }
    assert_eq!(world.total(), before);
}

#[test]
fn a_caller_that_does_not_finish_its_head_or_body_is_told_so() {
    let (world, entry) = single();
    let before = world.total();
    let body = format!(
        "POST /bookings/x HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {CALLER}\r\n\
         content-length: 100\r\n\r\nabc"
    );
    std::thread::scope(|scope| {
        for request in ["GET /stock/x HTTP/1.1\r\nhost: a\r\n", &body] {
            let addr = entry.caller;
            scope.spawn(move || {
                let reply = send_raw(addr, request.as_bytes());
                assert_ne!(reply.status, 200, "{reply:?}");
                assert!(matches!(reply.status, 408 | 504), "{request:?} {reply:?}");
            });
        }
    });
    assert_eq!(world.total(), before);
}

#[test]
fn an_unknown_method_gets_an_answer() {
    let (_world, entry) = single();
    let lines = format!("authorization: Bearer {CALLER}\r\n");
    let reply = ask(entry.caller, "BREW", "/stock/x", &lines, b"");
    assert_eq!(reply.status, 200, "{reply:?}");
    assert!(reply.body.contains("BREW"), "{reply:?}");
}

#[test]
fn requests_at_a_silent_backend_server_end_and_it_is_left_out() {
    let (world, entry) = single();
    // Requests fill the retry budget, which allows a few in a hundred to go again.
    for _ in 0..60 {
        assert_eq!(entry.get("/stock/x").status, 200);
    }
    let silent = world
        .backends
        .iter()
        .position(|backend| backend.id() == "stock-1")
        .unwrap();
    world.backends[silent].set_faults(vec![FaultRule::always(Fault::Silent)]);
    let replies: Vec<_> = std::thread::scope(|scope| {
        let asks: Vec<_> = (0..8)
            .map(|_| scope.spawn(|| entry.get("/stock/x")))
            .collect();
        asks.into_iter().map(|ask| ask.join().unwrap()).collect()
    });
    for reply in replies {
        assert!(
            matches!(
                (reply.status, reply.outcome()),
                (200, "none") | (504, "unknown")
            ),
            "{reply:?}"
        );
    }
    // The silent one is left out once it was found.
    assert!((0..5).any(|_| entry.get("/stock/x").status == 200));
}

#[test]
fn a_request_body_that_is_cut_short_is_never_run() {
    let (world, entry) = single();
    let before = world.total();
    for framing in [
        "content-length: 100\r\n\r\nabc",
        "transfer-encoding: chunked\r\n\r\n5\r\nab",
    ] {
        let mut stream = TcpStream::connect(entry.caller).unwrap();
        let lines = format!("authorization: Bearer {CALLER}\r\nhost: a\r\n{framing}");
        write!(stream, "POST /bookings/x HTTP/1.1\r\n{lines}").unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    assert_eq!(world.total(), before);
}

#[test]
fn pipelined_requests_are_answered_in_their_order() {
    let (_world, entry) = single();
    let one = |i: usize, close: &str| {
        format!(
            "GET /stock/pipelined-{i} HTTP/1.1\r\nhost: a\r\n\
             authorization: Bearer {CALLER}\r\n{close}\r\n"
        )
    };
    let requests = [one(1, ""), one(2, ""), one(3, "connection: close\r\n")].concat();
    let reply = send_raw(entry.caller, requests.as_bytes());
    let all = format!("{}{}", reply.head, reply.body);
    let places: Vec<_> = (1..=3)
        .map(|i| all.find(&format!("pipelined-{i}\"")).expect("an answer"))
        .collect();
    assert!(places.is_sorted(), "{all}");
    assert_eq!(all.matches("HTTP/1.1 200").count(), 3, "{all}");
}

#[test]
fn faults_of_backend_servers_never_pass_for_whole_answers() {
    let (world, entry) = single();
    // (fault, path, method, status, outcome)
    let table = [
        (Fault::UntilClose, "/stock/x", "GET", 200, "none"),
        (Fault::InterimHeads, "/stock/x", "GET", 200, "none"),
        (Fault::StrayBytes, "/stock/x", "GET", 200, "none"),
        (Fault::ServerError, "/stock/x", "GET", 500, "none"),
        (Fault::CutAnswer, "/stock/x", "GET", 504, "unknown"),
        (Fault::AmbiguousFraming, "/stock/x", "GET", 504, "unknown"),
        (Fault::CrossedAnswer, "/stock/x", "GET", 504, "unknown"),
        (Fault::CloseUnanswered, "/stock/x", "GET", 504, "unknown"),
        (Fault::Shed, "/stock/x", "GET", 503, "not-run"),
        (Fault::CrossedAnswer, "/bookings/x", "POST", 504, "unknown"),
        (
            Fault::CloseUnanswered,
            "/bookings/x",
            "POST",
            504,
            "unknown",
        ),
        (Fault::Shed, "/bookings/x", "POST", 503, "not-run"),
    ];
    for (fault, path, method, status, outcome) in table {
        for backend in &world.backends {
            backend.set_faults(vec![FaultRule::always(fault)]);
        }
        let before = world.total();
        let lines = format!("authorization: Bearer {CALLER}\r\n");
        let reply = ask(entry.caller, method, path, &lines, b"body");
        assert_eq!(
            (reply.status, reply.outcome()),
            (status, outcome),
            "{fault:?} {reply:?}"
        );
        if outcome == "not-run" {
            assert_eq!(
                world.total(),
                before,
                "{fault:?}: refused as not run, and yet it ran"
            );
        }
        if status == 200 {
            assert!(reply.body.contains(path), "{fault:?} {reply:?}");
        }
        if method == "POST" {
            assert!(world.total() <= before + 1, "{fault:?}: ran more than once");
        }
    }
}

#[test]
fn each_request_gets_its_own_answer_while_some_answers_are_late_cut_or_stray() {
    let (world, entry) = single();
    let faults = [
        Fault::Slow(Duration::from_millis(300)),
        Fault::StrayBytes,
        Fault::CutAnswer,
        Fault::CrossedAnswer,
    ];
    for (backend, fault) in world.backends.iter().zip(faults.iter().cycle()) {
        backend.set_faults(vec![FaultRule::always(*fault)]);
    }
    std::thread::scope(|scope| {
        for thread in 0..6 {
            let entry = &entry;
            scope.spawn(move || {
                for i in 0..25 {
                    let target = format!("/stock/own-{thread}-{i}-");
                    let reply = entry.get(&target);
                    if reply.status == 200 {
                        assert!(reply.body.contains(&target), "{target} {reply:?}");
                    }
                }
            });
        }
    });
}

#[test]
fn a_large_document_passes_whole_through_a_small_instance() {
    const BYTES: usize = 200 * 1024 * 1024;
    let (_world, entry) = single();
    let mut stream = TcpStream::connect(entry.caller).unwrap();
    let lines = head("host: a\r\n");
    write!(stream, "GET /documents/filler/{BYTES} HTTP/1.1\r\n{lines}").unwrap();
    let mut received = 0;
    let mut buf = vec![0; 1 << 20];
    while let Ok(len @ 1..) = stream.read(&mut buf) {
        received += len;
    }
    assert!(received > BYTES && received < BYTES + 1_000, "{received}");
    let status = std::fs::read_to_string(format!("/proc/{}/status", entry.child.id())).unwrap();
    let peak = status
        .lines()
        .find(|line| line.starts_with("VmHWM"))
        .unwrap();
    let kib: usize = peak.split_whitespace().nth(1).unwrap().parse().unwrap();
    assert!(kib < 64 * 1024, "{peak}");
}
