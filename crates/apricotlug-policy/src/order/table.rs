//! Table of the orders that one incarnation has begun.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use apricotlug_model::UnixTime;

/// Identity of an order within one incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderId {
    /// Name of the client account that placed it; `None` on open routes. Keys differ from bundle to
    /// bundle, names do not.
    pub account: Option<String>,
    /// Token or idempotency key, as text.
    pub key: String,
}

/// Limits of the table.
#[derive(Clone, Copy, Debug)]
pub struct OrderLimits {
    /// Most orders remembered at once.
    pub orders: usize,
    /// Most bytes of kept answers, all together.
    pub answer_bytes: usize,
    /// Largest answer that is kept, in bytes.
    pub one_answer_bytes: usize,
    /// Time that a token may run ahead of its issue.
    pub token_life: Duration,
}

impl Default for OrderLimits {
    fn default() -> Self {
        Self {
            orders: 20_000,
            answer_bytes: 8 * 1024 * 1024,
            one_answer_bytes: 16 * 1024,
            token_life: Duration::from_secs(600),
        }
    }
}

/// Answer kept for repeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptAnswer {
    /// Status code.
    pub status: u16,
    /// Header lines.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body.
    pub body: Vec<u8>,
}

impl KeptAnswer {
    fn bytes(&self) -> usize {
        let lines: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum();
        lines + self.body.len()
    }
}

/// What to do with a request for an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin {
    /// This is the first request: run it, then call [`Orders::finish`].
    Run,
    /// It is running.
    InProgress,
    /// It was answered; the answer is repeated.
    Answered(Arc<KeptAnswer>),
    /// It was answered, and the answer was too large to keep.
    AnsweredNotKept,
    /// It perhaps ran, or the token has expired and nothing is remembered.
    OutcomeUnknown,
    /// The same key came with another request.
    Mismatch,
    /// The token's expiry lies further ahead than any instance issues.
    InvalidExpiry,
    /// The table is full; the order did not run.
    Full,
}

#[derive(Clone, Debug)]
enum State {
    Running,
    Answered(Arc<KeptAnswer>),
    AnsweredNotKept,
    PerhapsRun,
}

#[derive(Clone, Debug)]
struct Entry {
    request: u64,
    expires_at: UnixTime,
    state: State,
}

/// Orders that this incarnation has begun. `now` must come from a clock that never goes back.
#[derive(Debug)]
pub struct Orders {
    limits: OrderLimits,
    entries: BTreeMap<OrderId, Entry>,
    expiries: BTreeSet<(UnixTime, OrderId)>,
    answer_bytes: usize,
}

impl Orders {
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

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> &OrderLimits {
        &self.limits
    }

    /// Returns the number of orders remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no order is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Decides about a request for an order.
    ///
    /// `request` is a digest of what is asked for, so that a key that comes with another request
    /// is noticed. `expires_at` is the expiry of the token: an order that is not remembered runs
    /// only before it.
    pub fn begin(
        &mut self,
        id: OrderId,
        request: u64,
        expires_at: UnixTime,
        now: UnixTime,
    ) -> Begin {
        self.forget_expired(now);
        if let Some(entry) = self.entries.get(&id) {
            if entry.request != request {
                return Begin::Mismatch;
            }
            return match &entry.state {
                State::Running => Begin::InProgress,
                State::Answered(answer) => Begin::Answered(Arc::clone(answer)),
                State::AnsweredNotKept => Begin::AnsweredNotKept,
                State::PerhapsRun => Begin::OutcomeUnknown,
            };
        }
        if expires_at.is_past(now) {
            return Begin::OutcomeUnknown;
        }
        if expires_at > now.after(self.limits.token_life) {
            return Begin::InvalidExpiry;
        }
        if self.entries.len() >= self.limits.orders {
            return Begin::Full;
        }
        self.expiries.insert((expires_at, id.clone()));
        self.entries.insert(
            id,
            Entry {
                request,
                expires_at,
                state: State::Running,
            },
        );
        Begin::Run
    }

    /// Records a whole answer. A large one is not kept, only that there was one.
    pub fn finish(&mut self, id: &OrderId, answer: KeptAnswer) {
        let bytes = answer.bytes();
        let fits = bytes <= self.limits.one_answer_bytes
            && self.answer_bytes + bytes <= self.limits.answer_bytes;
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if !matches!(entry.state, State::Running) {
            return;
        }
        entry.state = if fits {
            State::Answered(Arc::new(answer))
        } else {
            State::AnsweredNotKept
        };
        if fits {
            self.answer_bytes += bytes;
        }
    }

    /// Records that a whole answer was passed on and was too large to keep.
    pub fn finish_unkept(&mut self, id: &OrderId) {
        self.set_if_running(id, State::AnsweredNotKept);
    }

    /// Records that the order perhaps ran.
    pub fn set_unknown(&mut self, id: &OrderId) {
        self.set_if_running(id, State::PerhapsRun);
    }

    /// Records that the order certainly did not run: its token may be used again.
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
            self.answer_bytes -= answer.bytes();
        }
    }

    /// Forgets orders whose tokens have expired; their tokens start no run any more.
    fn forget_expired(&mut self, now: UnixTime) {
        while let Some((expires_at, id)) = self.expiries.first().cloned() {
            if !expires_at.is_past(now) {
                return;
            }
            let is_running = matches!(
                self.entries.get(&id).map(|entry| &entry.state),
                Some(State::Running)
            );
            if is_running {
                // A running order stays until it ends; it is looked at again with the next expiry.
                self.expiries.remove(&(expires_at, id.clone()));
                let later = now.after(self.limits.token_life);
                self.expiries.insert((later, id.clone()));
                if let Some(entry) = self.entries.get_mut(&id) {
                    entry.expires_at = later;
                }
                continue;
            }
            self.remove(&id);
        }
    }
}
