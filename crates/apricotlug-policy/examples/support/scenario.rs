//! Scenarios and the faults that they inject.

use apricotlug_model::{Bundle, BundleVersion, MonoTime, RegionKey};

use super::{
    backend::{Backend, Behaviour},
    fleet::Fleet,
};

/// Fault injected during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// One endpoint of a service becomes ten times slower.
    SlowEndpoint,
    /// One endpoint of a service answers with errors after 1 ms.
    FailsFast,
    /// As `SlowEndpoint`, but the slow endpoint reports good health and no load while the others
    /// report themselves unhealthy.
    FalseReport,
    /// All instances and endpoints of a region fail.
    RegionOutage,
    /// All endpoints of a region fail, but its instances keep running.
    BackendOutage,
    /// The demand of a region doubles.
    DemandSurge,
    /// A quarter of the endpoints are replaced by cold ones.
    ColdStart,
    /// A quarter of the endpoints are drained.
    Drain,
}

impl Fault {
    pub const ALL: [Self; 9] = [
        Self::None,
        Self::SlowEndpoint,
        Self::FailsFast,
        Self::FalseReport,
        Self::RegionOutage,
        Self::BackendOutage,
        Self::DemandSurge,
        Self::ColdStart,
        Self::Drain,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::None => "no fault",
            Self::SlowEndpoint => "slow endpoint",
            Self::FailsFast => "fails fast",
            Self::FalseReport => "false report",
            Self::RegionOutage => "region outage",
            Self::BackendOutage => "backend outage",
            Self::DemandSurge => "demand surge",
            Self::ColdStart => "cold start",
            Self::Drain => "drain",
        }
    }

    /// Injects the fault at the backend servers.
    pub fn inject(self, backends: &mut [Backend]) {
        match self {
            Self::None | Self::DemandSurge => {}
            Self::SlowEndpoint | Self::FalseReport => {
                backends[0].behaviour = Behaviour::Slow(10.0);
            }
            Self::FailsFast => backends[0].behaviour = Behaviour::FailsFast,
            Self::RegionOutage | Self::BackendOutage => {
                for backend in backends.iter_mut().filter(|b| b.region == RegionKey(0)) {
                    backend.behaviour = Behaviour::Dead;
                }
            }
            Self::ColdStart => {
                for backend in backends.iter_mut().step_by(4) {
                    backend.warmth = 0.0;
                }
            }
            Self::Drain => {
                for backend in backends.iter_mut().step_by(4) {
                    backend.is_draining = true;
                }
            }
        }
    }

    /// Returns the bundle that operators sign off as part of the fault, if any.
    pub fn bundle(self, old: &Bundle) -> Option<Bundle> {
        if !matches!(self, Self::ColdStart | Self::Drain) {
            return None;
        }
        let mut new = old.clone();
        new.version = BundleVersion(old.version.0 + 1);
        for key in old.endpoints.keys().step_by(4) {
            let endpoint = &mut new.endpoints[key];
            match self {
                Self::Drain => endpoint.is_draining = true,
                _ => endpoint.addr.set_port(endpoint.addr.port() + 10_000),
            }
        }
        Some(new)
    }
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub fleet: Fleet,
    pub fault: Fault,
    /// Mean fraction of all slots that are busy.
    pub load: f64,
    pub seed: u64,
    pub fault_at: MonoTime,
    pub fault_ends_at: MonoTime,
    pub ends_at: MonoTime,
}

impl Scenario {
    /// Creates a run of 40 s with the fault active from 12 s to 30 s.
    pub fn new(fleet: Fleet, fault: Fault, load: f64, seed: u64) -> Self {
        Self {
            fleet,
            fault,
            load,
            seed,
            fault_at: MonoTime(12_000_000),
            fault_ends_at: MonoTime(30_000_000),
            ends_at: MonoTime(40_000_000),
        }
    }
}
