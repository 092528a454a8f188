//! Closed windows that an instance keeps until the record of the duty shows them settled.

use std::collections::VecDeque;

use super::record::{DutyRecord, WindowCounts};

/// Most windows that are kept.
const MAX_KEPT: usize = 16;

#[derive(Clone, Debug)]
struct Kept {
    window: WindowCounts,
    /// Run of the holder that has it.
    held_by: Option<u64>,
}

/// Window that was settled without this instance's counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostWindow {
    /// Number of the window.
    pub number: u64,
    /// Requests that are missing from its report.
    pub requests: u64,
}

/// Closed windows of one instance.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    kept: VecDeque<Kept>,
}

impl Outbox {
    /// Adds a closed window. Returns one that is lost because too many are kept.
    pub fn push(&mut self, window: WindowCounts) -> Option<LostWindow> {
        self.kept.push_back(Kept {
            window,
            held_by: None,
        });
        if self.kept.len() <= MAX_KEPT {
            return None;
        }
        self.kept.pop_front().and_then(|kept| kept.lost())
    }

    /// Returns the windows that a holder does not have yet.
    #[must_use]
    pub fn due_for(&self, run: u64) -> Vec<WindowCounts> {
        let due = self.kept.iter().filter(|kept| kept.held_by != Some(run));
        due.map(|kept| kept.window.clone()).collect()
    }

    /// Records which windows a holder has. They are kept, since it may end before it has settled
    /// them.
    pub fn on_confirmed(&mut self, run: u64, numbers: &[u64]) {
        for kept in &mut self.kept {
            if numbers.contains(&kept.window.number) {
                kept.held_by = Some(run);
            }
        }
    }

    /// Drops the windows that a record shows as settled. Returns those that were settled by a holder
    /// that did not have this instance's counts.
    pub fn on_record(&mut self, record: &DutyRecord) -> Vec<LostWindow> {
        let mut lost = Vec::new();
        self.kept.retain(|kept| {
            let is_settled = kept.window.number <= record.last_window;
            if is_settled && kept.held_by.is_none() {
                lost.extend(kept.lost());
            }
            !is_settled
        });
        lost
    }
}

impl Kept {
    fn lost(&self) -> Option<LostWindow> {
        let requests = self.window.counts.values().sum();
        (requests > 0).then_some(LostWindow {
            number: self.window.number,
            requests,
        })
    }
}
