//! Faults that can be injected into the platform stand-in.

/// Kind of outage of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outage {
    /// The platform is reachable.
    #[default]
    None,
    /// New connections are closed at once, and open ones are broken.
    Close,
    /// Connections are accepted, but requests receive no response.
    Hang,
}

/// Active faults; the default has none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Outage of the whole platform.
    pub outage: Outage,
    /// Delay of each call before it runs, in milliseconds; 0 means none.
    pub delay_ms: u32,
    /// Number of next transactions and lease calls that take effect but whose responses are lost.
    pub lose_answers: u32,
    /// Number of next calls of any kind that are not run and receive status 503.
    pub fail_calls: u32,
    /// Number of next range reads whose responses are truncated to half of their declared length.
    pub cut_answers: u32,
    /// Limit on calls per second; further ones receive status 429. `None` means no limit.
    pub calls_per_s: Option<u32>,
    /// Whether new watches start from revision 1, whatever start revision they request.
    pub is_watch_stale: bool,
    /// Delay until a change of the instance list becomes visible, in milliseconds.
    pub list_lag_ms: u32,
}

impl Faults {
    /// Decrements a count of pending faults. Returns whether one was pending.
    pub(crate) fn consume(count: &mut u32) -> bool {
        let is_pending = *count > 0;
        *count = count.saturating_sub(1);
        is_pending
    }
}
