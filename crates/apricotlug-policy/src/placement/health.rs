//! One endpoint's health and load as this instance sees them.

use std::time::Duration;

use apricotlug_model::{EndpointKey, MonoTime, RegionKey};

use crate::{
    limit::DelayedLimit,
    placement::request::{LoadReport, Outcome},
};

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f32 = 0.2;
/// Time in which an endpoint's latency and failure averages fall to half without new samples.
const AVERAGE_HALF_LIFE: Duration = Duration::from_secs(10);
/// Factor on the score of an endpoint that only fails, less one.
const FAILURE_PENALTY: f32 = 20.0;
/// Factor on the score of an endpoint that calls itself unhealthy while own outcomes are absent.
const UNHEALTHY_REPORT_PENALTY: f32 = 3.0;
/// Failure average from which an endpoint may be ejected.
const EJECT_FAILURE_RATE: f32 = 0.5;
/// Failures in a row from which an endpoint that answers may be ejected.
const EJECT_ERRORS_IN_ROW: u8 = 3;
/// Failures in a row from which an endpoint that doesn't answer may be ejected.
const EJECT_UNREACHABLE_IN_ROW: u8 = 2;
/// First ejection's duration; each further one takes twice as long.
const EJECT_BASE: Duration = Duration::from_secs(1);
/// Longest ejection.
const EJECT_MAX: Duration = Duration::from_secs(60);
/// Time after an ejection in which another one counts as a further one.
const EJECT_MEMORY: Duration = Duration::from_secs(60);
/// Time in which a cold endpoint comes up to its full share.
const SLOW_START: Duration = Duration::from_secs(10);
/// Part of its share that a cold endpoint starts with.
const SLOW_START_PART: f32 = 0.2;
/// Time without new work after the endpoint refused a request as not run.
const SHED_PAUSE: Duration = Duration::from_millis(50);
/// Latency assumed where nothing was measured, in microseconds.
pub(super) const ASSUMED_LATENCY_US: f32 = 10_000.0;

/// What made an endpoint look bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// It answers, but with errors or broken answers.
    Errors,
    /// It doesn't answer.
    Unreachable,
}

/// State of one endpoint.
#[derive(Clone, Debug)]
pub(super) struct EndpointState {
    /// Key in the last bundle that had the endpoint.
    pub(super) key: EndpointKey,
    /// Region where it stands.
    pub(super) region: RegionKey,
    /// Index of its version.
    pub(super) version: usize,
    /// Slots of this instance's share.
    pub(super) limit: DelayedLimit<u16, MonoTime>,
    /// Requests that this instance has placed and not settled.
    pub(super) outstanding: u16,
    /// Whether operators drain it.
    pub(super) is_draining: bool,
    /// Point at which it left the bundle.
    pub(super) removed_at: Option<MonoTime>,
    latency_us: f32,
    failure_rate: f32,
    sampled_at: MonoTime,
    failures_in_row: u8,
    cold_since: Option<MonoTime>,
    ejected_until: MonoTime,
    ejections: u8,
    fault: Option<Fault>,
    paused_until: MonoTime,
    report: Option<LoadReport>,
}

impl EndpointState {
    /// Returns the state of an endpoint that is cold from `now` on.
    pub(super) fn cold(key: EndpointKey, region: RegionKey, now: MonoTime) -> Self {
        Self {
            key,
            region,
            version: 0,
            limit: DelayedLimit::default(),
            outstanding: 0,
            is_draining: false,
            removed_at: None,
            latency_us: 0.0,
            failure_rate: 0.0,
            sampled_at: now,
            failures_in_row: 0,
            cold_since: Some(now),
            ejected_until: MonoTime::default(),
            ejections: 0,
            fault: None,
            paused_until: MonoTime::default(),
            report: None,
        }
    }

    /// Ends the slow start of an endpoint that serves other instances already.
    pub(super) fn skip_slow_start(&mut self) {
        self.cold_since = None;
    }

    /// Forgets what was learned, for an endpoint that came back under another address.
    pub(super) fn reset(&mut self, now: MonoTime) {
        *self = Self {
            version: self.version,
            limit: self.limit,
            outstanding: self.outstanding,
            ..Self::cold(self.key, self.region, now)
        };
    }

    /// Tells whether the endpoint takes no new work because it leaves.
    pub(super) fn is_leaving(&self) -> bool {
        self.is_draining || self.report.is_some_and(|report| report.draining)
    }

    /// Tells whether own outcomes speak against the endpoint.
    pub(super) fn fault(&self) -> Option<Fault> {
        self.fault
    }

    /// Tells whether own outcomes don't speak against the endpoint, ejected or not.
    pub(super) fn is_well(&self, now: MonoTime) -> bool {
        self.fault.is_none() && self.failure_rate * self.aging(now) < EJECT_FAILURE_RATE
    }

    /// Returns the end of the present ejection.
    pub(super) fn ejected_until(&self) -> MonoTime {
        self.ejected_until
    }

    /// Tells whether an ejection ended and no request has tested the endpoint since.
    pub(super) fn is_probe_due(&self, now: MonoTime) -> bool {
        self.fault.is_some() && self.ejected_until <= now && self.outstanding == 0
    }

    /// Tells whether a slot is free, whatever the endpoint's health.
    pub(super) fn has_free_slot(&self, now: MonoTime) -> bool {
        !self.is_leaving() && self.outstanding < self.open_slots(now) && self.paused_until <= now
    }

    /// Tells whether the endpoint may be chosen.
    pub(super) fn is_eligible(&self, now: MonoTime) -> bool {
        (self.fault.is_none() || self.is_probe_due(now)) && self.has_free_slot(now)
    }

    /// Returns the score; the lower of two is the better endpoint.
    pub(super) fn score(&self, typical_us: f32, now: MonoTime) -> f32 {
        if self.is_probe_due(now) {
            return 0.0;
        }
        let age = self.aging(now);
        let latency = match self.latency_us > 0.0 {
            true => self.latency_us * age,
            false => typical_us,
        };
        let share = f32::from(self.limit.at(now).max(1));
        let load = 1.0 + f32::from(self.outstanding) / share;
        let failure = 1.0 + FAILURE_PENALTY * self.failure_rate * age;
        latency * load * failure * self.report_factor(now)
    }

    /// Takes in how a request ended. Returns whether the endpoint now ought to be ejected.
    pub(super) fn settle(&mut self, outcome: Outcome, now: MonoTime) -> Option<Fault> {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.learn(outcome, now)
    }

    /// Takes in the outcome of a probe. An answer proves that an unreachable endpoint can be
    /// reached again, not that one with errors serves requests.
    pub(super) fn settle_probe(&mut self, outcome: Outcome, now: MonoTime) -> Option<Fault> {
        match (outcome, self.fault) {
            (
                Outcome::Answered {
                    server_error: false,
                    ..
                },
                Some(Fault::Unreachable),
            ) => {
                self.recover(now);
                None
            }
            (
                Outcome::Answered {
                    server_error: false,
                    ..
                },
                _,
            ) => None,
            _ => self.learn(outcome, now),
        }
    }

    fn learn(&mut self, outcome: Outcome, now: MonoTime) -> Option<Fault> {
        match outcome {
            Outcome::Answered {
                latency,
                server_error: false,
            } => {
                self.succeed(latency, now);
                None
            }
            Outcome::Answered { .. } | Outcome::Broken => self.fail(Fault::Errors, now),
            Outcome::ConnectFailed | Outcome::TimedOut => self.fail(Fault::Unreachable, now),
            Outcome::Shed => {
                self.paused_until = now.after(SHED_PAUSE);
                None
            }
            Outcome::Cancelled => None,
        }
    }

    /// Ejects the endpoint, for `longest` at most.
    pub(super) fn eject(&mut self, fault: Fault, longest: Duration, now: MonoTime) {
        if self.ejected_until.after(EJECT_MEMORY) < now {
            self.ejections = 0;
        }
        let span = EJECT_BASE * 2u32.saturating_pow(self.ejections.into());
        self.ejected_until = now.after(span.min(EJECT_MAX).min(longest));
        self.ejections = self.ejections.saturating_add(1).min(16);
        self.fault = Some(fault);
    }

    /// Takes in the server's word on its own state.
    pub(super) fn set_report(&mut self, report: LoadReport) {
        self.report = Some(report);
    }

    fn open_slots(&self, now: MonoTime) -> u16 {
        let slots = self.limit.at(now);
        let Some(cold_since) = self.cold_since else {
            return slots;
        };
        let warmth = now.since(cold_since).as_secs_f32() / SLOW_START.as_secs_f32();
        if warmth >= 1.0 || slots == 0 {
            return slots;
        }
        let part = SLOW_START_PART + (1.0 - SLOW_START_PART) * warmth;
        let open = (f32::from(slots) * part) as u16;
        open.max(1)
    }

    fn succeed(&mut self, latency: Duration, now: MonoTime) {
        let sample = (latency.as_secs_f32() * 1e6).max(1.0);
        self.latency_us = match self.latency_us > 0.0 {
            true => {
                let aged = self.latency_us * self.aging(now);
                aged + SAMPLE_WEIGHT * (sample - aged)
            }
            false => sample,
        };
        self.failure_rate *= self.aging(now) * (1.0 - SAMPLE_WEIGHT);
        self.failures_in_row = 0;
        self.sampled_at = now;
        if self.fault.is_some() {
            self.recover(now);
        }
    }

    fn recover(&mut self, now: MonoTime) {
        self.fault = None;
        self.failure_rate = 0.0;
        self.failures_in_row = 0;
        self.cold_since = Some(now);
    }

    fn fail(&mut self, fault: Fault, now: MonoTime) -> Option<Fault> {
        let rate = self.failure_rate * self.aging(now);
        self.latency_us *= self.aging(now);
        self.failure_rate = rate + SAMPLE_WEIGHT * (1.0 - rate);
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        self.sampled_at = now;
        let limit = match fault {
            Fault::Errors => EJECT_ERRORS_IN_ROW,
            Fault::Unreachable => EJECT_UNREACHABLE_IN_ROW,
        };
        let is_bad = self.fault.is_some()
            || self.failures_in_row >= limit
            || self.failure_rate >= EJECT_FAILURE_RATE;
        let is_known = self.fault.is_some() && self.ejected_until > now;
        (is_bad && !is_known).then_some(fault)
    }

    fn aging(&self, now: MonoTime) -> f32 {
        let age = now.since(self.sampled_at).as_secs_f32();
        match age < 1.0 {
            true => 1.0,
            false => (-age / AVERAGE_HALF_LIFE.as_secs_f32()).exp2(),
        }
    }

    fn report_factor(&self, now: MonoTime) -> f32 {
        let Some(report) = self.report.filter(|report| report.stale_at > now) else {
            return 1.0;
        };
        let is_known_good = self.latency_us > 0.0 && self.failures_in_row == 0;
        match report.healthy || is_known_good {
            true => 1.0,
            false => UNHEALTHY_REPORT_PENALTY,
        }
    }
}
