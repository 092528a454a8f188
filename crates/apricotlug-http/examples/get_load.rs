//! Asks one page again and again at a steady rate over open connections, and measures latency and
//! the processor time of the process that answers.
//!
//! `cargo run --release -p apricotlug-http --example get_load -- ADDR TARGET RATE CONNECTIONS PID`
//!
//! Latency counts from when a request was due, so that a slow answer is not hidden by the
//! requests that waited behind it.

use std::{
    env,
    error::Error,
    fs,
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

const SPAN: Duration = Duration::from_secs(10);
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

fn main() -> Result<(), Box<dyn Error>> {
    let args: Vec<String> = env::args().skip(1).collect();
    let [addr, target, rate, connections, pid] = &args[..] else {
        return Err("usage: get_load ADDR TARGET RATE CONNECTIONS PID".into());
    };
    let (rate, connections): (f64, u32) = (rate.parse()?, connections.parse()?);
    let gap = Duration::from_secs_f64(f64::from(connections) / rate);
    let before = cpu_seconds(pid)?;
    let started = Instant::now();
    let runs: Vec<_> = (0..connections)
        .map(|i| {
            let (addr, target) = (addr.clone(), target.clone());
            let first = started + gap.mul_f64(f64::from(i) / f64::from(connections));
            thread::spawn(move || ask(&addr, &target, first, gap))
        })
        .collect();
    let mut latencies = Vec::new();
    for run in runs {
        let asked = run.join().map_err(|_| "a connection panicked")?;
        latencies.extend(asked.map_err(|e| e.to_string())?);
    }
    let span = started.elapsed().as_secs_f64();
    let cpu = cpu_seconds(pid)? - before;
    latencies.sort();
    let at = |permille: usize| latencies[(latencies.len() - 1) * permille / 1_000].as_micros();
    println!(
        "{:.0} answers/s  p50 {} us  p99 {} us  processor {:.2}% of a core  {:.1} us each",
        latencies.len() as f64 / span,
        at(500),
        at(990),
        cpu / span * 100.0,
        cpu * 1e6 / latencies.len() as f64,
    );
    Ok(())
}

fn ask(
    addr: &str,
    target: &str,
    first: Instant,
    gap: Duration,
) -> Result<Vec<Duration>, std::io::Error> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let request = format!("GET {target} HTTP/1.1\r\nhost: {addr}\r\n\r\n");
    let mut latencies = Vec::new();
    let mut due = first;
    let mut buf = vec![0; 16 * 1024];
    while due < first + SPAN {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        stream.write_all(request.as_bytes())?;
        read_answer(&mut stream, &mut buf)?;
        latencies.push(due.elapsed());
        due += gap;
    }
    Ok(latencies)
}

/// Reads one answer with a declared length.
fn read_answer(stream: &mut TcpStream, buf: &mut [u8]) -> Result<(), std::io::Error> {
    let mut len = 0;
    loop {
        let read = stream.read(&mut buf[len..])?;
        if read == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        len += read;
        let text = String::from_utf8_lossy(&buf[..len]);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        if !head.starts_with("HTTP/1.1 200") {
            return Err(std::io::Error::other(head.to_owned()));
        }
        let lines = head.lines().filter_map(|line| line.split_once(": "));
        let length = lines
            .filter(|(name, _)| name.eq_ignore_ascii_case("content-length"))
            .find_map(|(_, value)| value.parse().ok());
        if length.is_some_and(|length: usize| body.len() >= length) {
            return Ok(());
        }
    }
}

/// Returns the processor time of a process, user and system, in seconds.
fn cpu_seconds(pid: &str) -> Result<f64, std::io::Error> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let after_name = stat.rsplit(") ").next().unwrap_or_default();
    let ticks = after_name.split(' ').skip(11).take(2);
    let ticks: f64 = ticks.filter_map(|field| field.parse::<f64>().ok()).sum();
    Ok(ticks / TICKS_PER_SECOND)
}
