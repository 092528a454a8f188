//! Entry instances as the look-up knows them.

use std::net::SocketAddr;

use apricotlug_model::{DataCentreKey, InstanceId};

/// Weight of a ready instance over that of a suspect one with as many slots.
const SUSPECT_DIVISOR: u64 = 8;

/// Entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceEntry {
    /// Identity.
    pub id: InstanceId,
    /// Address that callers connect to.
    pub addr: SocketAddr,
    /// Data centre where it runs.
    pub data_centre: DataCentreKey,
    /// Whether it takes callers.
    pub state: InstanceState,
    /// Load that it last told.
    pub load: InstanceLoad,
}

/// Whether an instance takes callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    /// It does.
    Ready,
    /// It announced that it leaves.
    Leaving,
    /// Its heartbeats are late.
    Suspect,
    /// It is gone.
    Dead,
}

/// Load of an instance, in backend slots or on any scale that all instances share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InstanceLoad {
    /// Slots that its requests occupy.
    pub outstanding: u32,
    /// Slots of its share.
    pub slots: u32,
}

impl InstanceEntry {
    /// Tells whether look-ups may name the instance.
    #[must_use]
    pub fn is_named(&self) -> bool {
        matches!(self.state, InstanceState::Ready | InstanceState::Suspect)
    }

    /// Returns the weight of the instance among others; zero where it is not named.
    pub(super) fn weight(&self) -> u64 {
        let weight = u64::from(self.load.slots.max(1)) * SUSPECT_DIVISOR;
        match self.state {
            InstanceState::Ready => weight,
            InstanceState::Suspect => weight / SUSPECT_DIVISOR,
            InstanceState::Leaving | InstanceState::Dead => 0,
        }
    }
}
