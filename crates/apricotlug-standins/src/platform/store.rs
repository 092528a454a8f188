//! Keys, leases and history of the platform stand-in.

use std::{collections::BTreeMap, time::Duration};

use apricotlug_model::MonoTime;
use apricotlug_platform::wire::{
    Compare, DeleteRangeRequest, DeleteRangeResponse, Event, EventKind, Int64, KeyValue,
    LeaseRequest, LeaseResponse, PutRequest, PutResponse, RangeRequest, RangeResponse, Relation,
    RequestOp, ResponseOp, Target, TxnRequest, TxnResponse, WatchCreateRequest,
};
use async_channel::Receiver;

use super::watchers::{KeyRange, WatchChunk, Watchers, header};

/// Refusal of a request: the status and the error message of the response.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusal(pub(super) u16, pub(super) &'static str);

#[derive(Debug)]
struct LeaseState {
    ttl_s: i64,
    expires_at: MonoTime,
}

/// Stored keys, leases, change history and open watches.
#[derive(Debug, Default)]
pub(super) struct Store {
    revision: i64,
    compact_revision: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    leases: BTreeMap<i64, LeaseState>,
    history: Vec<(i64, Vec<Event>)>,
    pub(super) watchers: Watchers,
}

impl Store {
    pub(super) fn range(&self, req: &RangeRequest) -> RangeResponse {
        let range = KeyRange::new(&req.key.0, req.range_end.as_ref().map(|end| &end.0[..]));
        let kvs = self.keys.values().filter(|kv| range.contains(&kv.key.0));
        let mut kvs: Vec<KeyValue> = kvs.cloned().collect();
        if req.keys_only {
            kvs.iter_mut().for_each(|kv| kv.value.0.clear());
        }
        RangeResponse {
            header: header(self.revision),
            kvs,
        }
    }

    pub(super) fn put(&mut self, req: PutRequest) -> Result<PutResponse, Refusal> {
        self.check_lease(req.lease)?;
        let mut events = Vec::new();
        self.apply_put(req, &mut events);
        self.commit(events);
        Ok(PutResponse {
            header: header(self.revision),
        })
    }

    pub(super) fn delete_range(&mut self, req: &DeleteRangeRequest) -> DeleteRangeResponse {
        let mut events = Vec::new();
        let deleted = self.apply_delete(req, &mut events);
        self.commit(events);
        DeleteRangeResponse {
            header: header(self.revision),
            deleted: Int64(deleted),
        }
    }

    pub(super) fn txn(&mut self, req: TxnRequest) -> Result<TxnResponse, Refusal> {
        let succeeded = req.compare.iter().all(|compare| self.is_satisfied(compare));
        let ops = if succeeded { req.success } else { req.failure };
        for put in ops.iter().filter_map(|op| op.request_put.as_ref()) {
            self.check_lease(put.lease)?;
        }
        let mut events = Vec::new();
        let responses = ops
            .into_iter()
            .map(|op| self.apply(op, &mut events))
            .collect();
        self.commit(events);
        Ok(TxnResponse {
            header: header(self.revision),
            succeeded,
            responses,
        })
    }

    pub(super) fn grant(
        &mut self,
        req: &LeaseRequest,
        now: MonoTime,
    ) -> Result<LeaseResponse, Refusal> {
        let ttl_s = req.TTL.unwrap_or_default().0;
        if ttl_s <= 0 {
            return Err(Refusal(400, "lease time to live must be positive"));
        }
        let id = match req.ID.0 {
            0 => self.leases.last_key_value().map_or(1, |(id, _)| id + 1),
            id => id,
        };
        if self.leases.contains_key(&id) {
            return Err(Refusal(400, "etcdserver: lease already exists"));
        }
        let expires_at = now.after(seconds(ttl_s));
        self.leases.insert(id, LeaseState { ttl_s, expires_at });
        Ok(self.lease_response(id, ttl_s))
    }

    pub(super) fn keep_alive(&mut self, req: &LeaseRequest, now: MonoTime) -> LeaseResponse {
        let id = req.ID.0;
        let ttl_s = self.leases.get_mut(&id).map_or(0, |lease| {
            lease.expires_at = now.after(seconds(lease.ttl_s));
            lease.ttl_s
        });
        self.lease_response(id, ttl_s)
    }

    pub(super) fn revoke(&mut self, req: &LeaseRequest) -> Result<LeaseResponse, Refusal> {
        let id = req.ID.0;
        if self.leases.remove(&id).is_none() {
            return Err(Refusal(404, "etcdserver: requested lease not found"));
        }
        self.delete_leased(id);
        Ok(self.lease_response(id, 0))
    }

    /// Removes the leases that have expired and deletes the keys attached to them.
    pub(super) fn expire(&mut self, now: MonoTime) {
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at.is_past(now))
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.leases.remove(&id);
            self.delete_leased(id);
        }
    }

    pub(super) fn watch(&mut self, req: &WatchCreateRequest) -> Receiver<WatchChunk> {
        self.watchers
            .open(req, self.revision, self.compact_revision, &self.history)
    }

    /// Returns the number of leases, those included that have expired since the last `expire`.
    pub(super) fn leases(&self) -> usize {
        self.leases.len()
    }

    /// Compacts the history up to the present revision.
    pub(super) fn compact(&mut self) {
        self.compact_revision = self.revision;
        self.history.clear();
    }

    fn lease_response(&self, id: i64, ttl_s: i64) -> LeaseResponse {
        LeaseResponse {
            header: header(self.revision),
            ID: Int64(id),
            TTL: Int64(ttl_s),
        }
    }

    fn check_lease(&self, lease: Int64) -> Result<(), Refusal> {
        if lease.0 == 0 || self.leases.contains_key(&lease.0) {
            return Ok(());
        }
        Err(Refusal(404, "etcdserver: requested lease not found"))
    }

    fn is_satisfied(&self, compare: &Compare) -> bool {
        let kv = self.keys.get(&compare.key.0);
        let (actual, operand) = match compare.target {
            Target::Version => (kv.map(|kv| kv.version), compare.version),
            Target::Create => (kv.map(|kv| kv.create_revision), compare.create_revision),
            Target::Mod => (kv.map(|kv| kv.mod_revision), compare.mod_revision),
        };
        let (actual, operand) = (actual.unwrap_or_default(), operand.unwrap_or_default());
        match compare.result {
            Relation::Equal => actual == operand,
            Relation::Greater => actual > operand,
            Relation::Less => actual < operand,
        }
    }

    fn apply(&mut self, op: RequestOp, events: &mut Vec<Event>) -> ResponseOp {
        let mut response = ResponseOp::default();
        if let Some(req) = op.request_range {
            response.response_range = Some(self.range(&req));
        }
        if let Some(req) = op.request_put {
            self.apply_put(req, events);
            response.response_put = Some(PutResponse::default());
        }
        if let Some(req) = op.request_delete_range {
            response.response_delete_range = Some(DeleteRangeResponse {
                deleted: Int64(self.apply_delete(&req, events)),
                ..DeleteRangeResponse::default()
            });
        }
        response
    }

    fn apply_put(&mut self, req: PutRequest, events: &mut Vec<Event>) {
        let revision = Int64(self.revision + 1);
        let kv = self.keys.entry(req.key.0.clone()).or_default();
        if kv.version.0 == 0 {
            kv.create_revision = revision;
        }
        kv.key = req.key;
        kv.value = req.value;
        kv.lease = req.lease;
        kv.version.0 += 1;
        kv.mod_revision = revision;
        events.push(Event {
            kind: EventKind::Put,
            kv: kv.clone(),
        });
    }

    fn apply_delete(&mut self, req: &DeleteRangeRequest, events: &mut Vec<Event>) -> i64 {
        let range = KeyRange::new(&req.key.0, req.range_end.as_ref().map(|end| &end.0[..]));
        self.delete_where(|kv| range.contains(&kv.key.0), events)
    }

    fn delete_leased(&mut self, lease: i64) {
        let mut events = Vec::new();
        self.delete_where(|kv| kv.lease.0 == lease, &mut events);
        self.commit(events);
    }

    fn delete_where(
        &mut self,
        is_match: impl Fn(&KeyValue) -> bool,
        events: &mut Vec<Event>,
    ) -> i64 {
        let revision = Int64(self.revision + 1);
        let mut deleted = 0;
        self.keys.retain(|key, kv| {
            if !is_match(kv) {
                return true;
            }
            deleted += 1;
            let mut tombstone = KeyValue {
                mod_revision: revision,
                ..KeyValue::default()
            };
            tombstone.key.0.clone_from(key);
            events.push(Event {
                kind: EventKind::Delete,
                kv: tombstone,
            });
            false
        });
        deleted
    }

    fn commit(&mut self, events: Vec<Event>) {
        if events.is_empty() {
            return;
        }
        self.revision += 1;
        self.watchers.notify(self.revision, &events);
        self.history.push((self.revision, events));
    }
}

fn seconds(ttl_s: i64) -> Duration {
    Duration::from_secs(u64::try_from(ttl_s).unwrap_or(0))
}
