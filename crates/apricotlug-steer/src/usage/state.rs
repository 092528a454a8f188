//! State of the usage reports of one instance.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use apricotlug_config::{SiteSettings, SiteUsage};
use apricotlug_edge::Clock;
use apricotlug_model::BootTime;
use apricotlug_policy::steer::{
    Collection, DutyHolder, DutyInstance, DutyRecord, DutyTerms, Outbox, UsageCounts, WallAnchor,
    WindowCounts, window_end, window_number,
};

use crate::freshness::StoreFreshness;

/// Parts of the time until a report is due: after the first, instances close a window in which
/// requests are still in flight; after the second, the holder waits for no known instance any more.
const CLOSE_PART: u32 = 3;
const SETTLE_PART: u32 = 2;

/// Time after a take-over for which the new holder waits for the counts of all instances.
const TAKE_OVER_WAIT: Duration = Duration::from_millis(1_500);

/// Time for which a closed window may be on its way. Later than that after the first part, the holder
/// waits for no instance that is not known any more.
const SEND_SLACK: Duration = Duration::from_millis(500);

/// Windows after the present one that are taken: the sender's clock may be ahead.
const MAX_WINDOWS_AHEAD: u64 = 2;

/// State of the usage reports, locked for one step at a time.
#[derive(Debug)]
pub struct Usage {
    /// Settings as of the start.
    pub settings: SiteUsage,
    inner: Mutex<UsageState>,
}

/// Counts of this instance, and its part in the duty.
#[derive(Debug)]
pub struct UsageState {
    /// Wall-clock time.
    pub anchor: WallAnchor,
    /// Counts of windows that are not closed.
    pub counts: UsageCounts,
    /// Closed windows that are not settled.
    pub outbox: Outbox,
    /// Who holds the duty.
    pub holder: DutyHolder,
    /// Counts of all instances, where this one holds the duty.
    pub collection: Collection,
    window: Duration,
    close_limit: Duration,
    settle_limit: Duration,
}

impl Usage {
    /// Creates the state of a new run; `None` where the settings want no reports.
    #[must_use]
    pub fn new(site: &SiteSettings, run: u64, clock: &Clock) -> Option<Self> {
        let settings = site.usage?;
        let ms = |ms: u32| Duration::from_millis(ms.into());
        let window = ms(settings.window_ms);
        let terms = DutyTerms::new(ms(settings.lease_ms), ms(settings.thaw_slack_ms), window);
        let own = DutyInstance {
            name: site.instance.clone(),
            run,
            peer: site.listen.peer,
        };
        let now = clock.read_wall();
        let mut anchor = WallAnchor::default();
        anchor.on_reading(StoreFreshness::now(), now);
        let late = ms(settings.late_ms);
        let state = UsageState {
            anchor,
            counts: UsageCounts::new(window, late / CLOSE_PART, now),
            outbox: Outbox::default(),
            holder: DutyHolder::new(own, terms),
            collection: Collection::default(),
            window,
            close_limit: late / CLOSE_PART,
            settle_limit: late / SETTLE_PART,
        };
        Some(Self {
            settings,
            inner: Mutex::new(state),
        })
    }

    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, UsageState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a change of the duty's record in the store; `None` where it was removed.
    pub fn on_record(&self, record: Option<DutyRecord>, revision: u64) {
        let mut state = self.lock();
        let before = state.holder.record().map(|record| record.fence);
        if let Some(record) = record
            .as_ref()
            .filter(|record| Some(record.fence) != before)
        {
            tracing::info!(
                kind = "duty_holder",
                holder = record.holder.name,
                fence = record.fence,
                window = record.last_window,
                revision
            );
        }
        state
            .holder
            .on_record(record, revision, StoreFreshness::now());
    }

    /// Records that the store has lost recent writes.
    pub fn on_store_went_back(&self) {
        let now = StoreFreshness::now();
        let mut state = self.lock();
        let wall = state.anchor.unix(now);
        let fence = state.holder.fence(now);
        tracing::warn!(kind = "duty_store_went_back", fence);
        state.holder.on_store_went_back(now, wall);
    }

    /// Returns the number of this instance's hold of the duty and for how long it has had it; both
    /// zero where it does not hold it.
    #[must_use]
    pub fn held(&self) -> (u64, Duration) {
        let state = self.lock();
        let now = StoreFreshness::now();
        let fence = state.holder.fence(now).unwrap_or_default();
        let taken_at = state.holder.taken_at().unwrap_or(now);
        (fence, now.since(taken_at))
    }

    /// Takes counts of another instance where the duty's record names this one. Returns the numbers of
    /// the windows that it now has. A hold that is over may go on when the store is back.
    pub fn on_windows(&self, run: u64, windows: Vec<WindowCounts>) -> Vec<u64> {
        let mut state = self.lock();
        if !state.holder.is_named() {
            return Vec::new();
        }
        let settled = state.holder.record().map(|record| record.last_window);
        let wall = state.anchor.unix(StoreFreshness::now());
        let newest = window_number(wall, state.window) + MAX_WINDOWS_AHEAD;
        let open = windows
            .into_iter()
            .filter(|window| Some(window.number) > settled && window.number <= newest);
        let mut confirmed = Vec::new();
        for window in open {
            let number = window.number;
            if state.collection.receive(run, window) {
                confirmed.push(number);
            }
        }
        confirmed
    }
}

impl UsageState {
    /// Returns the report of the next window with the number of runs that are missing from it, once
    /// all of `runs` have sent their counts or are waited for no longer.
    pub fn ready(&self, runs: &[u64], now: BootTime) -> Option<(WindowCounts, usize)> {
        let number = self.holder.next_window()?;
        let wall = self.anchor.unix(now);
        let end = window_end(number, self.window);
        if !end.is_past(wall) {
            return None;
        }
        let missing = self.collection.missing(number, runs);
        let taken_at = self.holder.taken_at()?;
        let age = wall.since(end);
        let may_end = now.since(taken_at) >= TAKE_OVER_WAIT;
        let is_over = may_end && age >= self.settle_limit;
        let is_complete = missing == 0
            && (age >= self.close_limit + SEND_SLACK
                || self.collection.missing_recent(number) == 0);
        (is_complete || is_over).then(|| (self.collection.total(number), missing))
    }

    /// Returns how long ago a window ended.
    pub fn age(&self, number: u64, now: BootTime) -> Duration {
        self.anchor.unix(now).since(window_end(number, self.window))
    }
}
