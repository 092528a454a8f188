//! Where an instance reads the store's items next: at the store, from a relay or from another
//! instance.
//!
//! Each way may fail, or bring old data, and each failure costs time. What they cost together
//! decides how late a confirmed change is in force.

use std::{net::SocketAddr, time::Duration};

use apricotlug_model::MonoTime;

/// Time limits of reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadLimits {
    /// Time that a watch of the store waits for changes. A response without changes confirms that
    /// the state is current.
    pub watch_wait: Duration,
    /// Age of another instance's data above which the store is read instead.
    pub max_source_age: Duration,
}

impl Default for ReadLimits {
    fn default() -> Self {
        Self {
            watch_wait: Duration::from_millis(1_000),
            max_source_age: Duration::from_millis(2_760),
        }
    }
}

/// Wait of a watch on a store that failed before, so that its recovery is noticed at once.
const RECOVERY_WATCH_WAIT: Duration = Duration::from_millis(1);

/// Time that another instance may wait for changes before it responds. Each request also reports
/// what this instance admitted, so the wait bounds how often it reports.
const POLL_WAIT: Duration = Duration::from_millis(400);

/// Wait of an instance that look-ups do not list: it has no traffic to report, and changes end the
/// wait early.
const UNLISTED_POLL_WAIT: Duration = Duration::from_millis(1_000);

/// Longest wait for a relay that has not listed the items itself.
const FULL_POLL_WAIT: Duration = Duration::from_millis(2_500);

/// Time for which the store is read directly after a relay failed.
const RELAY_BACKOFF: Duration = Duration::from_secs(3);

/// Consecutive failures of the store after which other instances are used. One closed connection is
/// not enough: if all connections of all instances close at once, instances that poll each other
/// would all wait for changes that none of them fetches from the store.
const FALLBACK_THRESHOLD: u32 = 2;

/// Time for which other instances are used before the store is tried again.
const FALLBACK_DURATION: Duration = Duration::from_secs(3);

/// Instances that can be read from in place of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadSources {
    /// Relay for this instance; `None` if there are none or it is one itself.
    pub relay: Option<SocketAddr>,
    /// Relay from which this instance gets all items at its start; `None` if it lists them itself.
    pub listing_relay: Option<SocketAddr>,
    /// Other instances, in the order in which they are tried while the store fails.
    pub others: Vec<SocketAddr>,
    /// Whether look-ups list this instance.
    pub is_listed: bool,
}

/// Next read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Read {
    /// List the instances' entries, from which the relays follow.
    ListMembers,
    /// List all items of the store.
    List,
    /// Watch the store for changes after a revision.
    Watch {
        /// Revision up to which the items are known.
        after: u64,
        /// Time to wait for a change.
        wait: Duration,
    },
    /// Poll another instance for changes after a revision.
    Poll {
        /// Address of the instance.
        instance: SocketAddr,
        /// Revision up to which the items are known; 0 requests all items.
        after: u64,
        /// Time to wait for a change.
        wait: Duration,
    },
}

/// Decides where an instance reads next, from what became of its reads so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadSchedule {
    limits: ReadLimits,
    /// Revision up to which the items are known; `None` before the first listing and after the
    /// store has dropped its history.
    revision: Option<u64>,
    /// Whether the instances' entries have been listed.
    knows_members: bool,
    /// Time until which no relay is polled, because one failed.
    relay_backoff_until: MonoTime,
    /// Failed polls so far; the next one goes to another instance after each failure.
    failed_polls: usize,
    /// Consecutive failures of the store.
    store_failures: u32,
    /// Time until which other instances are used in place of the store.
    fallback_until: MonoTime,
    is_store_lost: bool,
}

impl ReadSchedule {
    /// Creates the schedule of an instance that has read nothing yet.
    #[must_use]
    pub fn new(limits: ReadLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Returns the time limits.
    #[must_use]
    pub fn limits(&self) -> ReadLimits {
        self.limits
    }

    /// Returns the next read.
    #[must_use]
    pub fn next(&self, sources: &ReadSources, now: MonoTime) -> Read {
        let wait = if sources.is_listed {
            POLL_WAIT
        } else {
            UNLISTED_POLL_WAIT
        };
        let may_poll_relay = self.relay_backoff_until.is_past(now);
        let Some(after) = self.revision else {
            let relay = sources.listing_relay.filter(|_| may_poll_relay);
            return match relay {
                _ if !self.knows_members => Read::ListMembers,
                Some(instance) => Read::Poll {
                    instance,
                    after: 0,
                    wait: FULL_POLL_WAIT,
                },
                None => Read::List,
            };
        };
        let relay = sources.relay.filter(|_| may_poll_relay);
        match relay.or_else(|| self.fallback(sources, now)) {
            Some(instance) => Read::Poll {
                instance,
                after,
                wait,
            },
            None if self.is_store_lost => Read::Watch {
                after,
                wait: RECOVERY_WATCH_WAIT,
            },
            None => Read::Watch {
                after,
                wait: self.limits.watch_wait,
            },
        }
    }

    /// Returns the instance to poll while other instances are used in place of the store.
    fn fallback(&self, sources: &ReadSources, now: MonoTime) -> Option<SocketAddr> {
        let count = sources.others.len();
        let is_active = !self.fallback_until.is_past(now) && count > 0;
        is_active.then(|| sources.others[self.failed_polls % count])
    }

    /// Records that the instances' entries have been listed.
    pub fn on_members_listed(&mut self) {
        self.knows_members = true;
    }

    /// Records that the store's items are known up to a revision. Returns whether the store had
    /// failed before.
    pub fn on_store_read(&mut self, revision: u64) -> bool {
        self.revision = Some(revision);
        self.on_store_response()
    }

    /// Records a response of the store, or of a relay that stands for it. Returns whether the store
    /// had failed before.
    pub fn on_store_response(&mut self) -> bool {
        self.store_failures = 0;
        std::mem::take(&mut self.is_store_lost)
    }

    /// Records the revision that another instance reported to know.
    pub fn on_poll(&mut self, revision: u64) {
        self.revision = Some(self.revision.unwrap_or_default().max(revision));
    }

    /// Records that the store rejected a call or did not respond. Returns whether it had responded
    /// before.
    pub fn on_store_failure(&mut self, now: MonoTime) -> bool {
        self.store_failures += 1;
        if self.store_failures >= FALLBACK_THRESHOLD {
            self.fallback_until = now.after(FALLBACK_DURATION);
        }
        !std::mem::replace(&mut self.is_store_lost, true)
    }

    /// Records that the store has dropped the changes after the known revision.
    pub fn on_history_dropped(&mut self) {
        self.revision = None;
    }

    /// Records that another instance did not respond in time, or had no fresh data either. That ends
    /// the fallback.
    pub fn on_poll_failure(&mut self, now: MonoTime) {
        self.failed_polls += 1;
        self.relay_backoff_until = now.after(RELAY_BACKOFF);
        self.fallback_until = MonoTime::default();
    }
}
