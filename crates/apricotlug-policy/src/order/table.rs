//! Table of the orders that one incarnation has started.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use apricotlug_model::UnixTime;

/// Identity of an order within one incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderId {
    /// Name of the client account that sent the order, or `None` on open routes. The name is used
    /// because account keys change between bundles.
    pub account: Option<String>,
    /// Text of the order token or idempotency key.
    pub key: String,
}

/// Limits of the order table.
#[derive(Clone, Copy, Debug)]
pub struct OrderLimits {
    /// Maximum number of orders in the table.
    pub max_orders: usize,
    /// Maximum total size of stored answers, in bytes.
    pub max_total_answer_bytes: usize,
    /// Maximum size of one stored answer, in bytes.
    pub max_answer_bytes: usize,
    /// Maximum time from `now` to the expiry of a token. Tokens that expire later are rejected.
    pub max_token_lifetime: Duration,
}

impl Default for OrderLimits {
    fn default() -> Self {
        Self {
            max_orders: 20_000,
            max_total_answer_bytes: 8 * 1024 * 1024,
            max_answer_bytes: 16 * 1024,
            max_token_lifetime: Duration::from_secs(600),
        }
    }
}

/// Answer that is stored to be repeated if the request is retried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Names and values of the header fields.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Complete body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    fn size_bytes(&self) -> usize {
        let header_bytes: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum();
        header_bytes + self.body.len()
    }
}

/// How to handle a request for an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginOutcome {
    /// First request for the order: run it, then call [`OrderTable::finish_with_answer`].
    Run,
    /// An earlier request for the order is running.
    InProgress,
    /// The order was answered: send the stored answer.
    Answered(Arc<StoredAnswer>),
    /// The order was answered, but the answer was too large to store.
    AnsweredNotStored,
    /// The order may have run, or its token has expired and the table has no entry for it.
    OutcomeUnknown,
    /// The key was used before with a different request.
    RequestMismatch,
    /// The token expires later than any token that an instance could have issued.
    InvalidExpiry,
    /// The table is full. The order did not run.
    TableFull,
}

#[derive(Clone, Debug)]
enum State {
    Running,
    Answered(Arc<StoredAnswer>),
    AnsweredNotStored,
    PerhapsRun,
}

#[derive(Clone, Debug)]
struct Entry {
    request_digest: u64,
    expires_at: UnixTime,
    state: State,
}

/// Orders that this incarnation has started. `now` must come from a clock that never goes back.
#[derive(Debug)]
pub struct OrderTable {
    limits: OrderLimits,
    entries: BTreeMap<OrderId, Entry>,
    expiries: BTreeSet<(UnixTime, OrderId)>,
    answer_bytes: usize,
}

impl OrderTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: OrderLimits) -> Self {
        Self {
            limits,
            entries: BTreeMap::new(),
            expiries: BTreeSet::new(),
            answer_bytes: 0,
        }
    }

    /// Returns the limits that the table was created with.
    #[must_use]
    pub fn limits(&self) -> &OrderLimits {
        &self.limits
    }

    /// Returns the number of orders in the table, expired ones that were not yet evicted included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no orders.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Decides how to handle a request for an order, and adds the order if it is to run.
    ///
    /// `request_digest` is a digest of the request, to detect a key that is reused with a different
    /// request. `expires_at` is the expiry of the token: an order that is not in the table runs
    /// only before this time.
    pub fn begin(
        &mut self,
        id: OrderId,
        request_digest: u64,
        expires_at: UnixTime,
        now: UnixTime,
    ) -> BeginOutcome {
        self.evict_expired(now);
        if let Some(entry) = self.entries.get(&id) {
            if entry.request_digest != request_digest {
                return BeginOutcome::RequestMismatch;
            }
            return match &entry.state {
                State::Running => BeginOutcome::InProgress,
                State::Answered(answer) => BeginOutcome::Answered(Arc::clone(answer)),
                State::AnsweredNotStored => BeginOutcome::AnsweredNotStored,
                State::PerhapsRun => BeginOutcome::OutcomeUnknown,
            };
        }
        if expires_at.is_past(now) {
            return BeginOutcome::OutcomeUnknown;
        }
        if expires_at > now.after(self.limits.max_token_lifetime) {
            return BeginOutcome::InvalidExpiry;
        }
        if self.entries.len() >= self.limits.max_orders {
            return BeginOutcome::TableFull;
        }
        self.expiries.insert((expires_at, id.clone()));
        self.entries.insert(
            id,
            Entry {
                request_digest,
                expires_at,
                state: State::Running,
            },
        );
        BeginOutcome::Run
    }

    /// Records a complete answer. If it exceeds the size limits, only the fact that the order was
    /// answered is stored. Has no effect on orders that are not running.
    pub fn finish_with_answer(&mut self, id: &OrderId, answer: StoredAnswer) {
        let size_bytes = answer.size_bytes();
        let is_storable = size_bytes <= self.limits.max_answer_bytes
            && self.answer_bytes + size_bytes <= self.limits.max_total_answer_bytes;
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if !matches!(entry.state, State::Running) {
            return;
        }
        entry.state = if is_storable {
            State::Answered(Arc::new(answer))
        } else {
            State::AnsweredNotStored
        };
        if is_storable {
            self.answer_bytes += size_bytes;
        }
    }

    /// Records that a complete answer was forwarded, but was too large to store.
    pub fn finish_without_stored_answer(&mut self, id: &OrderId) {
        self.set_if_running(id, State::AnsweredNotStored);
    }

    /// Records that the order may have run.
    pub fn set_outcome_unknown(&mut self, id: &OrderId) {
        self.set_if_running(id, State::PerhapsRun);
    }

    /// Removes an order that certainly did not run, so that its token can be used for a retry.
    pub fn set_not_run(&mut self, id: &OrderId) {
        let is_running = self
            .entries
            .get(id)
            .is_some_and(|entry| matches!(entry.state, State::Running));
        if is_running {
            self.remove(id);
        }
    }

    fn set_if_running(&mut self, id: &OrderId, state: State) {
        if let Some(entry) = self.entries.get_mut(id)
            && matches!(entry.state, State::Running)
        {
            entry.state = state;
        }
    }

    fn remove(&mut self, id: &OrderId) {
        let Some(entry) = self.entries.remove(id) else {
            return;
        };
        self.expiries.remove(&(entry.expires_at, id.clone()));
        if let State::Answered(answer) = entry.state {
            self.answer_bytes -= answer.size_bytes();
        }
    }

    /// Evicts orders whose tokens have expired. This is safe because expired tokens are rejected.
    fn evict_expired(&mut self, now: UnixTime) {
        while let Some((expires_at, id)) = self.expiries.first().cloned() {
            if !expires_at.is_past(now) {
                return;
            }
            let is_running = matches!(
                self.entries.get(&id).map(|entry| &entry.state),
                Some(State::Running)
            );
            if is_running {
                // Running orders are not evicted: the expiry is postponed and checked again then.
                self.expiries.remove(&(expires_at, id.clone()));
                let postponed_expiry = now.after(self.limits.max_token_lifetime);
                self.expiries.insert((postponed_expiry, id.clone()));
                if let Some(entry) = self.entries.get_mut(&id) {
                    entry.expires_at = postponed_expiry;
                }
                continue;
            }
            self.remove(&id);
        }
    }
}
