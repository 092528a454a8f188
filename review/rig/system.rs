//! Starts the project's own program as `deploy/system.toml` does, with settings as
//! `deploy/settings.toml.template` gives them, and ends it.

use std::{
    fs, io,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::{http, record::Record};

/// Bounds of the installation that a case uses.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub grace_s: u32,
    pub retry_slack: u32,
}

pub struct Instance {
    pub name: String,
    pub child: Child,
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    pub lookup: SocketAddr,
    folder: PathBuf,
    settings: PathBuf,
    record: Record,
}

/// Zones and their regions, as on the page of the deploy file.
pub type Zones<'a> = &'a [(&'a str, &'a str)];

fn free_addr() -> io::Result<SocketAddr> {
    // Below the range from which the system takes ports for outgoing channels.
    let first = 12_000 + (std::process::id() as u16 % 1_000) * 16;
    static NEXT: std::sync::atomic::AtomicU16 = std::sync::atomic::AtomicU16::new(0);
    for _ in 0..4_000 {
        let port = first + NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return Ok(addr);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Processes that were started and may still run.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends everything if the case has not ended by itself in time.
pub fn end_after(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        eprintln!("the case did not end in time");
        for process in PROCESSES.lock().unwrap().iter() {
            let _ = Command::new("kill")
                .arg("-KILL")
                .arg(process.to_string())
                .status();
        }
        std::process::exit(2);
    });
}

impl Instance {
    pub fn start(
        (name, zone): (&str, &str),
        zones: Zones<'_>,
        store: SocketAddr,
        bounds: Bounds,
        record: &Record,
    ) -> io::Result<Self> {
        let (caller, ready, lookup, peer) =
            (free_addr()?, free_addr()?, free_addr()?, free_addr()?);
        let regions: String = zones
            .iter()
            .map(|(zone, region)| format!("\"{zone}\" = \"{region}\"\n"))
            .collect();
        let text = format!(
            "instance = \"{name}\"\ndata_centre = \"{zone}\"\nlog_level = \"info\"\nfirst_start = true\nlink_mbps = 1000.0\n\n\
             [regions]\n{regions}\n\
             [listen]\ncaller = \"{caller}\"\nready = \"{ready}\"\nlookup = \"{lookup}\"\npeer = \"{peer}\"\n\n\
             [store]\naddress = \"{store}\"\nmin_lease = \"1000ms\"\n\n\
             [bounds]\ngrace = \"{}s\"\nrevoke = \"5000ms\"\nstrict_revocation = true\nlookup = \"5s\"\n\
             retry_window = \"10s\"\nretry_ratio = 0.2\nretry_slack = {}\n\
             quota_window = \"5s\"\nquota_overage = 0.1\nquota_slack = 20\n",
            bounds.grace_s, bounds.retry_slack
        );
        let folder =
            std::env::temp_dir().join(format!("apricotlug-review-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let settings = folder.join("settings.json");
        fs::write(&settings, text)?;
        let child = Self::spawn(&settings, &folder)?;
        record.line(&format!("{name} starts in {zone}, process {}", child.id()));
        Ok(Self {
            name: name.to_owned(),
            child,
            caller,
            ready,
            lookup,
            folder,
            settings,
            record: record.clone(),
        })
    }

    fn spawn(settings: &PathBuf, folder: &std::path::Path) -> io::Result<Child> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join("log"))?;
        // The command of the deploy file.
        let child = Command::new("target/release/apricotlug")
            .arg("steer")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()?;
        PROCESSES.lock().unwrap().push(child.id());
        Ok(child)
    }

    /// Starts the process again after it has ended.
    pub fn start_again(&mut self) -> io::Result<()> {
        self.reap();
        let text = fs::read_to_string(&self.settings)?;
        fs::write(
            &self.settings,
            text.replace("first_start = true", "first_start = false"),
        )?;
        self.child = Self::spawn(&self.settings, &self.folder)?;
        self.record.line(&format!(
            "{} starts again, process {}",
            self.name,
            self.child.id()
        ));
        Ok(())
    }

    fn reap(&mut self) {
        let _ = self.child.wait();
        let ended = self.child.id();
        PROCESSES
            .lock()
            .unwrap()
            .retain(|process| *process != ended);
    }

    pub fn is_ready(&self) -> bool {
        let answer = http::get(
            self.ready,
            "/apricotlug/readiness",
            Duration::from_millis(500),
        );
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Waits until it is ready. Returns whether it is.
    pub fn wait_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(15);
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&self, name: &str) -> bool {
        self.record.line(&format!("{} gets SIG{name}", self.name));
        let pid = self.child.id().to_string();
        let done = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(pid)
            .status();
        done.is_ok_and(|status| status.success())
    }

    /// Memory of the process in bytes that is its own: neither code nor files.
    pub fn memory_bytes(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("RssAnon:"));
        let kb = line.and_then(|line| line.split_whitespace().nth(1));
        kb.and_then(|kb| kb.parse::<u64>().ok()).unwrap_or(0) * 1024
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        self.reap();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
