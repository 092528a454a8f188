//! Requests one page at a constant rate over persistent connections, and measures latency and the
//! processor time of the server process.
//!
//! `cargo run --release -p apricotlug-http --example get_load -- ADDR TARGET RATE CONNECTIONS PID`
//!
//! Latency counts from the time at which a request was due, not from when it was sent, so that the
//! delay that a slow response causes to later requests is included.

use std::{
    env,
    error::Error,
    fs,
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

/// Length of the measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(10);
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

fn main() -> Result<(), Box<dyn Error>> {
    let args: Vec<String> = env::args().skip(1).collect();
    let [addr, target, rate, connections, pid] = &args[..] else {
        return Err("usage: get_load ADDR TARGET RATE CONNECTIONS PID".into());
    };
    let (rate, connections): (f64, u32) = (rate.parse()?, connections.parse()?);
    let interval = Duration::from_secs_f64(f64::from(connections) / rate);
    let before = cpu_seconds(pid)?;
    let started = Instant::now();
    let threads: Vec<_> = (0..connections)
        .map(|i| {
            let (addr, target) = (addr.clone(), target.clone());
            let first = started + interval.mul_f64(f64::from(i) / f64::from(connections));
            thread::spawn(move || request_at_rate(&addr, &target, first, interval))
        })
        .collect();
    let mut latencies = Vec::new();
    for thread in threads {
        let result = thread.join().map_err(|_| "a connection panicked")?;
        latencies.extend(result.map_err(|e| e.to_string())?);
    }
    let elapsed_s = started.elapsed().as_secs_f64();
    let cpu_s = cpu_seconds(pid)? - before;
    latencies.sort();
    let percentile_us =
        |permille: usize| latencies[(latencies.len() - 1) * permille / 1_000].as_micros();
    println!(
        "{:.0} responses/s  p50 {} us  p99 {} us  processor time {:.2}% of a core, {:.1} us each",
        latencies.len() as f64 / elapsed_s,
        percentile_us(500),
        percentile_us(990),
        cpu_s / elapsed_s * 100.0,
        cpu_s * 1e6 / latencies.len() as f64,
    );
    Ok(())
}

fn request_at_rate(
    addr: &str,
    target: &str,
    first: Instant,
    interval: Duration,
) -> Result<Vec<Duration>, std::io::Error> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let request = format!("GET {target} HTTP/1.1\r\nhost: {addr}\r\n\r\n");
    let mut latencies = Vec::new();
    let mut due = first;
    let mut buf = vec![0; 16 * 1024];
    while due < first + MEASUREMENT_TIME {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        stream.write_all(request.as_bytes())?;
        read_response(&mut stream, &mut buf)?;
        latencies.push(due.elapsed());
        due += interval;
    }
    Ok(latencies)
}

/// Reads one response with a `content-length` header; any status but 200 is an error.
fn read_response(stream: &mut TcpStream, buf: &mut [u8]) -> Result<(), std::io::Error> {
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

/// Returns the user and system processor time of a process, in seconds.
fn cpu_seconds(pid: &str) -> Result<f64, std::io::Error> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let after_name = stat.rsplit(") ").next().unwrap_or_default();
    let ticks = after_name.split(' ').skip(11).take(2);
    let ticks: f64 = ticks.filter_map(|field| field.parse::<f64>().ok()).sum();
    Ok(ticks / TICKS_PER_SECOND)
}
