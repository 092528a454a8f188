//! Figures that instances report of themselves, and sums of them.

use apricotlug_model::HashMap;
use apricotlug_policy::steer::WindowCounts;
use capnp::{primitive_list, struct_list};

use crate::pulse_capnp::{busy, counted, proof, spent, window};

/// Requests of one client account that a run has admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountUsage {
    /// Hash of the account's id.
    pub account: u64,
    /// Requests admitted since the start of the run.
    pub admitted: u64,
    /// Requests that arrived, in requests per tick interval.
    pub demand: f32,
}

/// Requests in flight at one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackendLoad {
    /// Hash of the backend server's id.
    pub backend: u64,
    /// Requests that the sender has in flight there; the maximum stands for more.
    pub requests: u16,
    /// Work that is left of them, in milliseconds of one slot; 0 if the sender does not tell.
    pub work_ms: f32,
}

impl BackendLoad {
    /// Adds the load that another run has there. Its work is known only if that of both is.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        let is_told = self.work_ms > 0.0 && other.work_ms > 0.0;
        Self {
            backend: self.backend,
            requests: self.requests.saturating_add(other.requests),
            work_ms: if is_told {
                self.work_ms + other.work_ms
            } else {
                0.0
            },
        }
    }
}

/// Responses of the versions of a service that is being moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MoveEvidence {
    /// Number that identifies the move order.
    pub order: u64,
    /// Good and bad responses of the new version, then of the old one.
    pub counts: [u64; 4],
}

/// Requests that began to run in one window of the wall clock.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WindowUsage {
    /// Number of the window, counted from the start of 1970.
    pub number: u64,
    /// Requests by id of the client account.
    pub counts: HashMap<String, u64>,
}

impl From<WindowCounts> for WindowUsage {
    fn from(source: WindowCounts) -> Self {
        Self {
            number: source.number,
            counts: source.counts.into_iter().collect(),
        }
    }
}

impl From<WindowUsage> for WindowCounts {
    fn from(wire: WindowUsage) -> Self {
        Self {
            number: wire.number,
            counts: wire.counts.into_iter().collect(),
        }
    }
}

pub(super) fn write_usage(
    mut builder: struct_list::Builder<'_, spent::Owned>,
    source: &[AccountUsage],
) {
    for (i, entry) in source.iter().enumerate() {
        let mut builder = builder.reborrow().get(i as u32);
        builder.set_account(entry.account);
        builder.set_admitted(entry.admitted);
        builder.set_demand(entry.demand);
    }
}

pub(super) fn read_usage(reader: struct_list::Reader<'_, spent::Owned>) -> Vec<AccountUsage> {
    let entries = reader.iter().map(|entry| AccountUsage {
        account: entry.get_account(),
        admitted: entry.get_admitted(),
        demand: amount(entry.get_demand()),
    });
    entries.collect()
}

/// Returns a number as an amount. Sums are computed from it, so that one odd number would spoil all.
fn amount(number: f32) -> f32 {
    if number.is_finite() {
        number.max(0.0)
    } else {
        0.0
    }
}

pub(super) fn write_loads(
    mut builder: struct_list::Builder<'_, busy::Owned>,
    source: &[BackendLoad],
) {
    for (i, entry) in source.iter().enumerate() {
        let mut builder = builder.reborrow().get(i as u32);
        builder.set_backend(entry.backend);
        builder.set_requests(entry.requests);
        builder.set_work_ms(entry.work_ms);
    }
}

pub(super) fn read_loads(reader: struct_list::Reader<'_, busy::Owned>) -> Vec<BackendLoad> {
    let entries = reader.iter().map(|entry| BackendLoad {
        backend: entry.get_backend(),
        requests: entry.get_requests(),
        work_ms: amount(entry.get_work_ms()),
    });
    entries.collect()
}

pub(super) fn write_evidence(
    mut builder: struct_list::Builder<'_, proof::Owned>,
    source: &[MoveEvidence],
) {
    for (i, entry) in source.iter().enumerate() {
        let mut builder = builder.reborrow().get(i as u32);
        builder.set_order(entry.order);
        builder.set_new_good(entry.counts[0]);
        builder.set_new_bad(entry.counts[1]);
        builder.set_old_good(entry.counts[2]);
        builder.set_old_bad(entry.counts[3]);
    }
}

pub(super) fn read_evidence(reader: struct_list::Reader<'_, proof::Owned>) -> Vec<MoveEvidence> {
    let entries = reader.iter().map(|entry| MoveEvidence {
        order: entry.get_order(),
        counts: [
            entry.get_new_good(),
            entry.get_new_bad(),
            entry.get_old_good(),
            entry.get_old_bad(),
        ],
    });
    entries.collect()
}

pub(super) fn write_windows(
    mut builder: struct_list::Builder<'_, window::Owned>,
    source: &[WindowUsage],
) {
    for (i, entry) in source.iter().enumerate() {
        let mut builder = builder.reborrow().get(i as u32);
        builder.set_number(entry.number);
        let mut counts = builder.init_counts(entry.counts.len() as u32);
        for (i, (account, requests)) in entry.counts.iter().enumerate() {
            let mut builder: counted::Builder<'_> = counts.reborrow().get(i as u32);
            builder.set_account(account);
            builder.set_requests(*requests);
        }
    }
}

pub(super) fn read_windows(
    reader: struct_list::Reader<'_, window::Owned>,
) -> Result<Vec<WindowUsage>, super::WireError> {
    let mut windows = Vec::new();
    for entry in reader {
        let mut counts = HashMap::default();
        for counted in entry.get_counts()? {
            let account = counted.get_account()?.to_str()?.to_owned();
            counts.insert(account, counted.get_requests());
        }
        windows.push(WindowUsage {
            number: entry.get_number(),
            counts,
        });
    }
    Ok(windows)
}

pub(super) fn write_numbers(mut builder: primitive_list::Builder<'_, u64>, source: &[u64]) {
    for (i, number) in source.iter().enumerate() {
        builder.set(i as u32, *number);
    }
}
