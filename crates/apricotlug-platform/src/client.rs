//! Calls to the key-value service: paced, counted, limited in time and repeated where that is safe.

use std::{
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use apricotlug_model::MonoTime;
use async_std::task;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    Backoff, CallKind, Calls, Clock, Entry, Error, Pacer, Result, WriteId,
    transport::Transport,
    wire::{Bytes, RangeRequest, RangeResponse, prefix_end},
};

/// How a process talks to the platform.
#[derive(Clone, Debug)]
pub struct ClientConfig {
    /// Addresses of the platform, tried in turn.
    pub addrs: Vec<SocketAddr>,
    /// Time limit of one call, in milliseconds.
    pub call_timeout_ms: u32,
    /// Attempts of one call.
    pub attempts: u32,
    /// Calls per second that the process may make.
    pub calls_per_s: u32,
    /// Calls that the process may make at once.
    pub burst: u32,
    /// First bound of the backoff, in milliseconds.
    pub backoff_base_ms: u32,
    /// Last bound of the backoff, in milliseconds.
    pub backoff_cap_ms: u32,
    /// Time after which a watch without any message is opened again, in milliseconds.
    pub watch_idle_ms: u32,
    /// Seed of backoff and write ids; it must differ between processes.
    pub seed: u64,
    /// Clock of deadlines and pacing.
    pub clock: Clock,
}

impl Default for ClientConfig {
    fn default() -> Self {
        Self {
            addrs: Vec::new(),
            call_timeout_ms: 1000,
            attempts: 4,
            calls_per_s: 5,
            burst: 10,
            backoff_base_ms: 250,
            backoff_cap_ms: 4000,
            watch_idle_ms: 2000,
            seed: 0,
            clock: Clock::default(),
        }
    }
}

/// Client of the platform; clones share its budget and its counters.
#[derive(Clone)]
pub struct Client {
    inner: Arc<Inner>,
}

struct Inner {
    cfg: ClientConfig,
    transport: Transport,
    calls: Calls,
    pacer: Mutex<Pacer>,
    rng: Mutex<StdRng>,
    last_answer: Mutex<Option<MonoTime>>,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("addrs", &self.inner.cfg.addrs)
            .finish_non_exhaustive()
    }
}

impl Client {
    /// Returns a client. Nothing is sent yet.
    #[must_use]
    pub fn new(cfg: ClientConfig) -> Self {
        let inner = Inner {
            transport: Transport::new(cfg.addrs.clone(), cfg.call_timeout_ms),
            calls: Calls::default(),
            pacer: Mutex::new(Pacer::new(cfg.calls_per_s, cfg.burst)),
            rng: Mutex::new(StdRng::seed_from_u64(cfg.seed)),
            last_answer: Mutex::new(None),
            cfg,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Returns the counters of calls.
    #[must_use]
    pub fn calls(&self) -> &Calls {
        &self.inner.calls
    }

    /// Returns when the platform last gave a usable answer.
    #[must_use]
    pub fn last_answer(&self) -> Option<MonoTime> {
        *lock(&self.inner.last_answer)
    }

    /// Returns the present point on the client's clock.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        self.inner.cfg.clock.now()
    }

    pub(crate) fn cfg(&self) -> &ClientConfig {
        &self.inner.cfg
    }

    pub(crate) fn transport(&self) -> &Transport {
        &self.inner.transport
    }

    pub(crate) fn backoff(&self) -> Backoff {
        let cfg = self.cfg();
        Backoff::new(cfg.backoff_base_ms, cfg.backoff_cap_ms)
    }

    /// Reads one key.
    ///
    /// # Errors
    /// When no attempt brought a usable answer.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>> {
        let req = RangeRequest {
            key: Bytes(key.into()),
            ..RangeRequest::default()
        };
        Ok(self
            .range(&req)
            .await?
            .kvs
            .into_iter()
            .next()
            .map(Entry::from))
    }

    /// Tells whether a key exists, without reading its value.
    ///
    /// # Errors
    /// When no attempt brought a usable answer.
    pub async fn exists(&self, key: &str) -> Result<bool> {
        let req = RangeRequest {
            key: Bytes(key.into()),
            keys_only: true,
            ..RangeRequest::default()
        };
        Ok(!self.range(&req).await?.kvs.is_empty())
    }

    /// Reads all keys with a prefix, sorted, and the revision at which they were read; a watch
    /// from the revision after it misses nothing.
    ///
    /// # Errors
    /// When no attempt brought a usable answer.
    pub async fn list(&self, prefix: &str) -> Result<(Vec<Entry>, i64)> {
        let req = RangeRequest {
            key: Bytes(prefix.into()),
            range_end: Some(Bytes(prefix_end(prefix.as_bytes()))),
            ..RangeRequest::default()
        };
        let answer = self.range(&req).await?;
        let entries = answer.kvs.into_iter().map(Entry::from).collect();
        Ok((entries, answer.header.revision.0))
    }

    async fn range(&self, req: &RangeRequest) -> Result<RangeResponse> {
        self.call_repeated(CallKind::Read, "/v3/kv/range", req)
            .await
    }

    /// Makes a call that may run more than once, up to the allowed attempts.
    pub(crate) async fn call_repeated<A: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        req: &impl Serialize,
    ) -> Result<A> {
        let mut backoff = self.backoff();
        let mut attempts_left = self.cfg().attempts;
        loop {
            attempts_left = attempts_left.saturating_sub(1);
            match self.call(kind, path, req).await {
                Err(e) if e.is_transient() && attempts_left > 0 => self.wait(&mut backoff).await,
                answer => return answer,
            }
        }
    }

    /// Makes one attempt of a call.
    pub(crate) async fn call<A: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        req: &impl Serialize,
    ) -> Result<A> {
        let body = encode(req)?;
        self.pace(kind).await;
        let answer = self.transport().post(path, body).await;
        let answer = answer.and_then(|body| decode(&body));
        self.note(kind, &answer);
        answer
    }

    /// Waits for the call budget and counts the attempt.
    pub(crate) async fn pace(&self, kind: CallKind) {
        let now = self.now();
        let start = lock(&self.inner.pacer).reserve(now);
        self.inner.calls.count_made(kind);
        if start > now {
            task::sleep(start.since(now)).await;
        }
    }

    /// Records whether an attempt brought a usable answer.
    pub(crate) fn note<T>(&self, kind: CallKind, answer: &Result<T>) {
        match answer {
            Ok(_) => *lock(&self.inner.last_answer) = Some(self.now()),
            Err(e) => {
                tracing::debug!(kind = kind.name(), error = %e, "platform call failed");
                self.inner.calls.count_failed(kind);
            }
        }
    }

    /// Waits for the next attempt after a failure.
    pub(crate) async fn wait(&self, backoff: &mut Backoff) {
        let now = self.now();
        let next = backoff.next_attempt(now, &mut *lock(&self.inner.rng));
        task::sleep(next.since(now)).await;
    }

    /// Draws the id of a write.
    pub(crate) fn draw_write_id(&self) -> WriteId {
        WriteId(lock(&self.inner.rng).random())
    }

    /// Draws a positive id for a lease.
    pub(crate) fn draw_lease_id(&self) -> i64 {
        lock(&self.inner.rng).random_range(1..=i64::MAX)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(crate) fn encode(req: &impl Serialize) -> Result<Vec<u8>> {
    serde_json::to_vec(req).map_err(|e| Error::Malformed(e.to_string()))
}

fn decode<A: DeserializeOwned>(body: &[u8]) -> Result<A> {
    serde_json::from_slice(body).map_err(|e| Error::Malformed(e.to_string()))
}
