//! Health and load of one endpoint as observed by this instance.

use std::time::Duration;

use apricotlug_model::{EndpointKey, MonoTime, RegionKey};

use crate::{
    limit::DelayedLimit,
    placement::request::{LoadReport, Outcome},
};

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f32 = 0.2;
/// Time in which an endpoint's latency and failure averages halve without new samples.
const AVERAGE_HALF_LIFE: Duration = Duration::from_secs(10);
/// Score penalty at a failure rate of 1; the score is multiplied by one plus this value.
const FAILURE_PENALTY: f32 = 20.0;
/// Factor on the score of an endpoint that reports itself unhealthy, unless this instance's last
/// outcome there was a success.
const UNHEALTHY_REPORT_PENALTY: f32 = 3.0;
/// Average failure rate from which an endpoint may be ejected.
const EJECT_FAILURE_RATE: f32 = 0.5;
/// Consecutive failures after which a reachable endpoint may be ejected.
const EJECT_ERRORS_IN_ROW: u8 = 3;
/// Consecutive failures after which an unreachable endpoint may be ejected.
const EJECT_UNREACHABLE_IN_ROW: u8 = 2;
/// Duration of the first ejection; each further one is twice as long.
const EJECT_BASE: Duration = Duration::from_secs(1);
/// Longest ejection.
const EJECT_MAX: Duration = Duration::from_secs(60);
/// Time after the end of an ejection from which the duration starts at `EJECT_BASE` again.
const EJECTION_RESET_TIME: Duration = Duration::from_secs(60);
/// Time in which a cold endpoint ramps up to this instance's full slot share.
const SLOW_START: Duration = Duration::from_secs(10);
/// Fraction of the slot share that may be used at the beginning of slow start.
const SLOW_START_FRACTION: f32 = 0.2;
/// Time without new requests after the endpoint refused a request as not run.
const SHED_PAUSE: Duration = Duration::from_millis(50);
/// Latency assumed where none was measured, in microseconds.
pub(super) const ASSUMED_LATENCY_US: f32 = 10_000.0;

/// Cause of an ejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// The endpoint responds with server errors, or its responses are truncated or malformed.
    Errors,
    /// Connections to the endpoint fail, or requests time out.
    Unreachable,
}

/// Health, load and slot share of one endpoint.
#[derive(Clone, Debug)]
pub(super) struct EndpointState {
    /// Key in the last bundle that contained the endpoint.
    pub(super) key: EndpointKey,
    /// Region of the endpoint.
    pub(super) region: RegionKey,
    /// Index of the endpoint's version in the bundle.
    pub(super) version: usize,
    /// Number of slots that this instance may occupy.
    pub(super) limit: DelayedLimit<u16, MonoTime>,
    /// Number of requests that this instance has placed and not settled.
    pub(super) outstanding: u16,
    /// Whether operators are draining the endpoint.
    pub(super) is_draining: bool,
    /// Time at which the endpoint left the bundle; `None` while it is in the bundle.
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
    /// Creates the state of an endpoint whose slow start begins at `now`. It has no slots yet.
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

    /// Ends slow start, for an endpoint that already serves other instances.
    pub(super) fn skip_slow_start(&mut self) {
        self.cold_since = None;
    }

    /// Discards health and latency, for an endpoint that came back under another address.
    pub(super) fn reset(&mut self, now: MonoTime) {
        *self = Self {
            version: self.version,
            limit: self.limit,
            outstanding: self.outstanding,
            ..Self::cold(self.key, self.region, now)
        };
    }

    /// Returns whether the endpoint is draining, by configuration or by its own report.
    pub(super) fn is_leaving(&self) -> bool {
        self.is_draining || self.report.is_some_and(|report| report.draining)
    }

    /// Returns why the endpoint was ejected; `None` once it has recovered or was never ejected.
    pub(super) fn fault(&self) -> Option<Fault> {
        self.fault
    }

    /// Returns whether the endpoint has no fault and its failure rate is below the ejection
    /// threshold.
    pub(super) fn is_healthy(&self, now: MonoTime) -> bool {
        self.fault.is_none() && self.failure_rate * self.decay_factor(now) < EJECT_FAILURE_RATE
    }

    /// Returns the end of the last ejection; zero if there was none.
    pub(super) fn ejected_until(&self) -> MonoTime {
        self.ejected_until
    }

    /// Returns whether an ejection has ended and no request is testing the endpoint.
    pub(super) fn is_probe_due(&self, now: MonoTime) -> bool {
        self.fault.is_some() && self.ejected_until <= now && self.outstanding == 0
    }

    /// Returns whether the endpoint has a free slot, is not draining and is not paused after it
    /// refused a request. Ignores health.
    pub(super) fn has_free_slot(&self, now: MonoTime) -> bool {
        !self.is_leaving() && self.outstanding < self.usable_slots(now) && self.paused_until <= now
    }

    /// Returns whether the endpoint may be chosen: it has a free slot and is not ejected.
    pub(super) fn is_eligible(&self, now: MonoTime) -> bool {
        (self.fault.is_none() || self.is_probe_due(now)) && self.has_free_slot(now)
    }

    /// Returns the load-weighted latency in microseconds; lower is better. Zero if a probe is due,
    /// so that the next request tests the endpoint.
    pub(super) fn score(&self, typical_latency_us: f32, now: MonoTime) -> f32 {
        if self.is_probe_due(now) {
            return 0.0;
        }
        let decay = self.decay_factor(now);
        let latency = match self.latency_us > 0.0 {
            true => self.latency_us * decay,
            false => typical_latency_us,
        };
        let share = f32::from(self.limit.at(now).max(1));
        let load = 1.0 + f32::from(self.outstanding) / share;
        let failure = 1.0 + FAILURE_PENALTY * self.failure_rate * decay;
        latency * load * failure * self.report_penalty(now)
    }

    /// Releases the slot of a request and records its outcome. Returns the fault if the endpoint
    /// should now be ejected.
    pub(super) fn settle(&mut self, outcome: Outcome, now: MonoTime) -> Option<Fault> {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.record_outcome(outcome, now)
    }

    /// Records the outcome of a probe. A response proves that an unreachable endpoint can be
    /// reached again, but not that one ejected for errors serves requests.
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
            _ => self.record_outcome(outcome, now),
        }
    }

    fn record_outcome(&mut self, outcome: Outcome, now: MonoTime) -> Option<Fault> {
        match outcome {
            Outcome::Answered {
                latency,
                server_error: false,
            } => {
                self.record_success(latency, now);
                None
            }
            Outcome::Answered { .. } | Outcome::Broken => self.record_failure(Fault::Errors, now),
            Outcome::ConnectFailed | Outcome::TimedOut => {
                self.record_failure(Fault::Unreachable, now)
            }
            Outcome::Shed => {
                self.paused_until = now.after(SHED_PAUSE);
                None
            }
            Outcome::Cancelled => None,
        }
    }

    /// Ejects the endpoint for at most `longest`.
    pub(super) fn eject(&mut self, fault: Fault, longest: Duration, now: MonoTime) {
        if self.ejected_until.after(EJECTION_RESET_TIME) < now {
            self.ejections = 0;
        }
        let span = EJECT_BASE * 2u32.saturating_pow(self.ejections.into());
        self.ejected_until = now.after(span.min(EJECT_MAX).min(longest));
        self.ejections = self.ejections.saturating_add(1).min(16);
        self.fault = Some(fault);
    }

    /// Replaces the backend server's report of its own state.
    pub(super) fn set_report(&mut self, report: LoadReport) {
        self.report = Some(report);
    }

    fn usable_slots(&self, now: MonoTime) -> u16 {
        let slots = self.limit.at(now);
        let Some(cold_since) = self.cold_since else {
            return slots;
        };
        let progress = now.since(cold_since).as_secs_f32() / SLOW_START.as_secs_f32();
        if progress >= 1.0 || slots == 0 {
            return slots;
        }
        let fraction = SLOW_START_FRACTION + (1.0 - SLOW_START_FRACTION) * progress;
        let usable = (f32::from(slots) * fraction) as u16;
        usable.max(1)
    }

    fn record_success(&mut self, latency: Duration, now: MonoTime) {
        let sample = (latency.as_secs_f32() * 1e6).max(1.0);
        self.latency_us = match self.latency_us > 0.0 {
            true => {
                let decayed = self.latency_us * self.decay_factor(now);
                decayed + SAMPLE_WEIGHT * (sample - decayed)
            }
            false => sample,
        };
        self.failure_rate *= self.decay_factor(now) * (1.0 - SAMPLE_WEIGHT);
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

    fn record_failure(&mut self, fault: Fault, now: MonoTime) -> Option<Fault> {
        let rate = self.failure_rate * self.decay_factor(now);
        self.latency_us *= self.decay_factor(now);
        self.failure_rate = rate + SAMPLE_WEIGHT * (1.0 - rate);
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        self.sampled_at = now;
        let limit = match fault {
            Fault::Errors => EJECT_ERRORS_IN_ROW,
            Fault::Unreachable => EJECT_UNREACHABLE_IN_ROW,
        };
        let needs_ejection = self.fault.is_some()
            || self.failures_in_row >= limit
            || self.failure_rate >= EJECT_FAILURE_RATE;
        let is_ejected_now = self.fault.is_some() && self.ejected_until > now;
        (needs_ejection && !is_ejected_now).then_some(fault)
    }

    fn decay_factor(&self, now: MonoTime) -> f32 {
        let elapsed_s = now.since(self.sampled_at).as_secs_f32();
        match elapsed_s < 1.0 {
            true => 1.0,
            false => (-elapsed_s / AVERAGE_HALF_LIFE.as_secs_f32()).exp2(),
        }
    }

    fn report_penalty(&self, now: MonoTime) -> f32 {
        let Some(report) = self.report.filter(|report| report.stale_at > now) else {
            return 1.0;
        };
        let has_own_success = self.latency_us > 0.0 && self.failures_in_row == 0;
        match report.healthy || has_own_success {
            true => 1.0,
            false => UNHEALTHY_REPORT_PENALTY,
        }
    }
}
