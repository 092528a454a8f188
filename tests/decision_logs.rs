//! What `why` and `report` make of decision logs.

mod support;

use std::{
    fs,
    path::PathBuf,
    process::{Command, Output},
};

use serde_json::{Value, json};
use support::{World, wait_until};

fn file(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

fn write(name: &str, lines: &[Value]) -> String {
    let lines: String = lines.iter().map(|line| format!("{line}\n")).collect();
    fs::write(file(name), lines).unwrap();
    file(name).to_str().unwrap().to_owned()
}

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_apricotlug"));
    command.args(args).output().unwrap()
}

fn printed(args: &[&str]) -> String {
    let output = run(args);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{args:?}: {errors}");
    String::from_utf8(output.stdout).unwrap()
}

fn request(id: &str, account: &str, result: &str, status: u16, latency_us: u64) -> Value {
    json!({
        "timestamp": "2026-12-01T08:00:03Z", "kind": "request", "request": id,
        "caller": "10.0.0.1", "account": account, "route": "stock", "bundle": 1,
        "status": status, "result": result, "attempts": 1, "bytes": 9, "latency_us": latency_us,
    })
}

/// Lines of one instance: 100 answered requests of `web` at 1 to 100 ms, 3 of `depots`, of which
/// one was refused for want of a slot, refusals, and two moves.
fn lines() -> Vec<Value> {
    let mut lines: Vec<Value> = (1..=100)
        .map(|ms| request(&format!("w-{ms}"), "web", "answered", 200, ms * 1_000))
        .collect();
    lines.push(request("d-1", "depots", "answered", 200, 5_000));
    lines.push(request("d-2", "depots", "repeated", 200, 100));
    lines.push(json!({"kind": "no_place", "request": "d-3", "reason": "Full"}));
    lines.push(request("d-3", "depots", "not-run", 503, 200_000));
    lines.push(request("o-1", "-", "not-run", 422, 10));
    for code in ["over_rate", "over_rate", "<no_key>"] {
        lines.push(json!({"kind": "refusal", "request": "x", "status": 429, "code": code}));
    }
    for (service, state, sequence) in [
        ("stock", "Finished", 4),
        ("stock", "Running", 3),
        ("bookings", "Running", 1),
        ("bookings", "TakenBack(Fault)", 2),
        ("documents", "Paused", 7),
    ] {
        lines.push(json!({
            "kind": "move", "service": service, "version": "2", "state": state,
            "stage": 0, "sequence": sequence,
        }));
    }
    lines.push(json!({"level": "WARN", "message": "no decision"}));
    lines
}

#[test]
fn the_report_has_the_measures() {
    let log = write("measures.log", &lines());
    let measures: Value = serde_json::from_str(&printed(&["report", &log, "--json"])).unwrap();
    let expected = [
        ("/requests", json!(107)),
        ("/unread_lines", json!(1)),
        ("/over_rate", json!(2)),
        ("/refused_in_rate", json!(1)),
        ("/refusals/over_rate", json!(2)),
        ("/refusals/no_place Full", json!(1)),
        ("/refusals/status 422", json!(1)),
        ("/attempts_per_request", json!(1.0)),
        ("/moves_finished", json!(1)),
        ("/moves_taken_back", json!(1)),
        ("/routes/stock/answered", json!(101)),
        ("/accounts/0/id", json!("depots")),
        ("/accounts/0/admitted", json!(3)),
        ("/accounts/0/served", json!(2)),
        ("/accounts/0/refused", json!(1)),
        ("/accounts/1/id", json!("web")),
    ];
    for (pointer, value) in expected {
        assert_eq!(measures.pointer(pointer), Some(&value), "{pointer}");
    }
    let near = |pointer: &str, ms: u64| {
        let us = measures.pointer(pointer).unwrap().as_u64().unwrap();
        assert!(us.abs_diff(ms * 1_000) <= ms, "{pointer}: {us} us");
    };
    near("/accounts/1/latency/p50_us", 50);
    near("/accounts/1/latency/p90_us", 90);
    near("/accounts/1/latency/p99_us", 99);
    near("/accounts/1/latency/max_us", 100);
    assert!(printed(&["report", &log]).contains("worst-served account  depots"));
}

#[test]
fn the_page_is_well_formed_and_has_a_plot_for_each_measure() {
    let log = write("page.log", &lines());
    let page = file("page.html");
    printed(&["report", &log, "--html", page.to_str().unwrap()]);
    let text = fs::read_to_string(page).unwrap();
    let text = text.strip_prefix("<!DOCTYPE html>\n").unwrap();
    let tree = roxmltree::Document::parse(text).unwrap();
    let plots: Vec<_> = tree
        .descendants()
        .filter(|node| node.has_tag_name(("http://www.w3.org/2000/svg", "svg")))
        .collect();
    assert_eq!(plots.len(), 3);
    for (plot, words) in plots.iter().zip([
        ["stock", "ms"],
        ["depots", "web"],
        ["<no_key>", "over_rate"],
    ]) {
        let labels: Vec<&str> = plot
            .descendants()
            .filter_map(|node| node.text())
            .map(str::trim)
            .collect();
        for word in words {
            assert!(labels.contains(&word), "{word}: {labels:?}");
        }
    }
}

#[test]
fn logs_without_decisions_are_no_report() {
    let other = write("other.log", &[json!({"message": "hello"})]);
    for args in [["report", other.as_str()], ["report", "/no/such.log"]] {
        assert_eq!(run(&args).status.code(), Some(1), "{args:?}");
    }
    assert_eq!(run(&["why", "w-1", &other]).status.code(), Some(1));
    assert_eq!(run(&["why", "w-1"]).status.code(), Some(1));
}

#[test]
fn lines_of_one_request_are_told_in_order_over_files() {
    let first = write(
        "first.log",
        &[
            json!({"timestamp": "2026-12-01T08:00:01Z", "kind": "placement", "request": "r",
                   "endpoint": "stock-1", "version": "1", "candidates": 3, "reason": "Home"}),
            request("r", "web\u{1b}[31m", "answered", 200, 900),
            request("other", "web", "answered", 200, 900),
        ],
    );
    let second = write(
        "second.log",
        &[
            json!({"timestamp": "2026-12-01T08:00:02Z", "kind": "attempt_failed", "request": "r",
                     "endpoint": "stock-1", "why": "timeout", "state": "PerhapsRun"}),
        ],
    );
    let told = printed(&["why", "r", &second, &first]);
    let rows: Vec<&str> = told.lines().skip(1).collect();
    let words = [
        "placed on endpoint stock-1 (version 1) among 3 candidates",
        "the attempt on stock-1 failed: timeout; the request is perhaps run",
        "on route stock under bundle 1: answered with status 200",
    ];
    assert_eq!(rows.len(), words.len(), "{told}");
    for (row, words) in rows.iter().zip(words) {
        assert!(row.contains(words), "{row}");
    }
    assert!(!told.contains('\u{1b}'), "{told}");
}

#[test]
fn lines_of_the_platform_are_told_in_words() {
    let log = write(
        "steer.log",
        &[
            json!({"timestamp": "2026-12-01T08:00:01Z", "kind": "not_placed", "request": "r",
                   "result": "crowded", "backend": "i-1", "load": 14, "expected_ms": 900,
                   "wait_ms": 420, "target_left_ms": 700, "left_ms": 1900, "retry_ms": 300}),
            json!({"timestamp": "2026-12-01T08:00:01Z", "kind": "over_rate", "request": "r",
                   "account": "movers", "route": "lookup", "retry_ms": 120}),
            json!({"timestamp": "2026-12-01T08:00:02Z", "kind": "sent", "request": "r",
                   "backend": "i-2", "data_centre": "brest-a", "load": 3, "warm": 0.97,
                   "expected_ms": 310, "ms": 500}),
            json!({"timestamp": "2026-12-01T08:00:03Z", "kind": "attempt", "request": "r",
                   "backend": "i-2", "version": "v1", "result": "closed_unanswered", "ms": 500}),
            json!({"timestamp": "2026-12-01T08:00:04Z", "kind": "request", "request": "r",
                   "route": "lookup", "account": "movers", "plan": 12, "news_ms": 700,
                   "backend": "i-2",
                   "result": "closed_unanswered", "status": 502, "attempts": 1, "ms": 503}),
            json!({"timestamp": "2026-12-01T08:00:05Z", "kind": "request", "request": "r",
                   "route": "-", "plan": 12, "news_ms": 3122, "read_from": "10.0.0.7:7460",
                   "revision": 117, "result": "no_route", "status": 404, "attempts": 0, "ms": 0}),
        ],
    );
    let told = printed(&["why", "r", &log]);
    let rows: Vec<&str> = told.lines().skip(1).collect();
    let words = [
        "not sent: at best i-1 with 14 requests, answer expected after 900 ms of which 420 ms waiting",
        "account movers on route lookup had no part of its rate left here",
        "sent to i-2 in brest-a, where 2 requests ran or waited; the object was seen lately there",
        "the attempt on i-2 (version v1) ended after 500 ms: the connection ended without an answer, perhaps run",
        "account movers on route lookup under plan 12, news 700 ms old: closed_unanswered; last sent to i-2; status 502",
        "under plan 12, news 3122 ms old, from 10.0.0.7:7460 up to revision 117: refused, no route fits",
    ];
    assert_eq!(rows.len(), words.len(), "{told}");
    for (row, words) in rows.iter().zip(words) {
        assert!(row.contains(words), "{row}");
    }
}

#[test]
fn why_and_report_read_what_an_instance_logs() {
    let world = World::start(|text| text);
    let entries = world.fleet(&["brest"]);
    let reply = entries[0].get("/stock/crates");
    let id = reply.header("apricotlug-request-id").unwrap().to_owned();
    let end = format!("\"kind\":\"request\",\"request\":\"{id}\"");
    wait_until("the request's end is logged", || {
        entries[0].log.lock().unwrap().contains(&end)
    });
    let log = file("instance.log");
    fs::write(&log, entries[0].log.lock().unwrap().as_str()).unwrap();
    let log = log.to_str().unwrap();
    let told = printed(&["why", &id, log]);
    for words in [
        "placed on endpoint stock-",
        "account armor-depots",
        "answered with status 200",
    ] {
        assert!(told.contains(words), "{told}");
    }
    assert!(printed(&["report", log]).contains("stock"));
}
