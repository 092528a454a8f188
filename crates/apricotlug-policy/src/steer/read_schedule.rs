//! Where an instance reads the store's items next: at the store, from a relay or from another
//! instance.
//!
//! Each way may fail, or bring old data, and each failure costs time. In sum that may not exceed the
//! time within which a confirmed change has to be in force, so all limits follow from it:
//!
//! | of that time | part |
//! |---|---|
//! | a watch of the store, or a poll of another instance, is waiting | 0.4 |
//! | its response is overdue, and no longer waited for | 0.2 |
//! | the store is connected to, and a watch returns what was missed | the rest |
//!
//! An instance passes on what it read from the store itself, and only while its next read is not
//! overdue. What it got from another one it keeps to itself: instances that read from each other would
//! take each other for current, though none of them reads the store.

use std::{net::SocketAddr, time::Duration};

use apricotlug_model::{MonoTime, StoreVersion};

/// Longest time that a watch of the store waits for changes.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(1_000);

/// Fraction of the bound that a read may wait for changes.
const WAIT_FRACTION: f64 = 0.4;

/// Fraction of the bound for which a response may be overdue, and its longest value.
const SLACK_FRACTION: f64 = 0.2;
const MAX_SLACK: Duration = Duration::from_millis(500);

/// Time limits of reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadLimits {
    /// Longest time that a watch of the store waits for changes. A response without changes confirms
    /// that the state is current.
    pub watch_wait: Duration,
    /// Longest time that another instance may wait for changes before it responds.
    pub poll_wait: Duration,
    /// Time by which a read may be overdue before it counts as failed.
    pub slack: Duration,
    /// Age of another instance's data above which it is not used, whatever that one says of it.
    pub max_source_age: Duration,
}

impl ReadLimits {
    /// Returns the limits by which a confirmed change is in force within a time.
    #[must_use]
    pub fn new(apply: Duration) -> Self {
        let wait = apply.mul_f64(WAIT_FRACTION);
        Self {
            watch_wait: wait.min(MAX_WATCH_WAIT),
            poll_wait: wait,
            slack: apply.mul_f64(SLACK_FRACTION).min(MAX_SLACK),
            max_source_age: apply,
        }
    }
}

/// Wait of a watch after the store has failed, after another instance has been read from, or after a
/// part of the changes: whether the store is within reach, and what was missed, shows at once.
const FIRST_WATCH_WAIT: Duration = Duration::from_millis(1);

/// Longest time that another instance may wait for changes before it responds. Each request also
/// reports what this instance admitted, so the wait bounds how often it reports.
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

/// Time for which other instances are used before the store is tried again. An answer of the store to
/// any of the reads ends it.
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
    /// Watch the store for changes after a version.
    Watch {
        /// Version up to which the items are known.
        after: StoreVersion,
        /// Time to wait for a change.
        wait: Duration,
    },
    /// Poll another instance for changes after a version.
    Poll {
        /// Address of the instance.
        instance: SocketAddr,
        /// Version up to which the items are known; revision 0 requests all items.
        after: StoreVersion,
        /// Time to wait for a change.
        wait: Duration,
        /// Time after which the poll counts as failed.
        time_limit: Duration,
    },
}

/// Decides where an instance reads next, from what became of its reads so far.
#[derive(Clone, Copy, Debug)]
pub struct ReadSchedule {
    limits: ReadLimits,
    /// Version up to which the items are known; `None` before the first read.
    version: Option<StoreVersion>,
    /// Whether the store has dropped changes after that version, so that it must be listed.
    is_history_gone: bool,
    /// Whether the store may have had more changes when it last responded to a watch.
    may_have_more: bool,
    /// Newest era of the store that was seen in any response.
    newest_era: u64,
    /// Whether the last successful read was one of the store itself, and none has failed since.
    is_first_hand: bool,
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
            version: None,
            is_history_gone: false,
            may_have_more: false,
            newest_era: 0,
            is_first_hand: false,
            knows_members: false,
            relay_backoff_until: MonoTime::default(),
            failed_polls: 0,
            store_failures: 0,
            fallback_until: MonoTime::default(),
            is_store_lost: false,
        }
    }

    /// Replaces the time limits, which apply to reads from then on.
    pub fn set_limits(&mut self, limits: ReadLimits) {
        self.limits = limits;
    }

    /// Returns the time limits.
    #[must_use]
    pub fn limits(&self) -> ReadLimits {
        self.limits
    }

    /// Returns the next read.
    #[must_use]
    pub fn next(&self, sources: &ReadSources, now: MonoTime) -> Read {
        let may_poll_relay = self.relay_backoff_until.is_past(now);
        let fallback = self.fallback(sources, now);
        let Some(after) = self.version else {
            let relay = sources.listing_relay.filter(|_| may_poll_relay);
            return match (relay, fallback) {
                _ if !self.knows_members => Read::ListMembers,
                (Some(relay), _) => self.poll(relay, StoreVersion::default(), FULL_POLL_WAIT),
                (None, Some(instance)) => self.poll(instance, StoreVersion::default(), POLL_WAIT),
                (None, None) => Read::List,
            };
        };
        let relay = sources.relay.filter(|_| may_poll_relay);
        if let Some(instance) = relay.or(fallback) {
            let wait = if sources.is_listed {
                POLL_WAIT
            } else {
                UNLISTED_POLL_WAIT
            };
            return self.poll(instance, after, wait.min(self.limits.poll_wait));
        }
        if self.is_history_gone || after.era < self.newest_era {
            return Read::List;
        }
        let wait = if self.is_store_lost || !self.is_first_hand || self.may_have_more {
            FIRST_WATCH_WAIT
        } else {
            self.limits.watch_wait
        };
        Read::Watch { after, wait }
    }

    fn poll(&self, instance: SocketAddr, after: StoreVersion, wait: Duration) -> Read {
        Read::Poll {
            instance,
            after,
            wait,
            time_limit: wait + self.limits.slack,
        }
    }

    /// Returns for how long from its start a read lets this instance pass its state on as current:
    /// until it is overdue.
    #[must_use]
    pub fn passes_on_for(&self, read: Read) -> Duration {
        match read {
            _ if !self.is_first_hand => Duration::ZERO,
            Read::Watch { wait, .. } => wait + self.limits.slack,
            Read::List | Read::ListMembers => self.limits.slack,
            Read::Poll { .. } => Duration::ZERO,
        }
    }

    /// Returns the instance to poll while other instances are used in place of the store.
    fn fallback(&self, sources: &ReadSources, now: MonoTime) -> Option<SocketAddr> {
        let count = sources.others.len();
        let is_active = !self.fallback_until.is_past(now) && count > 0;
        is_active.then(|| sources.others[self.failed_polls % count])
    }

    /// Records that the instances' entries have been listed. Returns whether the store had failed
    /// before.
    pub fn on_members_listed(&mut self) -> bool {
        self.knows_members = true;
        self.on_store_response()
    }

    /// Records that the store's items are known up to a version. Returns whether the store had
    /// failed before.
    pub fn on_store_read(&mut self, version: StoreVersion) -> bool {
        self.is_first_hand = true;
        self.may_have_more = false;
        self.on_known(version)
    }

    /// Records that the store's items are known up to a version, after which the store may have had
    /// more changes already: as of when they are known does not change. Returns whether the store
    /// had failed before.
    pub fn on_part_read(&mut self, version: StoreVersion) -> bool {
        self.may_have_more = true;
        self.on_known(version)
    }

    fn on_known(&mut self, version: StoreVersion) -> bool {
        self.version = Some(version);
        self.on_era(version.era);
        self.is_history_gone = false;
        self.on_store_response()
    }

    /// Records a response of the store, or of a relay that stands for it, which ends the fallback.
    /// Returns whether the store had failed before.
    pub fn on_store_response(&mut self) -> bool {
        self.store_failures = 0;
        self.fallback_until = MonoTime::default();
        std::mem::take(&mut self.is_store_lost)
    }

    /// Records an era that was seen in a response of the store, or that another instance knows.
    /// While what is known is of an older one, the store is listed, not watched.
    pub fn on_era(&mut self, era: u64) {
        self.newest_era = self.newest_era.max(era);
    }

    /// Records the version that another instance reported to know.
    pub fn on_poll(&mut self, version: StoreVersion) {
        self.is_first_hand = false;
        self.on_era(version.era);
        if self.version.is_none_or(|known| known < version) {
            self.version = Some(version);
            // The store may still have what comes after.
            self.is_history_gone = false;
        }
    }

    /// Records that the store rejected a call or did not respond. Returns whether it had responded
    /// before.
    pub fn on_store_failure(&mut self, now: MonoTime) -> bool {
        self.is_first_hand = false;
        self.store_failures += 1;
        if self.store_failures >= FALLBACK_THRESHOLD {
            self.fallback_until = now.after(FALLBACK_DURATION);
        }
        !std::mem::replace(&mut self.is_store_lost, true)
    }

    /// Records that the store has dropped changes after the known version. What is known stays
    /// known: other instances can pass on what came after it.
    pub fn on_history_dropped(&mut self) {
        self.is_history_gone = true;
    }

    /// Records that another instance did not respond in time, or had no fresh data either. That ends
    /// the fallback.
    pub fn on_poll_failure(&mut self, now: MonoTime) {
        self.failed_polls += 1;
        self.relay_backoff_until = now.after(RELAY_BACKOFF);
        self.fallback_until = MonoTime::default();
    }
}
