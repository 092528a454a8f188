//! Orders run at most once, whatever fails between.

mod support;

use std::thread;

use apricotlug_standins::{
    backend::{Fault, FaultRule},
    platform::Outage,
};
use support::{World, wait_until};

fn order(name: &str, token: &str) -> String {
    // The stand-ins count runs by this header.
    format!("idempotency-key: {name}\r\napricotlug-order: {token}\r\n")
}

#[test]
fn repeats_of_a_token_run_once_through_any_instance() {
    let world = World::start(|text| text);
    let entries = world.fleet(&["brest", "vannes"]);
    let token = entries[0].order_token();
    let head = order("a", &token);
    let first = entries[0].post("/bookings/a", &head, b"crates=4");
    assert_eq!(first.status, 200, "{first:?}");
    for entry in &entries {
        let repeat = entry.post("/bookings/a", &head, b"crates=4");
        assert_eq!(
            (repeat.status, &repeat.body),
            (200, &first.body),
            "{repeat:?}"
        );
        assert_eq!(repeat.header("apricotlug-repeat"), Some("1"));
    }
    let other = entries[0].post("/bookings/other", &head, b"crates=4");
    assert_eq!((other.status, other.outcome()), (422, "not-run"));
    assert_eq!(world.runs("a"), 1);
}

#[test]
fn concurrent_requests_for_an_order_run_once() {
    let world = World::start(|text| text);
    let entries = world.fleet(&["brest", "vannes"]);
    let token = entries[1].order_token();
    thread::scope(|scope| {
        for i in 0..16 {
            let (entry, token) = (&entries[i % 2], &token);
            scope.spawn(move || entry.post("/bookings/b", &order("b", token), b"x"));
        }
    });
    assert_eq!(world.runs("b"), 1);
}

#[test]
fn a_callers_own_key_runs_once_and_is_refused_while_it_cannot_be_claimed() {
    let world = World::start(|text| text);
    let entries = world.fleet(&["brest", "vannes"]);
    let head = "idempotency-key: own\r\n";
    for entry in [&entries[0], &entries[1], &entries[0]] {
        let reply = entry.post("/bookings/own", head, b"x");
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    assert_eq!(world.runs("own"), 1);
    world
        .platform
        .set_faults(|faults| faults.outage = Outage::Close);
    let reply = entries[0].post("/bookings/own", "idempotency-key: late\r\n", b"x");
    assert_eq!(
        (reply.status, reply.outcome()),
        (503, "not-run"),
        "{reply:?}"
    );
    assert_eq!(world.runs("late"), 0);
    // A token needs no claim.
    let token = entries[0].order_token();
    let reply = entries[0].post("/bookings/own", &order("token", &token), b"x");
    assert_eq!(reply.status, 200, "{reply:?}");
}

#[test]
fn an_order_whose_holder_was_killed_is_never_run_again() {
    let world = World::start(|text| text);
    let mut entries = world.fleet(&["brest", "vannes"]);
    let (ran, unused) = (entries[0].order_token(), entries[0].order_token());
    assert_eq!(
        entries[0]
            .post("/bookings/c", &order("c", &ran), b"x")
            .status,
        200
    );
    entries[0].kill();
    for (name, token) in [("c", &ran), ("d", &unused)] {
        let reply = entries[1].post("/bookings/c", &order(name, token), b"x");
        assert_eq!(
            (reply.status, reply.outcome()),
            (504, "unknown"),
            "{reply:?}"
        );
    }
    // An instance that starts under the same name is another incarnation.
    let again = world.entry("brest-0", "brest", &[entries[1].peer]);
    wait_until("the new one serves", || again.is_serving());
    let reply = again.post("/bookings/c", &order("c", &ran), b"x");
    assert_eq!(
        (reply.status, reply.outcome()),
        (504, "unknown"),
        "{reply:?}"
    );
    assert_eq!((world.runs("c"), world.runs("d")), (1, 0));
}

#[test]
fn an_order_without_an_answer_is_reported_as_unknown_for_ever() {
    let world = World::start(|text| text.replace("timeout_ms = 5000", "timeout_ms = 400"));
    let entries = world.fleet(&["brest"]);
    for backend in &world.backends {
        backend.set_faults(vec![FaultRule::always(Fault::Silent)]);
    }
    let token = entries[0].order_token();
    for _ in 0..2 {
        let reply = entries[0].post("/bookings/e", &order("e", &token), b"x");
        assert_eq!(
            (reply.status, reply.outcome()),
            (504, "unknown"),
            "{reply:?}"
        );
    }
    assert_eq!(world.runs("e"), 1);
    let reply = entries[0].post("/bookings/e", &order("f", "no token"), b"x");
    assert_eq!((reply.status, reply.outcome()), (400, "not-run"));
}

#[test]
fn an_order_that_was_refused_as_not_run_may_come_again() {
    let world = World::start(|text| text);
    let entries = world.fleet(&["brest"]);
    for backend in &world.backends {
        backend.set_faults(vec![FaultRule::always(Fault::Shed)]);
    }
    let token = entries[0].order_token();
    let refused = entries[0].post("/bookings/g", &order("g", &token), b"x");
    assert_eq!(
        (refused.status, refused.outcome()),
        (503, "not-run"),
        "{refused:?}"
    );
    for backend in &world.backends {
        backend.set_faults(Vec::new());
    }
    wait_until("it runs", || {
        entries[0]
            .post("/bookings/g", &order("g", &token), b"x")
            .status
            == 200
    });
    assert_eq!(world.runs("g"), 1);
}

#[test]
fn a_token_stays_bound_to_its_account_over_a_new_bundle() {
    let world = World::start(|text| text);
    let entries = world.fleet(&["brest"]);
    let token = entries[0].order_token();
    let first = entries[0].post("/bookings/h", &order("h", &token), b"x");
    assert_eq!(first.status, 200, "{first:?}");
    // A new first account shifts the positions of all others.
    let added = "account = [\n  { id = \"aaa\", rate = 5, burst = 5 },\n";
    let text = world.text.replacen("account = [\n", added, 1);
    world.sign_off(&text.replace("version = 1\n", "version = 2\n"));
    wait_until("version 2 is in force", || entries[0].bundle_version() == 2);
    let repeat = entries[0].post("/bookings/h", &order("h", &token), b"x");
    assert_eq!(
        (repeat.status, &repeat.body),
        (200, &first.body),
        "{repeat:?}"
    );
    assert_eq!(world.runs("h"), 1);
}
