//! State and load of entry instances, as input to look-ups.

use std::net::SocketAddr;

use apricotlug_model::{DataCentreKey, InstanceId};

/// Factor by which the weight of a suspect instance is reduced.
const SUSPECT_DIVISOR: u64 = 8;

/// Entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceEntry {
    /// Name and incarnation.
    pub id: InstanceId,
    /// Address that callers connect to.
    pub addr: SocketAddr,
    /// Data centre where it runs.
    pub data_centre: DataCentreKey,
    /// Whether it accepts callers.
    pub state: InstanceState,
    /// Load in its last report.
    pub load: InstanceLoad,
}

/// Whether an instance accepts callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    /// Accepts callers.
    Ready,
    /// Announced that it is shutting down.
    Leaving,
    /// Its heartbeats are overdue. It is still listed, with a reduced weight.
    Suspect,
    /// No longer running.
    Dead,
}

/// Load of an instance, in backend slots or in any other unit common to all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InstanceLoad {
    /// Slots that its requests in progress occupy.
    pub outstanding: u32,
    /// Slots in its share of the backend slots. Zero: no slot is usable.
    pub slots: u32,
}

impl InstanceEntry {
    /// Returns whether look-ups may list the instance.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        matches!(self.state, InstanceState::Ready | InstanceState::Suspect)
    }

    /// Returns the selection weight of the instance, or zero if it is not listed.
    pub(super) fn weight(&self) -> u64 {
        let weight = u64::from(self.load.slots.max(1)) * SUSPECT_DIVISOR;
        match self.state {
            InstanceState::Ready => weight,
            InstanceState::Suspect => weight / SUSPECT_DIVISOR,
            InstanceState::Leaving | InstanceState::Dead => 0,
        }
    }
}
