//! Entry instance as a process of its own, with settings like those of the deploy file's template.

use std::{
    env, fs,
    fs::File,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{self, Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{Setup, client};

/// Bounds of an installation that the scenarios use.
pub struct Bounds {
    pub apply: &'static str,
    pub drain: &'static str,
    pub revoke: &'static str,
    pub retry_slack: u32,
    pub memory_mb: u64,
    pub descriptors: u32,
}

/// Running entry instance. Ends when dropped.
pub struct Entry {
    pub caller: SocketAddr,
    child: Child,
    folder: PathBuf,
}

impl Entry {
    /// Starts an instance in a data centre and waits until it is ready; `None` where it is not soon.
    pub fn start(
        setup: &Setup,
        store: SocketAddr,
        (name, data_centre): (&str, &str),
        regions: &[(&str, &str)],
        bounds: &Bounds,
    ) -> Option<Self> {
        let folder = env::temp_dir().join(format!("review-2-{}-{name}", process::id()));
        fs::create_dir_all(&folder).ok()?;
        let held: Vec<TcpListener> =
            (0..4).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port is free")).collect();
        let ports: Vec<SocketAddr> = held.iter().map(|l| l.local_addr().unwrap()).collect();
        drop(held);
        let regions = regions.iter().map(|(zone, region)| format!("\"{zone}\" = \"{region}\"\n"));
        let regions: String = regions.collect();
        let [caller, ready, lookup, peer] = ports[..] else {
            return None;
        };
        let Bounds {
            apply,
            drain,
            revoke,
            retry_slack,
            memory_mb,
            descriptors,
        } = bounds;
        let text = format!(
            "instance = \"{name}\"\ndata_centre = \"{data_centre}\"\nlog_level = \"info\"\n\
             first_start = true\nlink_mbps = 1000\n\n[regions]\n{regions}\n[listen]\n\
             caller = \"{caller}\"\nready = \"{ready}\"\nlookup = \"{lookup}\"\npeer = \"{peer}\"\n\n\
             [store]\naddress = \"{store}\"\nmin_lease = \"1000ms\"\n\n\
             [machine]\nmemory_mb = {memory_mb}\ndescriptors = {descriptors}\n\n[bounds]\ngrace = \"6s\"\n\
             apply = \"{apply}\"\ndrain = \"{drain}\"\nrevoke = \"{revoke}\"\n\
             strict_revocation = true\nlookup = \"5s\"\nretry_window = \"10s\"\nretry_ratio = 0.2\n\
             retry_slack = {retry_slack}\nquota_window = \"5s\"\nquota_overage = 0.1\n\
             quota_slack = 20\ncold_overage = 1.5\ncold_slack = 5\n"
        );
        let settings = folder.join("settings.toml");
        fs::write(&settings, text).ok()?;
        let log = File::create(folder.join("log.jsonl")).ok()?;
        let child = Command::new(&setup.binary)
            .arg("steer")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()?;
        let entry = Self {
            caller,
            child,
            folder,
        };
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let status = client::get(ready, "/apricotlug/readiness").map(|response| response.status());
            if status == Some(200) {
                setup.record.line(&format!("{name} in {data_centre} is ready"));
                return Some(entry);
            }
            thread::sleep(Duration::from_millis(50));
        }
        None
    }
}

impl Entry {
    /// Returns the memory that the process has now, in bytes; `None` once it has ended.
    pub fn memory(&self) -> Option<u64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb << 10)
    }

    /// Kills the process, as the platform does with one that exceeds its memory.
    pub fn kill(&mut self) {
        // Fails only if the process has ended already.
        let _ = self.child.kill();
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        // Fails only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
