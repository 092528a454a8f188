//! Record of a duty in the store, and the times by which it is held.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use apricotlug_model::UnixTime;
use serde::{Deserialize, Serialize};

/// Span from the request of a write until the hold ends that it gives.
const HOLD: Duration = Duration::from_millis(4_500);

/// Span for which a report may be on its way: its time limit, and the time after which the system
/// gives up bytes that are not acknowledged.
const SENDING: Duration = Duration::from_millis(2_500);

/// Shortest slack between the end of a hold and the earliest take-over.
const MIN_SLACK: Duration = Duration::from_millis(500);

/// Requests by client account that began to run in one window of the wall clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Number of the window, counted from the start of 1970.
    pub number: u64,
    /// Requests by id of the client account.
    pub counts: BTreeMap<String, u64>,
}

/// Returns the number of the window that contains a time.
#[must_use]
pub fn window_number(at: UnixTime, window: Duration) -> u64 {
    let micros = u64::try_from(window.as_micros()).unwrap_or(u64::MAX);
    at.0 / micros.max(1)
}

/// Returns the end of a window.
#[must_use]
pub fn window_end(number: u64, window: Duration) -> UnixTime {
    let micros = u64::try_from(window.as_micros()).unwrap_or(u64::MAX);
    UnixTime(number.saturating_add(1).saturating_mul(micros))
}

/// Instance that may hold a duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyInstance {
    /// Name of the instance.
    pub name: String,
    /// Random number that identifies the run of its process.
    pub run: u64,
    /// Address at which it takes messages of other instances. No two processes have the same at a
    /// time.
    pub peer: SocketAddr,
}

/// Record of a duty in the store. It is written under the condition that nobody else has written it
/// since, so that its order of writes is the order of holders and reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRecord {
    /// Instance that holds the duty.
    pub holder: DutyInstance,
    /// Number of this hold; larger than those of all holds before.
    pub fence: u64,
    /// Number of writes of the record in this hold.
    pub renewals: u64,
    /// Whether the holder has given the duty up.
    pub is_released: bool,
    /// Latest window whose report is settled: it is in `reports`, or was sent, or is given up.
    pub last_window: u64,
    /// Reports that are to be sent exactly as they are here.
    pub reports: Vec<WindowCounts>,
}

/// Spans by which a duty is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyTerms {
    /// Span from the request of a write until the hold ends that it gives.
    pub hold: Duration,
    /// Span from a write until the holder writes again.
    pub renew: Duration,
    /// Span before the end of a hold in which no report is sent any more.
    pub sending: Duration,
    /// Span without a change of the record after which another instance may take the duty.
    pub take_over: Duration,
    /// The same where the holder has given it up.
    pub take_released: Duration,
    /// Length of a window.
    pub window: Duration,
}

impl DutyTerms {
    /// Derives the spans from the least span between two holds of one instance with another's
    /// between them.
    #[must_use]
    pub fn new(lease: Duration, thaw_slack: Duration, window: Duration) -> Self {
        let slack = thaw_slack.max(MIN_SLACK);
        Self {
            hold: HOLD,
            renew: HOLD - SENDING,
            sending: SENDING,
            take_over: lease.max(HOLD) + slack,
            take_released: lease.max(SENDING) + slack,
            window,
        }
    }
}
