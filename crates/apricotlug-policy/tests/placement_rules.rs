//! Tests of single placement rules: locality, ejection, drain, slow start, shifts, bundle changes.

#[path = "../examples/support/mod.rs"]
mod support;

use std::time::Duration;

use apricotlug_model::{Bundle, BundleVersion, DataCentreKey, EndpointKey, MonoTime, RegionKey};
use apricotlug_policy::placement::{
    LoadReport, Outcome, PlaceReason, PlacedRequest, Placement, PlacementConstraints,
    PlacementRefusal, Refusal, TransferredBytes,
};
use rand::{SeedableRng, rngs::StdRng};
use support::fleet::{CAISSES, Fleet};

/// Placement of a single instance in region 0, with its bundle, clock and random generator.
struct TestBed {
    bundle: Bundle,
    placement: Placement,
    now: MonoTime,
    rng: StdRng,
}

impl TestBed {
    fn new() -> Self {
        let bundle = Fleet {
            shift_cap_percent: 100,
            ..CAISSES
        }
        .bundle();
        let now = MonoTime(1_000_000);
        Self {
            placement: Placement::new(&bundle, DataCentreKey(0), now),
            bundle,
            now,
            rng: StdRng::seed_from_u64(3),
        }
    }

    fn place(&mut self) -> Result<PlacedRequest, PlacementRefusal> {
        self.place_without(&[])
    }

    fn place_without(
        &mut self,
        exclude: &[EndpointKey],
    ) -> Result<PlacedRequest, PlacementRefusal> {
        let constraints = PlacementConstraints {
            service: 0.into(),
            version: None,
            exclude,
        };
        self.placement
            .place(&self.bundle, &constraints, self.now, &mut self.rng)
    }

    fn settle(&mut self, choice: PlacedRequest, outcome: Outcome) {
        self.placement.settle(choice.ticket, outcome, self.now);
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now.after(Duration::from_millis(millis));
    }

    /// Places and settles `count` requests, 1 ms apart. Returns the number placed on each endpoint.
    fn serve(&mut self, count: usize, outcome: impl Fn(EndpointKey) -> Outcome) -> Vec<usize> {
        let mut counts = vec![0; self.bundle.endpoints.len()];
        for _ in 0..count {
            self.advance(1);
            if let Ok(choice) = self.place() {
                counts[usize::from(choice.endpoint)] += 1;
                self.settle(choice, outcome(choice.endpoint));
            }
        }
        counts
    }

    fn region_of(&self, choice: PlacedRequest) -> RegionKey {
        self.bundle.region_of(choice.endpoint)
    }

    fn change_bundle(&mut self, change: impl FnOnce(&mut Bundle)) {
        let old = self.bundle.clone();
        change(&mut self.bundle);
        self.bundle.version = BundleVersion(old.version.0 + 1);
        self.placement.update(&old, &self.bundle, self.now);
    }
}

fn success() -> Outcome {
    answered(20, false)
}

fn answered(millis: u64, server_error: bool) -> Outcome {
    Outcome::Answered {
        latency: Duration::from_millis(millis),
        server_error,
    }
}

#[test]
fn home_comes_first_then_the_region_then_other_regions_within_the_cap() {
    let mut bed = TestBed::new();
    let mut reasons = Vec::new();
    let refusal = loop {
        match bed.place() {
            Ok(choice) => reasons.push(choice.reason),
            Err(refusal) => break refusal,
        }
    };
    assert!(reasons.is_sorted_by_key(|reason| match reason {
        PlaceReason::Home => 0,
        PlaceReason::Region => 1,
        _ => 2,
    }));
    let count = |reason| reasons.iter().filter(|r| **r == reason).count();
    assert_eq!(count(PlaceReason::Home), 12);
    assert_eq!(count(PlaceReason::Region), 12);
    assert!(count(PlaceReason::Shift) > 0);
    assert_eq!(refusal.reason, Refusal::Full);
    assert!(refusal.retry_at > bed.now);
}

#[test]
fn a_waiting_request_is_shifted_only_after_its_wait_limit() {
    let mut bed = TestBed::new();
    while bed
        .place()
        .is_ok_and(|choice| choice.reason != PlaceReason::Shift)
    {}
    let constraints = PlacementConstraints {
        service: 0.into(),
        version: None,
        exclude: &[],
    };
    let arrived_at = bed.now;
    let refusal =
        bed.placement
            .place_or_wait(&bed.bundle, &constraints, arrived_at, bed.now, &mut bed.rng);
    assert_eq!(refusal.unwrap_err().reason, Refusal::Full);
    bed.advance(60);
    let choice =
        bed.placement
            .place_or_wait(&bed.bundle, &constraints, arrived_at, bed.now, &mut bed.rng);
    assert_eq!(choice.unwrap().reason, PlaceReason::Shift);
}

#[test]
fn an_instance_that_starts_beside_others_waits_for_its_share() {
    let mut bed = TestBed::new();
    bed.placement = Placement::without_slots(&bed.bundle, DataCentreKey(0), bed.now);
    assert_eq!(bed.place().unwrap_err().reason, Refusal::NoEndpoint);
    let holders = CAISSES.holders();
    let usable_at = bed.now.after(Duration::from_secs(3));
    bed.placement
        .set_slot_share(&bed.bundle, &holders, &holders[0].id, usable_at, bed.now);
    assert_eq!(bed.place().unwrap_err().reason, Refusal::Full);
    bed.advance(3_000);
    assert!(bed.place().is_ok());
}

#[test]
fn an_excluded_endpoint_is_not_chosen() {
    let mut bed = TestBed::new();
    for _ in 0..200 {
        let first = bed.place().unwrap();
        let second = bed.place_without(&[first.endpoint]).unwrap();
        assert_ne!(first.endpoint, second.endpoint);
        bed.settle(first, success());
        bed.settle(second, success());
    }
}

#[test]
fn bad_endpoints_get_few_requests() {
    let cases: [(&str, Outcome); 6] = [
        ("slow", answered(200, false)),
        ("fails fast", answered(1, true)),
        ("broken answers", Outcome::Broken),
        ("no connection", Outcome::ConnectFailed),
        ("no answer", Outcome::TimedOut),
        ("sheds", Outcome::Shed),
    ];
    for (name, outcome) in cases {
        let mut bed = TestBed::new();
        let bad = EndpointKey(0);
        let counts = bed.serve(5_000, |key| if key == bad { outcome } else { success() });
        assert!(counts[0] < 150, "{name}: {counts:?}");
        assert!(counts[0] > 0, "{name}: {counts:?}");
    }
}

#[test]
fn an_ejected_endpoint_comes_back_after_one_good_probe() {
    let mut bed = TestBed::new();
    let others: Vec<_> = bed.bundle.endpoints.keys().skip(1).collect();
    for _ in 0..2 {
        let choice = bed.place_without(&others).unwrap();
        bed.settle(choice, Outcome::ConnectFailed);
    }
    assert!(bed.placement.is_ejected(EndpointKey(0)));
    bed.advance(5_000);
    let counts = bed.serve(2_000, |_| success());
    assert!(!bed.placement.is_ejected(EndpointKey(0)));
    assert!(counts[0] > 100, "{counts:?}");
}

#[test]
fn a_probe_brings_back_an_unreachable_endpoint_but_not_one_with_errors() {
    let cases = [
        (Outcome::ConnectFailed, 2, true),
        (Outcome::Broken, 3, false),
    ];
    for (outcome, failures, is_back) in cases {
        let mut bed = TestBed::new();
        let others: Vec<_> = bed.bundle.endpoints.keys().skip(1).collect();
        for _ in 0..failures {
            assert!(!bed.placement.is_ejected(EndpointKey(0)));
            let choice = bed.place_without(&others).unwrap();
            bed.settle(choice, outcome);
        }
        assert!(bed.placement.due_probes(bed.now).is_empty());
        bed.advance(5_000);
        assert_eq!(bed.placement.due_probes(bed.now), [EndpointKey(0)]);
        bed.placement
            .settle_probe(EndpointKey(0), success(), bed.now);
        assert_eq!(bed.placement.is_ejected(EndpointKey(0)), !is_back);
    }
}

#[test]
fn errors_eject_at_most_half_of_a_version() {
    let mut bed = TestBed::new();
    let counts = bed.serve(3_000, |_| answered(1, true));
    let ejected = bed
        .bundle
        .endpoints
        .keys()
        .filter(|key| bed.placement.is_ejected(*key));
    assert!(ejected.count() <= 8);
    assert_eq!(counts.iter().sum::<usize>(), 3_000);
    let used = counts[..16].iter().filter(|count| **count > 0);
    assert!(used.count() >= 8, "{counts:?}");
}

#[test]
fn requests_return_home_late_and_step_by_step() {
    let mut bed = TestBed::new();
    let is_unreachable = |key: EndpointKey| key.0 % 6 < 2;
    bed.serve(3_000, |key| {
        if is_unreachable(key) {
            Outcome::ConnectFailed
        } else {
            success()
        }
    });
    let mut home_counts = Vec::new();
    for _ in 0..14 {
        let counts = bed.serve(1_000, |_| success());
        let home = counts
            .iter()
            .enumerate()
            .filter(|(i, _)| is_unreachable((*i).into()));
        home_counts.push(home.map(|(_, count)| count).sum::<usize>());
    }
    assert!(home_counts[0] < 100, "{home_counts:?}");
    assert!(
        home_counts[5] > 100 && home_counts[5] < 900,
        "{home_counts:?}"
    );
    assert!(home_counts[13] > 950, "{home_counts:?}");
}

#[test]
fn a_draining_endpoint_gets_nothing() {
    let mut reported = TestBed::new();
    let report = LoadReport {
        healthy: true,
        outstanding: 0,
        draining: true,
        stale_at: reported.now,
    };
    reported
        .placement
        .set_report(EndpointKey(0), report, reported.now);
    reported.advance(100_000);
    let mut configured = TestBed::new();
    configured.change_bundle(|bundle| bundle.endpoints[EndpointKey(0)].is_draining = true);
    for mut bed in [reported, configured] {
        while let Ok(choice) = bed.place() {
            assert_ne!(choice.endpoint, EndpointKey(0));
        }
    }
}

#[test]
fn an_endpoint_that_appears_starts_slowly() {
    let mut bed = TestBed::new();
    bed.change_bundle(|bundle| {
        let mut endpoint = bundle.endpoints[EndpointKey(0)].clone();
        endpoint.id = "stock-new".to_owned();
        endpoint.slots = 40;
        bundle.endpoints.push(endpoint);
    });
    let new = EndpointKey::from(bed.bundle.endpoints.len() - 1);
    let mut occupied = Vec::new();
    for _ in 0..3 {
        while bed
            .place()
            .is_ok_and(|choice| choice.reason != PlaceReason::Shift)
        {}
        occupied.push(bed.placement.outstanding(new));
        bed.advance(5_000);
    }
    assert_eq!(occupied, [8, 24, 40]);
}

#[test]
fn tickets_outlive_bundles_that_reorder_or_remove_endpoints() {
    let mut bed = TestBed::new();
    let choices: Vec<_> = (0..10).map(|_| bed.place().unwrap()).collect();
    bed.change_bundle(|bundle| {
        let reversed: Vec<_> = bundle.endpoints.values().rev().cloned().collect();
        bundle.endpoints = reversed.into_iter().filter(|e| e.id != "stock-0").collect();
    });
    let outstanding = |bed: &TestBed| -> u32 {
        let keys = bed.bundle.endpoints.keys();
        keys.map(|key| u32::from(bed.placement.outstanding(key)))
            .sum()
    };
    assert!(outstanding(&bed) >= 5);
    for choice in choices {
        bed.settle(choice, success());
    }
    assert_eq!(outstanding(&bed), 0);
}

#[test]
fn a_request_with_another_bundle_is_refused() {
    let mut bed = TestBed::new();
    bed.bundle.version = BundleVersion(9);
    assert_eq!(bed.place().unwrap_err().reason, Refusal::OtherBundle);
}

#[test]
fn a_spent_link_stops_shifts_until_it_has_recovered() {
    let mut bed = TestBed::new();
    let shifted = loop {
        let choice = bed.place().unwrap();
        if choice.reason == PlaceReason::Shift {
            break choice;
        }
    };
    assert_ne!(bed.region_of(shifted), RegionKey(0));
    let bytes = TransferredBytes {
        sent: 0,
        received: 70_000_000,
    };
    bed.placement.charge_bytes(shifted.ticket, bytes, bed.now);
    bed.settle(shifted, success());
    let next = bed.place().unwrap();
    assert_ne!(bed.region_of(next), bed.region_of(shifted));
    bed.placement.charge_bytes(next.ticket, bytes, bed.now);
    assert!(bed.place().is_err());
    bed.advance(3_000);
    assert_eq!(bed.place().unwrap().reason, PlaceReason::Shift);
}

#[test]
fn a_removed_endpoint_keeps_its_tickets_and_comes_back_cold_once_they_are_settled() {
    let mut bed = TestBed::new();
    let removed = bed.bundle.endpoints[EndpointKey(0)].clone();
    let others: Vec<_> = bed.bundle.endpoints.keys().skip(1).collect();
    let choice = bed.place_without(&others).unwrap();
    bed.change_bundle(|bundle| {
        bundle.endpoints = bundle.endpoints.values().skip(1).cloned().collect();
    });
    bed.change_bundle(|bundle| {
        bundle.endpoints.push(removed.clone());
    });
    let last = EndpointKey::from(bed.bundle.endpoints.len() - 1);
    assert_eq!(bed.placement.outstanding(last), 1);
    assert_eq!(bed.placement.slot_limit(last, bed.now), 0);
    bed.settle(choice, success());
    assert_eq!(bed.placement.outstanding(last), 0);
    bed.advance(10_000);
    assert_eq!(bed.placement.slot_limit(last, bed.now), 3);
}
