//! Accept loop of the platform stand-in, and the handle that controls it.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::{Shutdown, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use apricotlug_model::MonoTime;
use apricotlug_platform::{
    Clock, InstanceRecord,
    wire::{Bytes, DeleteRangeRequest, PutRequest},
};
use async_std::{
    net::{TcpListener, TcpStream},
    task::{self, JoinHandle},
};

use super::{
    Faults, Outage,
    handler::{CallCounts, respond},
    store::Store,
};

/// Interval at which leases and pending changes of the instance list are polled.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of a platform stand-in.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Address to listen on; port 0 picks a free port.
    pub addr: SocketAddr,
    /// Clock for leases, rate limits and the lag of the instance list.
    pub clock: Clock,
    /// Initially active faults.
    pub faults: Faults,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Self {
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            clock: Clock::default(),
            faults: Faults::default(),
        }
    }
}

/// Pending change of the instance list; no record means that the instance is removed.
#[derive(Debug)]
struct ListChange {
    visible_at: MonoTime,
    name: String,
    record: Option<InstanceRecord>,
}

/// State shared by all connections and the handle.
#[derive(Debug)]
pub(super) struct Shared {
    clock: Clock,
    faults: Mutex<Faults>,
    store: Mutex<Store>,
    call_counts: Mutex<CallCounts>,
    connections: Mutex<BTreeMap<u64, TcpStream>>,
    list_changes: Mutex<VecDeque<ListChange>>,
}

impl Shared {
    pub(super) fn now(&self) -> MonoTime {
        self.clock.now()
    }

    pub(super) fn faults(&self) -> Faults {
        self.faults_mut().clone()
    }

    pub(super) fn faults_mut(&self) -> MutexGuard<'_, Faults> {
        lock(&self.faults)
    }

    pub(super) fn store(&self) -> MutexGuard<'_, Store> {
        lock(&self.store)
    }

    pub(super) fn with_call_counts<T>(&self, run: impl FnOnce(&mut CallCounts) -> T) -> T {
        run(&mut lock(&self.call_counts))
    }

    fn close_connections(&self) {
        for stream in lock(&self.connections).values() {
            stream.shutdown(Shutdown::Both).ok();
        }
    }

    /// Expires leases and applies the changes of the instance list that are due.
    fn tick(&self) {
        let now = self.now();
        self.store().expire(now);
        let mut changes = lock(&self.list_changes);
        while changes
            .front()
            .is_some_and(|change| change.visible_at.is_past(now))
        {
            if let Some(change) = changes.pop_front() {
                self.apply_list_change(change);
            }
        }
    }

    fn apply_list_change(&self, change: ListChange) {
        let key = Bytes(InstanceRecord::key(&change.name).into_bytes());
        let mut store = self.store();
        match change.record {
            Some(record) => {
                let put = PutRequest {
                    key,
                    value: Bytes(serde_json::to_vec(&record).unwrap_or_default()),
                    ..PutRequest::default()
                };
                store.put(put).ok();
            }
            None => {
                let range_end = None;
                store.delete_range(&DeleteRangeRequest { key, range_end });
            }
        }
    }
}

/// Running platform stand-in; it stops when dropped.
#[derive(Debug)]
pub struct PlatformStandIn {
    addr: SocketAddr,
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

impl PlatformStandIn {
    /// Starts a stand-in.
    ///
    /// # Errors
    /// Returns the error of the operating system if the address cannot be bound.
    pub async fn start(cfg: PlatformConfig) -> io::Result<Self> {
        let listener = TcpListener::bind(cfg.addr).await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            clock: cfg.clock,
            faults: Mutex::new(cfg.faults),
            store: Mutex::default(),
            call_counts: Mutex::default(),
            connections: Mutex::default(),
            list_changes: Mutex::default(),
        });
        let accept = task::spawn(accept(listener, Arc::clone(&shared)));
        let tick = task::spawn(run_ticks(Arc::clone(&shared)));
        Ok(Self {
            addr,
            shared,
            tasks: vec![accept, tick],
        })
    }

    /// Returns the address on which it listens, with the port that was picked.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes the active faults. `Outage::Close` also breaks the open connections.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        let outage = {
            let mut faults = self.shared.faults_mut();
            change(&mut faults);
            faults.outage
        };
        if outage == Outage::Close {
            self.shared.close_connections();
        }
    }

    /// Stops the open watches from ever sending again; new watches are not affected.
    pub fn silence_watches(&self) {
        self.shared.store().watchers.silence();
    }

    /// Breaks the connections of the open watches.
    pub fn drop_watches(&self) {
        self.shared.store().watchers.drop_all();
    }

    /// Returns the number of open watches.
    #[must_use]
    pub fn watches(&self) -> usize {
        self.shared.store().watchers.len()
    }

    /// Returns the number of leases that have neither expired nor been revoked.
    #[must_use]
    pub fn leases(&self) -> usize {
        self.shared.tick();
        self.shared.store().leases()
    }

    /// Compacts the history: a watch from an earlier revision, or the present one, is cancelled.
    pub fn compact(&self) {
        self.shared.store().compact();
    }

    /// Adds an instance to the list, or changes its entry, after the configured lag.
    pub fn list_instance(&self, record: InstanceRecord) {
        let name = record.name.clone();
        self.change_list(name, Some(record));
    }

    /// Removes an instance from the list after the configured lag.
    pub fn unlist_instance(&self, name: &str) {
        self.change_list(name.to_owned(), None);
    }

    /// Expires leases and applies the changes of the instance list that are due, without waiting
    /// for the next poll.
    pub fn tick(&self) {
        self.shared.tick();
    }

    /// Returns the number of calls received, refused ones included.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.with_call_counts(|counts| counts.total)
    }

    /// Returns the number of calls to one path, refused ones included.
    #[must_use]
    pub fn calls_to(&self, path: &str) -> u64 {
        self.shared
            .with_call_counts(|counts| counts.by_path.get(path).copied().unwrap_or_default())
    }

    /// Returns the largest number of calls in one second of the stand-in's clock, refused ones
    /// included.
    #[must_use]
    pub fn most_calls_in_a_second(&self) -> u64 {
        self.shared
            .with_call_counts(|counts| counts.by_second.values().copied().max().unwrap_or_default())
    }

    /// Stops listening and breaks the open connections.
    pub async fn stop(mut self) {
        for task in self.tasks.drain(..) {
            task.cancel().await;
        }
        self.shared.close_connections();
    }

    fn change_list(&self, name: String, record: Option<InstanceRecord>) {
        let lag = Duration::from_millis(self.shared.faults().list_lag_ms.into());
        let visible_at = self.shared.now().after(lag);
        lock(&self.shared.list_changes).push_back(ListChange {
            visible_at,
            name,
            record,
        });
        self.shared.tick();
    }
}

impl Drop for PlatformStandIn {
    fn drop(&mut self) {
        for task in self.tasks.drain(..) {
            task::spawn(task.cancel());
        }
        self.shared.close_connections();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut next_id = 0;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // The process may be out of file descriptors: waits until some are closed.
            task::sleep(TICK_INTERVAL).await;
            continue;
        };
        if shared.faults().outage == Outage::Close {
            continue;
        }
        next_id += 1;
        lock(&shared.connections).insert(next_id, stream.clone());
        task::spawn(serve(Arc::clone(&shared), stream, next_id));
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream, id: u64) {
    stream.set_nodelay(true).ok();
    let result = async_h1::accept(stream.clone(), |req| respond(&shared, req)).await;
    if result.is_err() {
        stream.shutdown(Shutdown::Both).ok();
    }
    lock(&shared.connections).remove(&id);
}

async fn run_ticks(shared: Arc<Shared>) {
    loop {
        shared.tick();
        task::sleep(TICK_INTERVAL).await;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
