//! Measures the request path across separate processes: latency added to direct calls of the
//! backend stand-in, throughput, look-ups by HTTP, and processor time of an idle instance.
//!
//! `cargo bench --bench request_path`

#[path = "../tests/support/mod.rs"]
mod support;

use std::{
    fs,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use support::{CALLER, Entry, World, ask};

/// Time for which each measurement sends requests.
const RUN_TIME: Duration = Duration::from_secs(4);
/// Number of parallel connections, each with one request at a time.
const CONNECTIONS: u32 = 16;
/// Processor ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;

fn main() {
    let world = World::start(raise_limits);
    let entry = world.fleet(&["brest"]).remove(0);
    let backend = world.backends[0].addr();
    println!("added latency, open loop, {CONNECTIONS} connections, 2 ms of work, µs:");
    println!(
        "{:>8} {:>10} {:>10} {:>10} {:>10} {:>8}",
        "req/s", "direct p50", "added p50", "direct p99", "added p99", "errors"
    );
    for rate in [250, 500, 1_000, 2_000] {
        let direct = open_loop(backend, "/stock/bench", rate);
        let through = open_loop(entry.caller, "/stock/bench", rate);
        let added = |q| {
            through.latency.value_at_quantile(q) as i64 - direct.latency.value_at_quantile(q) as i64
        };
        println!(
            "{rate:>8} {:>10} {:>10} {:>10} {:>10} {:>8}",
            direct.latency.value_at_quantile(0.5),
            added(0.5),
            direct.latency.value_at_quantile(0.99),
            added(0.99),
            direct.errors + through.errors,
        );
    }
    closed_loop("requests", &entry, entry.caller, "/stock/bench");
    closed_loop(
        "look-ups",
        &entry,
        entry.lookup,
        "/v1/lookup?client=10.29.0.1",
    );
    measure_idle(&entry);
    println!(
        "peak memory of the instance: {} KiB",
        memory_kib(&entry, "VmHWM")
    );
    drop(entry);
    large_table();
}

/// Raises rates and slots of the example bundle, so that they do not limit the measured instance.
fn raise_limits(text: String) -> String {
    let mut out = String::new();
    for line in text.lines() {
        let line = match line.split_once("slots = ") {
            Some((head, _)) => format!("{head}slots = 64 }},"),
            None => line.replace("rate = 400, burst = 800", "rate = 500000, burst = 500000"),
        };
        out.push_str(&line);
        out.push('\n');
    }
    out
}

/// Latencies in microseconds, and the number of responses with a status other than 200.
struct LoopResult {
    latency: Histogram<u64>,
    errors: u64,
}

/// Sends requests at fixed times. Latency counts from the scheduled time rather than from the
/// sending, so that a delayed request counts in full.
fn open_loop(addr: SocketAddr, target: &str, rate: u32) -> LoopResult {
    let start = Instant::now() + Duration::from_millis(50);
    let period = Duration::from_secs(1) * CONNECTIONS / rate;
    run(addr, target, move |conn, i| {
        start + period * conn / CONNECTIONS + period * i
    })
}

/// Sends each request as soon as the one before is answered, and prints throughput, latency and
/// processor time per request.
fn closed_loop(label: &str, entry: &Entry, addr: SocketAddr, target: &str) {
    let (ticks, start) = (cpu_ticks(entry), Instant::now());
    let result = run(addr, target, |_, _| Instant::now());
    let elapsed_s = start.elapsed().as_secs_f64();
    let cpu_s = (self::cpu_ticks(entry) - ticks) / TICKS_PER_S;
    let count = result.latency.len() as f64;
    println!(
        "{label}, closed loop, {CONNECTIONS} connections: {:.0}/s, p99 {} µs, {:.0} µs of processor time each, {} errors",
        count / elapsed_s,
        result.latency.value_at_quantile(0.99),
        cpu_s / count * 1e6,
        result.errors,
    );
}

/// Sends requests over all connections. `due` gives the scheduled time of a request by connection
/// and by its number on that connection.
fn run(
    addr: SocketAddr,
    target: &str,
    due: impl Fn(u32, u32) -> Instant + Copy + Send + Sync,
) -> LoopResult {
    let end = Instant::now() + RUN_TIME;
    let results: Vec<LoopResult> = thread::scope(|scope| {
        let conns: Vec<_> = (0..CONNECTIONS)
            .map(|conn| scope.spawn(move || run_connection(addr, target, end, |i| due(conn, i))))
            .collect();
        conns.into_iter().map(|conn| conn.join().unwrap()).collect()
    });
    let mut latency = Histogram::new(3).unwrap();
    for result in &results {
        latency.add(&result.latency).unwrap();
    }
    LoopResult {
        latency,
        errors: results.iter().map(|result| result.errors).sum(),
    }
}

fn run_connection(
    addr: SocketAddr,
    target: &str,
    end: Instant,
    due: impl Fn(u32) -> Instant,
) -> LoopResult {
    let request =
        format!("GET {target} HTTP/1.1\r\nhost: bench\r\nauthorization: Bearer {CALLER}\r\n\r\n");
    let stream = TcpStream::connect(addr).unwrap();
    stream.set_nodelay(true).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut writer = stream;
    let mut result = LoopResult {
        latency: Histogram::new(3).unwrap(),
        errors: 0,
    };
    for i in 0.. {
        let due = due(i);
        if due > end {
            break;
        }
        thread::sleep(due.saturating_duration_since(Instant::now()));
        writer.write_all(request.as_bytes()).unwrap();
        let status = read_answer(&mut reader);
        let us = u64::try_from(due.elapsed().as_micros()).unwrap();
        result.latency.record(us).unwrap();
        result.errors += u64::from(status != 200);
    }
    result
}

fn read_answer(reader: &mut impl BufRead) -> u16 {
    let mut status = 0;
    let mut len = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        if line == "\r\n" {
            break;
        }
        if let Some(rest) = line.strip_prefix("HTTP/1.1 ") {
            status = rest[..3].parse().unwrap();
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length: ") {
            len = value.trim().parse().unwrap();
        }
    }
    reader.read_exact(&mut vec![0; len]).unwrap();
    status
}

/// Prints the processor time of an instance without requests, as a share of one core.
fn measure_idle(entry: &Entry) {
    let before = cpu_ticks(entry);
    thread::sleep(Duration::from_secs(10));
    let percent = (cpu_ticks(entry) - before) / TICKS_PER_S / 10.0 * 100.0;
    println!("idle instance, alone: {percent:.2} % of a core");
}

/// Measures look-ups, sign-off and memory with 210,000 blocks in 250 sites.
fn large_table() {
    let world = World::start(|text| {
        let (head, _) = text.split_once("[blocks]").unwrap();
        let mut sites = String::from("site = [\n");
        let dcs = [
            "brest",
            "quimper",
            "vannes",
            "lorient",
            "rennes",
            "saint-malo",
        ];
        for dc in dcs {
            sites.push_str(&format!("{{ id = \"{dc}-1\", data_centre = \"{dc}\" }},\n"));
        }
        for i in 6..250 {
            sites.push_str(&format!(
                "{{ id = \"site-{i}\", data_centre = \"{}\" }},\n",
                dcs[i % 6]
            ));
        }
        let start = head.find("site = [").unwrap();
        let end = start + head[start..].find("\n]\n").unwrap();
        let mut out = format!("{}{sites}{}[blocks]\n", &head[..start], &head[end + 1..]);
        for site in 0..250_u32 {
            let name = if site < 6 {
                format!("{}-1", dcs[site as usize])
            } else {
                format!("site-{site}")
            };
            out.push_str(&format!("{name} = \"\"\"\n"));
            for block in 0..840_u32 {
                let first = (10 << 24) + (site * 840 + block) * 64;
                let ip = std::net::Ipv4Addr::from(first);
                out.push_str(&format!("{ip}/26\n"));
            }
            out.push_str("\"\"\"\n");
        }
        out
    });
    let entry = world.entry("brest-0", "brest", &[]);
    support::wait_until("the bundle is in force", || entry.bundle_version() == 1);
    let reply = ask(entry.lookup, "GET", "/v1/lookup?client=10.0.0.1", "", b"");
    println!(
        "210,000 blocks, 250 sites: look-up answers {}",
        reply.status
    );
    closed_loop(
        "look-ups at 210,000 blocks",
        &entry,
        entry.lookup,
        "/v1/lookup?client=10.0.0.1",
    );
    for version in 2..=11 {
        let text = world
            .text
            .replace("version = 1\n", &format!("version = {version}\n"));
        world.sign_off(&text.replace(
            "10.0.0.64/26\n",
            if version % 2 == 0 {
                ""
            } else {
                "10.0.0.64/26\n"
            },
        ));
        support::wait_until("it is in force", || entry.bundle_version() == version);
    }
    let text = world.text.replace("version = 1\n", "version = 12\n");
    let text = text.replace("10.0.0.128/26\n", "");
    let start = Instant::now();
    let reply = entry.admin_post("/v1/bundle/sign-off", text.as_bytes());
    let signed = start.elapsed();
    support::wait_until("it is in force", || entry.bundle_version() == 12);
    println!(
        "sign-off of one changed block through the instance: {} after {:.2} s, in force after {:.2} s",
        reply.status,
        signed.as_secs_f64(),
        start.elapsed().as_secs_f64(),
    );
    println!(
        "memory at 210,000 blocks after 10 changes: resident {} KiB, peak {} KiB",
        memory_kib(&entry, "VmRSS"),
        memory_kib(&entry, "VmHWM"),
    );
    measure_idle(&entry);
}

/// Returns a memory figure of the instance from `/proc/PID/status`, in KiB.
fn memory_kib(entry: &Entry, field: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", entry.child.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with(field)).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Returns the processor time used by the instance so far, in ticks.
fn cpu_ticks(entry: &Entry) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{}/stat", entry.child.id())).unwrap();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()
}
