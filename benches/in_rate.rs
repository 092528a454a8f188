//! Measures how often requests of client accounts within their rates are refused while their demand
//! moves from instance to instance.
//!
//! `cargo bench --bench in_rate`

#[path = "../tests/support/mod.rs"]
mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use support::{Entry, World, ask};

/// Time for which each account sends its requests to one instance.
const PHASE_TIME: Duration = Duration::from_secs(8);

/// Key and requests per second of each account: four fifths of its rate.
const ACCOUNTS: [(&str, u32); 3] = [
    ("armor-web-1.try-armor-web-1", 240),
    ("bureaux-rennes-1.try-bureaux-rennes-1", 32),
    ("office-moves-vannes-1.try-office-moves-vannes-1", 16),
];

fn main() {
    let world = World::start(|text| text);
    let entries = world.fleet(&["brest", "vannes", "rennes", "quimper"]);
    println!(
        "{:>6} {:>10} {:>10} {:>10}",
        "req/s", "sent", "refused", "refused %"
    );
    thread::scope(|scope| {
        for (i, (key, rate)) in ACCOUNTS.into_iter().enumerate() {
            let entries = &entries;
            scope.spawn(move || {
                let (mut sent, mut refused) = (0, 0);
                for phase in 0..entries.len() {
                    let (phase_sent, phase_refused) =
                        send_steadily(&entries[(phase + i) % entries.len()], key, rate);
                    sent += phase_sent;
                    refused += phase_refused;
                }
                let percent = f64::from(refused) * 100.0 / f64::from(sent);
                println!("{rate:>6} {sent:>10} {refused:>10} {percent:>10.2}");
            });
        }
    });
}

/// Sends requests at a steady rate to one instance, from one thread per 20 requests per second.
/// Returns the numbers of requests sent and refused.
fn send_steadily(entry: &Entry, key: &str, rate: u32) -> (u32, u32) {
    let threads = rate.div_ceil(20);
    let counts: Vec<(u32, u32)> = thread::scope(|scope| {
        let senders: Vec<_> = (0..threads)
            .map(|_| {
                scope.spawn(move || send_paced(entry, key, Duration::from_secs(1) * threads / rate))
            })
            .collect();
        senders
            .into_iter()
            .map(|sender| sender.join().unwrap())
            .collect()
    });
    counts
        .into_iter()
        .fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
}

/// Sends one request per `period` for one phase. Returns the numbers of requests sent and refused.
fn send_paced(entry: &Entry, key: &str, period: Duration) -> (u32, u32) {
    let head = format!("authorization: Bearer {key}\r\n");
    let start = Instant::now();
    let (mut sent, mut refused) = (0, 0);
    while start.elapsed() < PHASE_TIME {
        let due = start + period * sent;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let reply = ask(entry.caller, "GET", "/stock/in-rate", &head, b"");
        sent += 1;
        refused += u32::from(reply.status != 200);
    }
    (sent, refused)
}
