//! One instance: its state, and the calls that the product makes to it.

use std::{cell::LazyCell, time::Duration};

use apricotlug_config::{SiteSettings, parse_site};
use apricotlug_model::{Backend, MonoTime};
use apricotlug_policy::steer::{BackendKey, ChoiceRequest, RequestOutcome};
use apricotlug_steer::{MemberInfo, Peers, SteeringState};
use rand::{SeedableRng, rngs::SmallRng};

const SETTINGS: &str = include_str!("../../../../../examples/steer.toml");

const REGIONS: usize = 3;
/// In large deployments, one in so many ticks between which nothing changes is played.
const IDLE_TICKS: u32 = 4;

/// Deployments up to this size play every tick.
const SMALL_DEPLOYMENT: usize = 100;

const ROUTE: &str = "shop-read";
const TARGET_MS: u32 = 200;

thread_local! {
    static COMMON: LazyCell<SiteSettings> = LazyCell::new(|| {
        let mut settings = parse_site("steer.toml", SETTINGS).unwrap();
        settings.regions = (0..2 * REGIONS)
            .map(|i| (data_centre(i), format!("region-{}", region(i))))
            .collect();
        settings
    });
}

pub fn mono(ms: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_millis(ms + 10_000))
}

/// Returns the region of an instance.
pub fn region(i: usize) -> usize {
    i % REGIONS
}

/// Returns the data centre of an instance.
pub fn data_centre(i: usize) -> String {
    format!("dc-{}-{}", region(i), i / REGIONS % 2)
}

/// Process that runs.
struct Process {
    state: SteeringState,
    /// When it has read the store for the first time.
    listed_at: Option<u64>,
    reads_records: bool,
    /// Ticks since its view of the others changed, or since the last one that was played.
    idle_ticks: u32,
    backend: Option<BackendKey>,
}

/// Instance, running or not.
pub struct Instance {
    /// Whether its state is played. Others only have entries, which those that are played read.
    is_played: bool,
    settings: SiteSettings,
    info: MemberInfo,
    process: Option<Process>,
}

impl Instance {
    pub fn new(i: usize, mbps: u32, is_played: bool) -> Self {
        let mut settings = COMMON.with(|common| SiteSettings::clone(common));
        settings.data_centre = data_centre(i);
        settings.instance = format!("front-{}-{i:04}", settings.data_centre);
        settings.link_mbps = mbps.into();
        let port = i as u16 + 1;
        let info = MemberInfo {
            run: 0,
            caller: ([10, 0, 0, 1], port).into(),
            peer: ([10, 0, 0, 2], port).into(),
            data_centre: settings.data_centre.clone(),
            link_mbps: mbps,
        };
        Self {
            is_played,
            settings,
            info,
            process: None,
        }
    }

    pub fn name(&self) -> &str {
        &self.settings.instance
    }

    /// Returns the run of the process, or of the last one.
    pub fn run(&self) -> u64 {
        self.info.run
    }

    /// Returns the entry that a run writes.
    pub fn entry(&self, run: u64) -> (String, MemberInfo) {
        let info = MemberInfo {
            run,
            ..self.info.clone()
        };
        (self.settings.instance.clone(), info)
    }

    pub fn is_played(&self) -> bool {
        self.is_played
    }

    pub fn is_running(&self, run: u64) -> bool {
        self.process.is_some() && self.info.run == run
    }

    /// Returns whether its run reads what the store holds of the backend server.
    pub fn reads_records_now(&self) -> bool {
        let process = self.process.as_ref();
        process.is_some_and(|process| process.reads_records)
    }

    /// Returns whether its run had read the store by a time.
    pub fn has_listed_by(&self, ms: u64) -> bool {
        let process = self.process.as_ref();
        process.is_some_and(|process| process.listed_at.is_some_and(|at| at <= ms))
    }

    /// Starts a new run in place of the last one. Returns it.
    pub fn start(&mut self, seed: u64) -> u64 {
        self.info.run += 1;
        if !self.is_played {
            return self.info.run;
        }
        let mut state = SteeringState::new(&self.settings);
        state.rng = SmallRng::seed_from_u64(seed);
        self.process = Some(Process {
            state,
            listed_at: None,
            reads_records: false,
            idle_ticks: IDLE_TICKS,
            backend: None,
        });
        self.info.run
    }

    /// Starts a new interval. Returns whether the run is still there.
    pub fn tick(&mut self, run: u64, now: u64, reads_store: bool) -> bool {
        if !self.is_running(run) {
            return false;
        }
        if let Some(process) = &mut self.process {
            process.idle_ticks += 1;
            if reads_store && process.listed_at.is_some() {
                process.state.limit_share.on_read(mono(now));
            }
            let is_small = process.state.peers.count() <= SMALL_DEPLOYMENT;
            if is_small || process.idle_ticks >= IDLE_TICKS {
                process.state.tick(&self.settings, mono(now));
                process.idle_ticks = 0;
            }
        }
        true
    }

    /// Records that the entry of its run has been written.
    pub fn on_entered(&mut self, now: u64) {
        if let Some(process) = &mut self.process {
            process.state.limit_share.on_entered(mono(now));
        }
    }

    /// Records that it has read the store for the first time, and registered the entries found.
    pub fn on_listed(&mut self, now: u64) {
        if let Some(process) = &mut self.process {
            process.listed_at = Some(now);
            process.reads_records = true;
            process.state.limit_share.on_read(mono(now));
        }
    }

    /// Gives its run a view of the others that it has read from the store, itself included.
    pub fn on_first_view(&mut self, known: Peers, now: u64) {
        if let Some(process) = &mut self.process {
            process.state.peers = known;
            process.state.peers.deregister(&self.settings.instance);
            process.state.peers.sweep(mono(now));
            process.idle_ticks = IDLE_TICKS;
        }
        self.on_entered(now);
        self.on_listed(now);
    }

    /// Lets its run read of the backend server before it has read of any other instance.
    pub fn read_records(&mut self) {
        if let Some(process) = &mut self.process {
            process.reads_records = true;
        }
    }

    pub fn on_entry(&mut self, name: &str, info: MemberInfo, now: u64) {
        if let Some(process) = &mut self.process {
            process.state.peers.register(name, info, mono(now));
            process.idle_ticks = IDLE_TICKS;
        }
    }

    pub fn on_lapse(&mut self, name: &str) {
        if let Some(process) = &mut self.process {
            process.state.peers.deregister(name);
            process.idle_ticks = IDLE_TICKS;
        }
    }

    pub fn on_record(&mut self, run: u64, record: Backend, now: u64) {
        if !self.is_running(run) {
            return;
        }
        if let Some(process) = &mut self.process {
            let region = self.settings.region_of(&record.data_centre);
            let id = record.id.clone();
            let key = process.state.fleet.register(record, region, mono(now));
            process.state.on_backend(&id, key);
            process.backend = Some(key);
        }
    }

    pub fn on_no_record(&mut self, run: u64) {
        if !self.is_running(run) {
            return;
        }
        if let Some(process) = &mut self.process
            && let Some(key) = process.backend.take()
        {
            let id = process.state.fleet.entry(key).backend.id.clone();
            process.state.fleet.remove(&id);
        }
    }

    /// Tries to send a request, as a caller's request is placed. Returns whether it was sent.
    pub fn try_send(&mut self, cold_rate: f64, now: u64) -> bool {
        let Some(process) = &mut self.process else {
            return false;
        };
        if process.backend.is_none() {
            return false;
        }
        let state = &mut process.state;
        let request = ChoiceRequest {
            service: "shop",
            route: ROUTE,
            object: Some(1),
            account: None,
            is_large: false,
            region: self.settings.region(),
            data_centre: &self.settings.data_centre,
            home_regions: [&[], &[]],
            evacuated: &[],
            version_filter: None,
            excluded: &[],
            cold_rate,
            share: &state.limit_share,
            is_large_deployment: state.relays().is_needed,
        };
        let now = mono(now);
        let Ok(choice) = state.fleet.choose(&request, TARGET_MS, now) else {
            return false;
        };
        state.fleet.on_send(&request, choice.key, now);
        let outcome = RequestOutcome::Answered(choice.expected_ms);
        state.fleet.on_end(&choice, ROUTE, outcome, now);
        true
    }
}
