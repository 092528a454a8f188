//! Property tests of the split of slots among instances: random fleets, instance failures, load
//! and bundle changes, with fixed seeds.

#[path = "../examples/support/mod.rs"]
mod support;

use std::time::Duration;

use apricotlug_model::{Bundle, BundleVersion, EndpointKey, MonoTime, RegionKey};
use apricotlug_policy::placement::{
    Outcome, PlacedRequest, Placement, PlacementConstraints, ShareHolder, SlotShares,
};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use support::fleet::{CAISSES, Fleet};

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn fleets() -> impl Strategy<Value = Fleet> {
    let sizes = (1..5usize, 1..4usize, 1..40usize);
    (sizes, 0..=100u8, 0..=100u8).prop_map(
        |((regions, data_centres_per_region, instances), cap, shift)| Fleet {
            regions,
            data_centres_per_region,
            instances,
            cap_percent: cap.max(1),
            shift_cap_percent: shift,
            ..CAISSES
        },
    )
}

fn slots_of(bundle: &Bundle, region: RegionKey) -> u32 {
    let local = bundle
        .endpoints
        .iter()
        .filter(|(key, _)| bundle.region_of(*key) == region);
    local.map(|(_, endpoint)| u32::from(endpoint.slots)).sum()
}

proptest! {
    #![proptest_config(config(200))]

    #[test]
    fn shares_of_all_instances_stay_within_slots_and_caps(fleet in fleets()) {
        let bundle = fleet.bundle();
        let holders = fleet.holders();
        let split = |holder: &ShareHolder| SlotShares::split(&bundle, &holders, &holder.id);
        let shares: Vec<_> = holders.iter().map(split).collect();
        for (key, endpoint) in bundle.endpoints.iter() {
            let sum: u16 = shares.iter().map(|share| share.slots(key)).sum();
            prop_assert!(sum <= endpoint.slots);
        }
        for region in bundle.regions.keys() {
            let local = |key: &EndpointKey| bundle.region_of(*key) == region;
            let sum = |is_foreign: bool| -> u32 {
                let of_kind = holders.iter().zip(&shares).filter(|(holder, _)| {
                    (bundle.data_centres[holder.data_centre].region != region) == is_foreign
                });
                let slots = of_kind.flat_map(|(_, share)| {
                    bundle.endpoints.keys().filter(local).map(|key| u32::from(share.slots(key)))
                });
                slots.sum()
            };
            let slots = slots_of(&bundle, region);
            let (foreign, all) = (sum(true), sum(true) + sum(false));
            prop_assert!(foreign * 100 <= slots * u32::from(fleet.shift_cap_percent));
            prop_assert!(all * 100 <= slots * u32::from(fleet.cap_percent));
        }
    }
}

/// Fleet in which instances place and settle requests, fail, and are notified of failures late.
struct FleetRun {
    bundle: Bundle,
    holders: Vec<ShareHolder>,
    placements: Vec<Placement>,
    placed: Vec<(usize, PlacedRequest, bool, MonoTime)>,
    is_dead: Vec<bool>,
    /// Pending notices of the live holders: time of delivery, receiving instance, holders.
    notices: Vec<(MonoTime, usize, Vec<ShareHolder>)>,
    now: MonoTime,
    rng: StdRng,
}

/// Upper bound of the delay until an instance knows of a failure or installs a bundle.
const MAX_NOTICE_DELAY: Duration = Duration::from_secs(2);
/// Longest time that a request occupies a slot.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(1);

impl FleetRun {
    fn new(fleet: Fleet, seed: u64) -> Self {
        let bundle = fleet.bundle();
        let holders = fleet.holders();
        let start = MonoTime::default();
        let placement = |holder: &ShareHolder| {
            let mut placement = Placement::new(&bundle, holder.data_centre, start);
            placement.set_slot_share(&bundle, &holders, &holder.id, start, start);
            placement
        };
        Self {
            placements: holders.iter().map(placement).collect(),
            is_dead: vec![false; holders.len()],
            placed: Vec::new(),
            notices: Vec::new(),
            now: start,
            rng: StdRng::seed_from_u64(seed),
            bundle,
            holders,
        }
    }

    fn step(&mut self) {
        self.now = self
            .now
            .after(Duration::from_millis(self.rng.random_range(1..20)));
        self.deliver_notices();
        let i = self.rng.random_range(0..self.placements.len());
        match self.rng.random_range(0..1000) {
            0..5 => self.kill(i),
            5..950 => self.place(i),
            _ => self.settle_some(),
        }
        let (now, overdue): (_, Vec<_>) = (self.now, self.placed.iter().map(|p| p.3).collect());
        for i in (0..overdue.len())
            .rev()
            .filter(|i| overdue[*i].is_past(now))
        {
            self.settle(i);
        }
    }

    fn place(&mut self, i: usize) {
        if self.is_dead[i] {
            return;
        }
        let constraints = PlacementConstraints {
            service: self.rng.random_range(0..2usize).into(),
            version: None,
            exclude: &[],
        };
        let is_shifted_in = self.rng.random_bool(0.3);
        let placement = &mut self.placements[i];
        let placed = match is_shifted_in {
            true => {
                let (bundle, now) = (&self.bundle, self.now);
                placement.place_shifted_in(
                    bundle,
                    &constraints,
                    MonoTime::default(),
                    now,
                    &mut self.rng,
                )
            }
            false => placement.place(&self.bundle, &constraints, self.now, &mut self.rng),
        };
        if let Ok(choice) = placed {
            let is_foreign =
                is_shifted_in || self.region_of(i) != self.bundle.region_of(choice.endpoint);
            self.placed
                .push((i, choice, is_foreign, self.now.after(MAX_REQUEST_TIME)));
        }
    }

    fn settle_some(&mut self) {
        if !self.placed.is_empty() {
            let i = self.rng.random_range(0..self.placed.len());
            self.settle(i);
        }
    }

    fn settle(&mut self, i: usize) {
        let (instance, choice, ..) = self.placed.swap_remove(i);
        let answered = Outcome::Answered {
            latency: Duration::from_millis(20),
            server_error: false,
        };
        let outcomes = [
            answered,
            answered,
            Outcome::Shed,
            Outcome::ConnectFailed,
            Outcome::TimedOut,
        ];
        let outcome = outcomes[self.rng.random_range(0..outcomes.len())];
        self.placements[instance].settle(choice.ticket, outcome, self.now);
    }

    /// Marks an instance as failed. Its requests keep their slots, and the others are notified at
    /// different times.
    fn kill(&mut self, i: usize) {
        if self.is_dead.iter().filter(|dead| !**dead).count() <= 1 {
            return;
        }
        self.is_dead[i] = true;
        let live = self
            .holders
            .iter()
            .zip(&self.is_dead)
            .filter(|(_, dead)| !**dead);
        let live: Vec<_> = live.map(|(holder, _)| holder.clone()).collect();
        for instance in 0..self.holders.len() {
            let delay = Duration::from_millis(
                self.rng
                    .random_range(0..MAX_NOTICE_DELAY.as_millis() as u64),
            );
            self.notices
                .push((self.now.after(delay), instance, live.clone()));
        }
    }

    fn deliver_notices(&mut self) {
        let now = self.now;
        let (due, later) = self.notices.drain(..).partition(|(at, ..)| at.is_past(now));
        self.notices = later;
        let due: Vec<(MonoTime, usize, Vec<ShareHolder>)> = due;
        for (_, i, mut live) in due {
            live.retain(|holder| {
                self.holders
                    .iter()
                    .zip(&self.is_dead)
                    .any(|(h, dead)| h.id == holder.id && !dead)
            });
            let usable_at = self.now.after(MAX_NOTICE_DELAY + MAX_REQUEST_TIME);
            let own = self.holders[i].id.clone();
            self.placements[i].set_slot_share(&self.bundle, &live, &own, usable_at, self.now);
        }
    }

    fn region_of(&self, i: usize) -> RegionKey {
        self.bundle.data_centres[self.holders[i].data_centre].region
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for (key, endpoint) in self.bundle.endpoints.iter() {
            let count = self
                .placed
                .iter()
                .filter(|(_, choice, ..)| choice.endpoint == key)
                .count();
            prop_assert!(
                count <= usize::from(endpoint.slots),
                "{count} at {}",
                endpoint.id
            );
        }
        for region in self.bundle.regions.keys() {
            let foreign = self.placed.iter().filter(|(_, choice, is_foreign, _)| {
                *is_foreign && self.bundle.region_of(choice.endpoint) == region
            });
            let percent = u32::from(self.bundle.regions[region].shift_cap_percent);
            let cap = slots_of(&self.bundle, region) * percent / 100;
            prop_assert!(foreign.count() <= cap as usize);
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(config(24))]

    #[test]
    fn outstanding_stays_within_slots_and_shift_caps_while_instances_die(
        instances in 2..14usize,
        shift_cap_percent in 0..=60u8,
        seed in any::<u64>(),
    ) {
        let mut run = FleetRun::new(Fleet { instances, shift_cap_percent, ..CAISSES }, seed);
        for _ in 0..1_000 {
            run.step();
            run.check()?;
        }
    }
}

/// Fleet whose instances install each bundle at different times.
struct Rollout {
    bundles: Vec<Bundle>,
    /// Index of each instance's installed bundle, and its placement.
    instances: Vec<(usize, Placement)>,
    placed: Vec<(usize, PlacedRequest, String, MonoTime)>,
    due: Vec<(MonoTime, usize, usize)>,
    now: MonoTime,
    rng: StdRng,
}

impl Rollout {
    fn new(seed: u64) -> Self {
        let bundle = CAISSES.bundle();
        let holders = CAISSES.holders();
        let start = MonoTime::default();
        let instance = |holder: &ShareHolder| {
            let mut placement = Placement::new(&bundle, holder.data_centre, start);
            placement.set_slot_share(&bundle, &holders, &holder.id, start, start);
            (0, placement)
        };
        Self {
            instances: holders.iter().map(instance).collect(),
            bundles: vec![bundle],
            placed: Vec::new(),
            due: Vec::new(),
            now: start,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Signs off a bundle that drains, removes or re-adds endpoints.
    fn sign_off(&mut self) {
        let first = &self.bundles[0];
        let mut bundle = first.clone();
        bundle.version = BundleVersion(self.bundles.len() as u64 + 1);
        let mut endpoints: Vec<_> = first.endpoints.values().cloned().collect();
        endpoints.retain(|_| self.rng.random_bool(0.9));
        for endpoint in &mut endpoints {
            endpoint.is_draining = self.rng.random_bool(0.1);
        }
        bundle.endpoints = endpoints.into_iter().collect();
        self.bundles.push(bundle);
        for instance in 0..self.instances.len() {
            let delay = Duration::from_millis(
                self.rng
                    .random_range(0..MAX_NOTICE_DELAY.as_millis() as u64),
            );
            self.due
                .push((self.now.after(delay), instance, self.bundles.len() - 1));
        }
    }

    fn install(&mut self) {
        let now = self.now;
        self.due.sort_unstable();
        let count = self.due.iter().filter(|(at, ..)| at.is_past(now)).count();
        for (_, i, target) in self.due.drain(..count) {
            let (installed, placement) = &mut self.instances[i];
            if target > *installed {
                placement.update(&self.bundles[*installed], &self.bundles[target], now);
                *installed = target;
            }
        }
    }

    fn step(&mut self) -> Result<(), TestCaseError> {
        self.now = self
            .now
            .after(Duration::from_millis(self.rng.random_range(1..20)));
        if self.rng.random_ratio(1, 150) {
            self.sign_off();
        }
        self.install();
        let now = self.now;
        for i in (0..self.placed.len()).rev() {
            if self.placed[i].3.is_past(now) || self.rng.random_ratio(1, 50) {
                let (instance, choice, ..) = self.placed.swap_remove(i);
                self.instances[instance]
                    .1
                    .settle(choice.ticket, Outcome::Cancelled, now);
            }
        }
        for _ in 0..4 {
            self.place()?;
        }
        Ok(())
    }

    fn place(&mut self) -> Result<(), TestCaseError> {
        let i = self.rng.random_range(0..self.instances.len());
        let service = self.rng.random_range(0..2usize).into();
        let constraints = PlacementConstraints {
            service,
            version: None,
            exclude: &[],
        };
        let (installed, placement) = &mut self.instances[i];
        let bundle = &self.bundles[*installed];
        let Ok(choice) = placement.place(bundle, &constraints, self.now, &mut self.rng) else {
            return Ok(());
        };
        let endpoint = &bundle.endpoints[choice.endpoint];
        prop_assert!(!endpoint.is_draining, "{} drains", endpoint.id);
        let run_ends_at = self.now.after(MAX_REQUEST_TIME);
        self.placed
            .push((i, choice, endpoint.id.clone(), run_ends_at));
        let count = self
            .placed
            .iter()
            .filter(|(.., id, _)| *id == endpoint.id)
            .count();
        prop_assert!(
            count <= usize::from(endpoint.slots),
            "{count} at {}",
            endpoint.id
        );
        Ok(())
    }
}

proptest! {
    #![proptest_config(config(16))]

    #[test]
    fn outstanding_stays_within_slots_while_bundles_roll_and_endpoints_drain(seed in any::<u64>()) {
        let mut rollout = Rollout::new(seed);
        for _ in 0..1_500 {
            rollout.step()?;
        }
    }
}
