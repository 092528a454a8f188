//! Replicated data in gossip messages: digests first, then the data that the other side is
//! missing.

use apricotlug_model::MonoTime;

use super::ReplicatedData;
use crate::{DataDigest, Exchange};

/// Maximum number of withdrawals in a push; the newest are sent.
const KEYS_PER_PUSH: usize = 8;
/// Largest head that a push carries, in bytes.
const MAX_PUSHED_HEAD_BYTES: usize = 2048;

impl ReplicatedData {
    /// Returns the digest of the data that this instance holds.
    #[must_use]
    pub fn digest(&self) -> DataDigest {
        DataDigest {
            progress: self.progress(),
            records: self.records_hash,
        }
    }

    /// Adds to a push the data that its receiver is most likely missing, which saves a round trip.
    pub fn fill_push(&self, msg: &mut Exchange) {
        msg.withdrawn = self.recent_withdrawals();
        msg.withdrawn.truncate(KEYS_PER_PUSH);
        let head = self.bundle.as_ref().map(|bundle| &bundle.head);
        msg.head = head
            .filter(|head| head.bytes.len() <= MAX_PUSHED_HEAD_BYTES)
            .cloned();
    }

    /// Merges a message and fills the reply to it.
    pub fn handle(&mut self, msg: &Exchange, reply: &mut Exchange, now: MonoTime) {
        for key in &msg.withdrawn {
            // A key beyond the limits is skipped; every instance refuses it.
            let _ = self.withdraw(key);
        }
        for record in &msg.records {
            let _ = self.put(record.clone());
        }
        if let Some(head) = &msg.head
            && head.check().is_ok()
        {
            self.offer(head.clone(), msg.sender, now);
        }
        self.add_known_source(msg.sender, msg.data.progress.bundle, now);
        reply.data = self.digest();
        self.answer_bundle(msg, reply);
        self.answer_withdrawn(msg, reply);
        self.answer_records(msg, reply);
    }

    fn answer_bundle(&self, msg: &Exchange, reply: &mut Exchange) {
        if msg.data.progress.bundle < self.version() {
            reply.head = self.bundle.as_ref().map(|bundle| bundle.head.clone());
        }
    }

    fn answer_withdrawn(&self, msg: &Exchange, reply: &mut Exchange) {
        if msg.data.progress.withdrawn == self.withdrawn_hash {
            return;
        }
        if !msg.withdrawn_digest.is_empty() {
            let (missing, is_ahead) = self.compare_withdrawn(&msg.withdrawn_digest);
            reply.withdrawn = missing;
            if is_ahead {
                reply.withdrawn_digest = self.withdrawn_hashes.iter().copied().collect();
            }
            return;
        }
        reply.withdrawn = self.recent_withdrawals();
        if msg.round > 0 {
            reply.withdrawn_digest = self.withdrawn_hashes.iter().copied().collect();
        }
    }

    fn answer_records(&self, msg: &Exchange, reply: &mut Exchange) {
        if msg.data.records == self.records_hash {
            return;
        }
        let (missing, is_ahead) = self.compare_records(&msg.record_digest);
        let is_empty = msg.data.records == 0;
        if msg.record_digest.is_empty() && !is_empty {
            reply.record_digest = self.record_digest();
            return;
        }
        reply.records = missing;
        if is_ahead && msg.round < 2 {
            reply.record_digest = self.record_digest();
        }
    }
}
