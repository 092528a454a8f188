//! Measures peer nodes on loopback: traffic, processor time, memory, and the seconds until a bundle
//! and a withdrawal are in force on all of them.
//!
//! `cargo run --release -p apricotlug-peer --example node_cost [-- MEMBERS DATA_CENTRES]...`

#[path = "../tests/support/fleet.rs"]
#[allow(dead_code, missing_docs)]
mod fleet;
#[path = "../tests/support/node.rs"]
#[allow(dead_code, missing_docs)]
mod node;

use std::{
    fs,
    io::{self, Write},
    net::SocketAddr,
    time::{Duration, Instant},
};

use apricotlug_peer::{PeerHandle, State};
use async_std::task::{block_on, sleep};

/// Members and data centres of each row of the table.
const SIZES: [(usize, usize); 4] = [(9, 6), (37, 1), (74, 2), (148, 4)];
const RUNS: u64 = 11;
const SETTLE: Duration = Duration::from_secs(10);
const STEADY: Duration = Duration::from_secs(20);
/// Clock ticks per second in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

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
        "members sites | B/s out+in  calls/s  connects/s | CPU % of a core | RSS kB | bundle s median max | \
         withdrawn s median max"
    )?;
    for (members, sites) in sizes {
        block_on(measure(members, sites, &mut out))?;
    }
    Ok(())
}

async fn measure(members: usize, sites: usize, out: &mut impl Write) -> io::Result<()> {
    let nodes = start(members, sites);
    node::wait_until("all nodes see each other", || {
        nodes.iter().all(|n| ready_count(n) == members)
    })
    .await;
    sleep(SETTLE).await;
    let (bytes, calls, connects) = totals(&nodes);
    let cpu = cpu_seconds()?;
    let started = Instant::now();
    sleep(STEADY).await;
    let share = started.elapsed().as_secs_f64() * members as f64;
    let (bytes_after, calls_after, connects_after) = totals(&nodes);
    let cpu = (cpu_seconds()? - cpu) / share * 100.0;
    let rss = rss_kb()? / members as u64;
    let (bundles, withdrawals) = measure_replication(&nodes).await;
    writeln!(
        out,
        "{members:7} {sites:5} | {:10.0} {:8.1} {:11.2} | {cpu:15.3} | {rss:6} | {:15.3} {:.3} | {:18.3} {:.3}",
        (bytes_after - bytes) as f64 / share,
        (calls_after - calls) as f64 / share,
        (connects_after - connects) as f64 / share,
        bundles[bundles.len() / 2],
        bundles[bundles.len() - 1],
        withdrawals[withdrawals.len() / 2],
        withdrawals[withdrawals.len() - 1],
    )?;
    for node in &nodes {
        node.stop().await;
    }
    Ok(())
}

fn start(members: usize, sites: usize) -> Vec<PeerHandle> {
    let mut nodes: Vec<PeerHandle> = Vec::new();
    for i in 0..members {
        let seeds: Vec<SocketAddr> = nodes.first().iter().map(|node| node.addr()).collect();
        let data_centre = format!("data-centre-{:02}", i % sites);
        let incarnation = 1000 + i as u64;
        let (node, _) = node::start(
            &format!("entry-{i:04}"),
            incarnation,
            &data_centre,
            &seeds,
            None,
        );
        nodes.push(node);
    }
    nodes
}

/// Returns the seconds until a bundle and until a withdrawal were in force on all nodes, one value
/// per run, sorted.
async fn measure_replication(nodes: &[PeerHandle]) -> (Vec<f64>, Vec<f64>) {
    let (mut bundles, mut withdrawals) = (Vec::new(), Vec::new());
    for run in 1..=RUNS {
        let from = &nodes[run as usize % nodes.len()];
        let bundle = fleet::bundle(run);
        let started = Instant::now();
        if from
            .publish_bundle(bundle.head, bundle.chunks)
            .await
            .is_ok()
        {
            node::wait_until("bundle", || nodes.iter().all(|n| version(n) == run)).await;
        }
        bundles.push(started.elapsed().as_secs_f64());
        let key = format!("key-{run}");
        let started = Instant::now();
        if from.withdraw(key.as_str()).await.is_ok() {
            node::wait_until("withdrawal", || {
                nodes.iter().all(|n| n.withdrawn().contains(&key))
            })
            .await;
        }
        withdrawals.push(started.elapsed().as_secs_f64());
    }
    bundles.sort_by(f64::total_cmp);
    withdrawals.sort_by(f64::total_cmp);
    (bundles, withdrawals)
}

fn version(node: &PeerHandle) -> u64 {
    node.bundle().map_or(0, |bundle| bundle.head.version)
}

fn ready_count(node: &PeerHandle) -> usize {
    node.members()
        .iter()
        .filter(|member| member.state == State::Ready)
        .count()
}

fn totals(nodes: &[PeerHandle]) -> (u64, u64, u64) {
    let traffic = nodes.iter().map(PeerHandle::traffic);
    traffic.fold((0, 0, 0), |(bytes, calls, connects), t| {
        (
            bytes + t.bytes_in + t.bytes_out,
            calls + t.calls_out,
            connects + t.connects,
        )
    })
}

/// Returns the processor time of this process, user and system, in seconds.
fn cpu_seconds() -> io::Result<f64> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let after_name = stat.rsplit(") ").next().unwrap_or_default();
    let ticks = after_name
        .split(' ')
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok());
    Ok(ticks.sum::<f64>() / TICKS_PER_SECOND)
}

fn rss_kb() -> io::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(number.and_then(|number| number.parse().ok()).unwrap_or(0))
}
