//! Measures in virtual time the traffic and processor time of gossip per daemon, and the time until
//! changes are known to all, for several fleet sizes.
//!
//! `cargo run --release -p apricotlug-peer --example gossip_traffic [-- MEMBERS DATA_CENTRES]...`

#[path = "../tests/support/fleet.rs"]
#[allow(dead_code, missing_docs)]
mod fleet;

use std::{
    io::{self, Write},
    time::{Duration, Instant},
};

use apricotlug_peer::State;
use fleet::Fleet;

/// Members and data centres of each row of the table.
const SIZES: [(usize, usize); 4] = [(9, 6), (100, 6), (500, 20), (1500, 41)];
/// Bytes that the RPC layer and TCP/IP add to each message: call, return and finish frames, two
/// packet headers and their acknowledgements.
const ENVELOPE_BYTES: f64 = 320.0;
const SETTLE: Duration = Duration::from_secs(90);
const STEADY: Duration = Duration::from_secs(20);
const CHANGE_WINDOW: Duration = Duration::from_secs(10);

fn main() -> io::Result<()> {
    let args: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|arg| arg.parse().ok())
        .collect();
    let mut sizes: Vec<(usize, usize)> = args
        .chunks_exact(2)
        .map(|pair| (pair[0], pair[1]))
        .collect();
    if sizes.is_empty() {
        sizes.extend(SIZES);
    }
    let mut out = io::stdout();
    writeln!(
        out,
        "members sites | mean B/s  max B/s  msg/s | CPU us/s | all named s | bundle s withdrawn s | \
         news B/daemon | death s | unnamed pairs"
    )?;
    for (members, sites) in sizes {
        measure(members, sites, &mut out)?;
    }
    Ok(())
}

fn measure(members: usize, sites: usize, out: &mut impl Write) -> io::Result<()> {
    let sizes: Vec<usize> = (0..sites)
        .map(|i| members / sites + usize::from(i < members % sites))
        .collect();
    let mut fleet = Fleet::new(&sizes, 1);
    let all = fleet.all();
    let mut last_check = Duration::ZERO;
    let named = fleet.run_until(SETTLE, |f| {
        let now = Duration::from_micros(f.now.0);
        let is_due = now >= last_check + Duration::from_secs(1);
        if is_due {
            last_check = now;
        }
        is_due && knows_all(f)
    });
    fleet.run(SETTLE.saturating_sub(named.unwrap_or(SETTLE)));
    fleet.counts_bytes = true;
    let started = Instant::now();
    let (mean, max, messages) = measure_traffic(&mut fleet, STEADY);
    let cpu = started.elapsed().as_secs_f64() * 1e6 / members as f64 / STEADY.as_secs_f64();
    let unnamed = unnamed_pairs(&fleet);
    let before: u64 = fleet.nodes.iter().map(|node| node.bytes).sum();
    fleet.publish(0, 1);
    fleet.withdraw(members / 2, "key-1");
    let mut withdrawn = None;
    let start = fleet.now;
    let bundle = fleet.run_until(CHANGE_WINDOW, |f| {
        if withdrawn.is_none() && f.has_withdrawn(&all, "key-1") {
            withdrawn = Some(f.now.since(start));
        }
        f.has_version(&all, 1) && withdrawn.is_some()
    });
    fleet.run(CHANGE_WINDOW.saturating_sub(bundle.unwrap_or(CHANGE_WINDOW)));
    let after: u64 = fleet.nodes.iter().map(|node| node.bytes).sum();
    let baseline = mean_payload_bytes(mean, messages) * CHANGE_WINDOW.as_secs_f64();
    let news = (after - before) as f64 / members as f64 - baseline;
    fleet.crash(1);
    let death = fleet.run_until(Duration::from_secs(20), |f| {
        all.iter().all(|i| *i == 1 || !f.sees_ready(*i, 1))
    });
    let seconds = |span: Option<Duration>| span.map_or(f64::NAN, |span| span.as_secs_f64());
    writeln!(
        out,
        "{members:7} {sites:5} | {mean:8.0} {max:8.0} {messages:6.1} | {cpu:8.0} | {:11.1} | {:8.2} {:11.2} | \
         {news:13.0} | {:7.2} | {unnamed}",
        seconds(named),
        seconds(bundle),
        seconds(withdrawn),
        seconds(death),
    )
}

/// Returns the number of ordered pairs in which the first instance sees the second as not ready.
fn unnamed_pairs(fleet: &Fleet) -> usize {
    let views = fleet
        .nodes
        .iter()
        .map(|node| node.gossip.membership.view(fleet.now));
    let unnamed = views.map(|view| view.iter().filter(|m| m.state != State::Ready).count());
    unnamed.sum()
}

fn knows_all(fleet: &Fleet) -> bool {
    let members = fleet.nodes.len();
    fleet
        .nodes
        .iter()
        .all(|node| node.gossip.membership.len() >= members)
}

/// Returns the mean and the maximum of bytes sent and received per daemon and second, including
/// [`ENVELOPE_BYTES`] per message, and the mean number of messages per daemon and second.
fn measure_traffic(fleet: &mut Fleet, span: Duration) -> (f64, f64, f64) {
    let before: Vec<(u64, u64)> = fleet.nodes.iter().map(|n| (n.bytes, n.messages)).collect();
    fleet.run(span);
    let traffic = fleet
        .nodes
        .iter()
        .zip(before)
        .map(|(node, (bytes, messages))| {
            let messages = (node.messages - messages) as f64 / span.as_secs_f64();
            let bytes = (node.bytes - bytes) as f64 / span.as_secs_f64();
            (bytes + messages * ENVELOPE_BYTES, messages)
        });
    let traffic: Vec<(f64, f64)> = traffic.collect();
    let n = traffic.len() as f64;
    let mean = traffic.iter().map(|(bytes, _)| bytes).sum::<f64>() / n;
    let max = traffic.iter().map(|(bytes, _)| *bytes).fold(0.0, f64::max);
    let messages = traffic.iter().map(|(_, messages)| messages).sum::<f64>() / n;
    (mean, max, messages)
}

fn mean_payload_bytes(mean: f64, messages: f64) -> f64 {
    mean - messages * ENVELOPE_BYTES
}
