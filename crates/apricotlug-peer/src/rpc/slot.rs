//! Limit on concurrent work.

use std::{cell::Cell, rc::Rc};

/// One of a limited number of slots, released on drop.
#[derive(Debug)]
pub(crate) struct Slot(Rc<Cell<usize>>);

impl Slot {
    /// Acquires a slot; returns `None` if all are taken.
    pub fn take(taken: &Rc<Cell<usize>>, limit: usize) -> Option<Self> {
        if taken.get() >= limit {
            return None;
        }
        taken.set(taken.get() + 1);
        Some(Self(Rc::clone(taken)))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
