//! Who holds a duty: one record in the store, which its holder writes again before its hold ends and
//! another instance takes after it has not changed for longer than that.
//!
//! A hold counts from when its write was requested, on a clock that goes on while the machine is
//! suspended; a take-over counts from when a change was seen, which is later. Each write is on
//! condition of the record's revision. Where its outcome is not known, the record is read before
//! anything else is done.

use std::time::Duration;

use apricotlug_model::{BootTime, UnixTime};

use super::record::{DutyInstance, DutyRecord, DutyTerms, WindowCounts, window_number};
use crate::steer::placement::object_hash;

/// Additional wait of each next instance before it takes a duty.
const RANK_DELAY: Duration = Duration::from_millis(300);

/// Largest rank that adds to the wait.
const MAX_RANK: u32 = 5;

/// Most reports that wait in the record for being sent.
const MAX_REPORTS: usize = 8;

/// Windows before the present one up to which a new holder goes back.
const MAX_WINDOWS_BACK: u64 = 16;

/// Bits of a fence below those of the time, which differ by instance.
const TAG_BITS: u32 = 10;

/// Write of the record on condition of its revision; 0 where it must not exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyWrite {
    /// Record to write.
    pub record: DutyRecord,
    /// Revision that the record must have.
    pub expected: u64,
}

/// What an instance does next about a duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyStep {
    /// Nothing.
    Wait,
    /// Reads the record from the store, since the outcome of a write is not known.
    Read,
    /// Writes the record.
    Write(DutyWrite),
}

#[derive(Clone, Debug)]
struct Seen {
    record: Option<DutyRecord>,
    revision: u64,
    changed_at: BootTime,
}

#[derive(Clone, Debug)]
struct Held {
    record: DutyRecord,
    revision: u64,
    taken_at: BootTime,
    written_at: BootTime,
    until: BootTime,
    sent: Vec<u64>,
}

#[derive(Clone, Debug)]
struct Requested {
    record: DutyRecord,
    at: BootTime,
}

/// One instance's view of a duty, and its hold if it has one.
#[derive(Clone, Debug)]
pub struct DutyHolder {
    own: DutyInstance,
    terms: DutyTerms,
    seen: Option<Seen>,
    held: Option<Held>,
    requested: Option<Requested>,
    is_uncertain: bool,
    /// Revision that the last take-over was refused for.
    conflict: Option<u64>,
    has_read: bool,
    /// Largest numbers ever seen. They stay when the store loses the writes that contained them.
    top_fence: u64,
    top_window: u64,
}

impl DutyHolder {
    /// Creates the view of an instance that has read nothing.
    #[must_use]
    pub fn new(own: DutyInstance, terms: DutyTerms) -> Self {
        Self {
            own,
            terms,
            seen: None,
            held: None,
            requested: None,
            is_uncertain: false,
            conflict: None,
            has_read: false,
            top_fence: 0,
            top_window: 0,
        }
    }

    /// Notes that the store's items have been read. Without a record among them, the duty counts as
    /// free from now on.
    ///
    /// Reports of windows that ended before the first read may be among writes that the store has
    /// lost, so that this instance makes none for them.
    pub fn on_items_read(&mut self, now: BootTime, wall: UnixTime) {
        if !self.has_read {
            self.has_read = true;
            self.rule_out_ended_windows(wall);
        }
        if self.seen.is_none() {
            self.set_seen(None, 0, now);
        }
    }

    fn rule_out_ended_windows(&mut self, wall: UnixTime) {
        let current = window_number(wall, self.terms.window);
        self.top_window = self.top_window.max(current.saturating_sub(1));
    }

    /// Records a change of the record that was read with the store's items; `None` where it was
    /// removed. A holder goes by its own writes until another instance's is seen.
    pub fn on_record(&mut self, record: Option<DutyRecord>, revision: u64, now: BootTime) {
        if let Some(record) = &record {
            self.top_fence = self.top_fence.max(record.fence);
            self.top_window = self.top_window.max(record.last_window);
        }
        if let Some(held) = &self.held {
            let is_other = record
                .as_ref()
                .is_some_and(|record| record.fence > held.record.fence);
            if !is_other {
                return;
            }
            self.held = None;
        }
        self.set_seen(record, revision, now);
    }

    /// Records that the store has lost recent writes at the latest now: holds and reports may be among
    /// them. A hold ends, every number up to now counts as given out, and every window up to now as
    /// reported. Whoever takes the duty next waits the whole time.
    pub fn on_store_went_back(&mut self, now: BootTime, wall: UnixTime) {
        self.held = None;
        self.requested = None;
        self.is_uncertain = false;
        self.top_fence = self.top_fence.max((wall.0 / 1_000) << TAG_BITS);
        self.rule_out_ended_windows(wall);
        if let Some(seen) = &mut self.seen {
            seen.changed_at = now;
        }
    }

    fn set_seen(&mut self, record: Option<DutyRecord>, revision: u64, now: BootTime) {
        let is_same = self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.revision == revision && seen.record == record);
        if !is_same {
            self.seen = Some(Seen {
                record,
                revision,
                changed_at: now,
            });
        }
    }

    /// Ends a hold whose time is over. Returns its number if it ended now.
    pub fn expire(&mut self, now: BootTime) -> Option<u64> {
        let held = self.held.take_if(|held| held.until.is_past(now))?;
        self.set_seen(Some(held.record.clone()), held.revision, now);
        Some(held.record.fence)
    }

    /// Returns the number of this instance's hold; `None` unless it holds the duty at `now`.
    #[must_use]
    pub fn fence(&self, now: BootTime) -> Option<u64> {
        let held = self.held.as_ref()?;
        (!held.until.is_past(now)).then_some(held.record.fence)
    }

    /// Returns whether the last known record names this instance as the holder, whose hold may be over.
    #[must_use]
    pub fn is_named(&self) -> bool {
        let record = self.record().filter(|record| !record.is_released);
        record.is_some_and(|record| record.holder.run == self.own.run)
    }

    /// Returns when this instance took the duty; `None` unless it holds it.
    #[must_use]
    pub fn taken_at(&self) -> Option<BootTime> {
        self.held.as_ref().map(|held| held.taken_at)
    }

    /// Returns the last record that is known.
    #[must_use]
    pub fn record(&self) -> Option<&DutyRecord> {
        match &self.held {
            Some(held) => Some(&held.record),
            None => self.seen.as_ref()?.record.as_ref(),
        }
    }

    /// Returns the next window that this instance has to settle as the holder.
    #[must_use]
    pub fn next_window(&self) -> Option<u64> {
        self.held.as_ref().map(|held| held.record.last_window + 1)
    }

    /// Returns what to do next. `rank` is the number of instances that should take the duty before
    /// this one, `None` where it should not take it; `ready` the report of the next window, if the
    /// counts for it are there.
    #[must_use]
    pub fn next(
        &self,
        now: BootTime,
        wall: UnixTime,
        rank: Option<u32>,
        ready: Option<WindowCounts>,
    ) -> DutyStep {
        if self.is_uncertain {
            return DutyStep::Read;
        }
        let write = match &self.held {
            Some(held) if held.until.is_past(now) => None,
            Some(held) => self.renewal(held, now, ready),
            None => rank.and_then(|rank| self.take_over(now, wall, rank)),
        };
        write.map_or(DutyStep::Wait, DutyStep::Write)
    }

    fn renewal(
        &self,
        held: &Held,
        now: BootTime,
        ready: Option<WindowCounts>,
    ) -> Option<DutyWrite> {
        if ready.is_none() && now.since(held.written_at) < self.terms.renew {
            return None;
        }
        let mut record = held.following_record();
        if let Some(report) = ready.filter(|report| report.number > record.last_window) {
            record.last_window = report.number;
            record.reports.push(report);
            let excess = record.reports.len().saturating_sub(MAX_REPORTS);
            record.reports.drain(..excess);
        }
        Some(DutyWrite {
            record,
            expected: held.revision,
        })
    }

    fn take_over(&self, now: BootTime, wall: UnixTime, rank: u32) -> Option<DutyWrite> {
        let seen = self.seen.as_ref()?;
        let wait = match &seen.record {
            Some(record) if record.is_released => self.terms.take_released,
            Some(_) => self.terms.take_over,
            None => self.terms.take_released,
        };
        // Whoever knows the windows since the last settled one goes first.
        let would_skip = seen
            .record
            .as_ref()
            .is_some_and(|record| record.last_window < self.top_window);
        let places = rank.min(MAX_RANK) + if would_skip { MAX_RANK + 1 } else { 0 };
        let wait = wait + RANK_DELAY * places;
        if now.since(seen.changed_at) < wait {
            return None;
        }
        let current = window_number(wall, self.terms.window);
        let (last_window, reports) = match &seen.record {
            Some(record) => (record.last_window, record.reports.clone()),
            None => (0, Vec::new()),
        };
        let oldest = current.saturating_sub(MAX_WINDOWS_BACK);
        let record = DutyRecord {
            holder: self.own.clone(),
            fence: self.next_fence(wall),
            renewals: 0,
            is_released: false,
            last_window: last_window.max(self.top_window).max(oldest),
            reports,
        };
        Some(DutyWrite {
            record,
            expected: seen.revision,
        })
    }

    /// Returns a number larger than all that were ever seen. It contains the time, so that it is also
    /// larger than numbers that the store has lost and no running instance has seen.
    fn next_fence(&self, wall: UnixTime) -> u64 {
        let tag_range = 1 << TAG_BITS;
        let tag = object_hash(&self.own.name, &self.own.run.to_string()) % tag_range;
        let tick = (wall.0 / 1_000).max(self.top_fence / tag_range + 1);
        tick * tag_range + tag
    }

    /// Returns the write by which this instance gives the duty up; `None` unless it holds it.
    #[must_use]
    pub fn release(&self) -> Option<DutyWrite> {
        let held = self.held.as_ref()?;
        let mut record = held.following_record();
        record.is_released = true;
        Some(DutyWrite {
            record,
            expected: held.revision,
        })
    }

    /// Notes that a write has been requested at `now`.
    pub fn on_requested(&mut self, record: DutyRecord, now: BootTime) {
        self.requested = Some(Requested { record, at: now });
    }

    /// Records that the requested write was done.
    pub fn on_written(&mut self, revision: u64, now: BootTime) {
        if let Some(requested) = self.requested.take() {
            self.adopt(requested.record, revision, requested.at, now);
        }
    }

    /// Records that the requested write was not done, since the record has another revision. That
    /// one may be an own write whose response was lost.
    pub fn on_conflict(&mut self, now: BootTime) {
        self.is_uncertain = self.held.is_some();
        if let Some(seen) = self.seen.as_mut().filter(|_| self.held.is_none()) {
            seen.changed_at = now;
            self.requested = None;
            // The change that it conflicts with has not come by the watch, and won't.
            self.is_uncertain = self.conflict == Some(seen.revision);
            self.conflict = Some(seen.revision);
        }
    }

    /// Records that it is not known whether the requested write was done.
    pub fn on_unknown(&mut self) {
        self.is_uncertain = true;
    }

    /// Records the record as read from the store after a write whose outcome was not known.
    pub fn on_read(&mut self, record: Option<DutyRecord>, revision: u64, now: BootTime) {
        self.is_uncertain = false;
        let requested = self.requested.take();
        let Some(record) = record else {
            self.held = None;
            self.set_seen(None, 0, now);
            return;
        };
        if let Some(requested) = requested.filter(|requested| requested.record == record) {
            self.adopt(record, revision, requested.at, now);
            return;
        }
        match &mut self.held {
            // The write before the last one, or none at all: the hold goes on as it was.
            Some(held) if held.record.fence == record.fence => {
                held.revision = revision;
                held.record = record;
            }
            _ => {
                self.held = None;
                self.top_fence = self.top_fence.max(record.fence);
                self.top_window = self.top_window.max(record.last_window);
                self.set_seen(Some(record), revision, now);
            }
        }
    }

    /// Takes a record over that this instance wrote, by a write that it requested at `asked_at`.
    fn adopt(&mut self, record: DutyRecord, revision: u64, asked_at: BootTime, now: BootTime) {
        self.top_fence = self.top_fence.max(record.fence);
        self.top_window = self.top_window.max(record.last_window);
        self.set_seen(Some(record.clone()), revision, now);
        if record.is_released {
            self.held = None;
            return;
        }
        let before = self
            .held
            .take()
            .filter(|held| held.record.fence == record.fence);
        let sent = before.as_ref().map(|held| held.sent.clone());
        let mut sent = sent.unwrap_or_default();
        sent.retain(|number| record.reports.iter().any(|report| report.number == *number));
        self.held = Some(Held {
            record,
            revision,
            taken_at: before.as_ref().map_or(now, |held| held.taken_at),
            written_at: asked_at,
            until: asked_at.after(self.terms.hold),
            sent,
        });
    }

    /// Returns the number of the hold and the oldest report that is to be sent now; `None` unless
    /// this instance holds the duty for long enough and knows that its last write was done.
    #[must_use]
    pub fn due_report(&self, now: BootTime) -> Option<(u64, WindowCounts)> {
        let held = self.held.as_ref().filter(|_| !self.is_uncertain)?;
        if held.until.since(now) < self.terms.sending {
            return None;
        }
        let unsent = held.record.reports.iter();
        let mut unsent = unsent.filter(|report| !held.sent.contains(&report.number));
        Some((held.record.fence, unsent.next()?.clone()))
    }

    /// Records that a report was accepted; the next write takes it out of the record.
    pub fn on_report_accepted(&mut self, number: u64) {
        if let Some(held) = &mut self.held {
            held.sent.push(number);
        }
    }
}

impl Held {
    /// Returns the record for the next write, without the reports that were sent.
    fn following_record(&self) -> DutyRecord {
        let mut record = self.record.clone();
        record.renewals += 1;
        record
            .reports
            .retain(|report| !self.sent.contains(&report.number));
        record
    }
}
