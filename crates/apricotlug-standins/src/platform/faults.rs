//! Faults of the platform stand-in.

/// Whether the platform can be reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outage {
    /// Reachable.
    #[default]
    None,
    /// Each connection is closed at once, open ones too.
    Close,
    /// Connections are accepted and requests are never answered.
    Hang,
}

/// Faults in force; the default has none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Whether the platform can be reached.
    pub outage: Outage,
    /// Delay of each answer, in milliseconds.
    pub delay_ms: u32,
    /// Number of coming transactions and lease calls whose answers are lost after their effect.
    pub lose_answers: u32,
    /// Number of coming calls of any kind that are answered with 503 without being run.
    pub fail_calls: u32,
    /// Number of coming reads whose answers are cut short of their declared length.
    pub cut_answers: u32,
    /// Calls a second beyond which the answer is 429.
    pub calls_per_s: Option<u32>,
    /// Whether a new watch starts from the first revision, whatever it asked for.
    pub is_watch_stale: bool,
    /// Lag of the list of instances, in milliseconds.
    pub list_lag_ms: u32,
}

impl Faults {
    /// Takes one of a number of coming faults.
    pub(crate) fn take(count: &mut u32) -> bool {
        let is_due = *count > 0;
        *count = count.saturating_sub(1);
        is_due
    }
}
