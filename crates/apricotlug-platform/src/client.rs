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
    Backoff, CallKind, Calls, Clock, Entry, Error, Fence, Pacer, Result, Swap, WriteId, envelope,
    outcome::judge,
    transport::Transport,
    wire::{
        Bytes, Compare, DeleteRangeRequest, Int64, PutRequest, RangeRequest, RangeResponse,
        RequestOp, Target, TxnRequest, TxnResponse, prefix_end,
    },
};

/// Largest stored value, envelope included, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

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
            calls_per_s: 20,
            burst: 40,
            backoff_base_ms: 50,
            backoff_cap_ms: 5000,
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
            range_end: None,
        };
        Ok(self
            .range(&req)
            .await?
            .kvs
            .into_iter()
            .next()
            .map(Entry::from))
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
        };
        let answer = self.range(&req).await?;
        let entries = answer.kvs.into_iter().map(Entry::from).collect();
        Ok((entries, answer.header.revision.0))
    }

    /// Writes a key where it still stands as `expected`, or does not exist where that is `None`.
    ///
    /// # Errors
    /// When the write surely had no effect, for another reason than a conflict.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        expected: Option<&Entry>,
        value: &[u8],
    ) -> Result<Swap> {
        self.swap(key, expected, value, 0, None).await
    }

    /// Writes like [`Client::compare_and_swap`], and only while the leadership stands.
    ///
    /// # Errors
    /// When the write surely had no effect, for another reason than a conflict.
    pub async fn compare_and_swap_fenced(
        &self,
        key: &str,
        expected: Option<&Entry>,
        value: &[u8],
        fence: &Fence,
    ) -> Result<Swap> {
        self.swap(key, expected, value, 0, Some(fence)).await
    }

    /// Deletes a key where it still stands as `expected`. Returns whether it is gone.
    ///
    /// # Errors
    /// When no attempt brought a usable answer.
    pub async fn delete(&self, expected: &Entry) -> Result<bool> {
        let key = Bytes(expected.key.clone().into_bytes());
        let req = TxnRequest {
            compare: vec![is_unchanged(&key, Some(expected))],
            success: vec![RequestOp {
                request_delete_range: Some(DeleteRangeRequest {
                    key: key.clone(),
                    range_end: None,
                }),
                ..RequestOp::default()
            }],
            failure: vec![read_op(&key)],
        };
        let mut answer: TxnResponse = self.call_repeated(CallKind::Write, TXN_PATH, &req).await?;
        Ok(answer.succeeded || take_entry(&mut answer, 0).is_none())
    }

    pub(crate) async fn swap(
        &self,
        key: &str,
        expected: Option<&Entry>,
        value: &[u8],
        lease: i64,
        fence: Option<&Fence>,
    ) -> Result<Swap> {
        let id = WriteId(lock(&self.inner.rng).random());
        let earlier = expected.map_or(&[][..], |entry| &entry.lineage);
        let stored = envelope::seal(id, earlier, value);
        if stored.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge {
                bytes: stored.len(),
                limit: MAX_VALUE_BYTES,
            });
        }
        let req = swap_request(key, expected, stored, lease, fence);
        let mut is_uncertain = false;
        let mut backoff = self.backoff();
        let mut last = Error::Malformed("no attempt is allowed".to_owned());
        for attempt in 0..self.cfg().attempts {
            if attempt > 0 {
                self.wait(&mut backoff).await;
            }
            let answer: Result<TxnResponse> = self.call(CallKind::Write, TXN_PATH, &req).await;
            match answer {
                Ok(answer) => return Ok(read_swap(answer, id, expected, fence, is_uncertain)),
                Err(e) if !e.is_transient() && !is_uncertain => return Err(e),
                Err(e) => {
                    is_uncertain |= !e.is_not_run();
                    last = e;
                }
            }
        }
        if !is_uncertain {
            return Err(last);
        }
        Ok(self.read_back(key, id, expected).await)
    }

    /// Looks for an uncertain write where transactions fail but reads may still succeed.
    async fn read_back(&self, key: &str, id: WriteId, expected: Option<&Entry>) -> Swap {
        let Ok(current) = self.get(key).await else {
            return Swap::Unknown;
        };
        let is_unchanged = current.as_ref().map(|entry| entry.mod_revision)
            == expected.map(|entry| entry.mod_revision);
        if is_unchanged {
            // The request may still be on its way.
            return Swap::Unknown;
        }
        judge(id, expected, current, true)
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

    /// Draws a positive id for a lease.
    pub(crate) fn draw_lease_id(&self) -> i64 {
        lock(&self.inner.rng).random_range(1..=i64::MAX)
    }
}

const TXN_PATH: &str = "/v3/kv/txn";

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(crate) fn encode(req: &impl Serialize) -> Result<Vec<u8>> {
    serde_json::to_vec(req).map_err(|e| Error::Malformed(e.to_string()))
}

fn decode<A: DeserializeOwned>(body: &[u8]) -> Result<A> {
    serde_json::from_slice(body).map_err(|e| Error::Malformed(e.to_string()))
}

fn swap_request(
    key: &str,
    expected: Option<&Entry>,
    stored: Vec<u8>,
    lease: i64,
    fence: Option<&Fence>,
) -> TxnRequest {
    let key = Bytes(key.into());
    let mut compare = vec![is_unchanged(&key, expected)];
    let mut failure = vec![read_op(&key)];
    if let Some(fence) = fence {
        let fence_key = Bytes(fence.key.clone().into_bytes());
        failure.push(read_op(&fence_key));
        compare.push(Compare {
            key: fence_key,
            target: Target::Create,
            create_revision: Some(Int64(fence.create_revision)),
            ..Compare::default()
        });
    }
    let put = PutRequest {
        key,
        value: Bytes(stored),
        lease: Int64(lease),
    };
    TxnRequest {
        compare,
        success: vec![RequestOp {
            request_put: Some(put),
            ..RequestOp::default()
        }],
        failure,
    }
}

fn is_unchanged(key: &Bytes, expected: Option<&Entry>) -> Compare {
    Compare {
        key: key.clone(),
        target: Target::Mod,
        mod_revision: Some(Int64(expected.map_or(0, |entry| entry.mod_revision))),
        ..Compare::default()
    }
}

fn read_op(key: &Bytes) -> RequestOp {
    RequestOp {
        request_range: Some(RangeRequest {
            key: key.clone(),
            range_end: None,
        }),
        ..RequestOp::default()
    }
}

fn read_swap(
    mut answer: TxnResponse,
    id: WriteId,
    expected: Option<&Entry>,
    fence: Option<&Fence>,
    is_uncertain: bool,
) -> Swap {
    if answer.succeeded {
        return Swap::Written {
            revision: answer.header.revision.0,
            is_superseded: false,
        };
    }
    let leader = fence.and_then(|_| take_entry(&mut answer, 1));
    let current = take_entry(&mut answer, 0);
    let swap = judge(id, expected, current, is_uncertain);
    let is_fenced = fence
        .is_some_and(|fence| leader.is_none_or(|it| it.create_revision != fence.create_revision));
    match swap {
        Swap::Conflict { .. } if is_fenced => Swap::Fenced,
        swap => swap,
    }
}

fn take_entry(answer: &mut TxnResponse, index: usize) -> Option<Entry> {
    let range = answer.responses.get_mut(index)?.response_range.take()?;
    range.kvs.into_iter().next().map(Entry::from)
}
