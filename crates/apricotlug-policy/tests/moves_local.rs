//! State of one move in one instance.

use std::time::Duration;

use apricotlug_model::{
    Access, Bundle, InstanceId, MonoTime, Move, Repeat, Route, RouteKey, Service, ServiceKey,
    ServiceVersion, UnixTime, VersionKey,
};
use apricotlug_policy::moves::{LocalMove, MoveRecord, MoveState, Report, Sample, Side, Totals};

const START: UnixTime = UnixTime(1_000_000_000);
const ROUTE: RouteKey = RouteKey(0);
const OLD: VersionKey = VersionKey(0);
const NEW: VersionKey = VersionKey(1);

fn instance(name: &str) -> InstanceId {
    InstanceId {
        name: name.to_owned(),
        incarnation: 1,
    }
}

fn bundle() -> Bundle {
    let mut bundle = Bundle::default();
    bundle.services.push(Service {
        id: "stock".to_owned(),
        versions: vec![OLD, NEW],
    });
    for (id, incoming) in [("v1", false), ("v2", true)] {
        bundle.versions.push(ServiceVersion {
            id: id.to_owned(),
            service: ServiceKey(0),
            incoming: incoming.then(|| Move {
                from: OLD,
                deadline: START.after(Duration::from_secs(600)),
                stages: vec![5, 1000],
            }),
        });
    }
    bundle.routes.push(Route {
        id: "stock".to_owned(),
        prefix: "/stock".to_owned(),
        access: Access::Open,
        repeat: Repeat::Idempotent,
        service: ServiceKey(0),
        timeout_ms: 1000,
    });
    bundle
}

fn running(local: &LocalMove) -> MoveRecord {
    MoveRecord::begin(local.id().clone(), 1, START)
}

fn at(s: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_secs(s))
}

fn share(local: &LocalMove, s: u64) -> u16 {
    local
        .active(at(s), START.after(Duration::from_secs(s)))
        .share
}

#[test]
fn only_versions_that_are_the_target_of_a_move_have_one() {
    let bundle = bundle();
    assert!(LocalMove::new(&bundle, OLD, instance("e1")).is_none());
    let local = LocalMove::new(&bundle, NEW, instance("e1")).unwrap();
    assert_eq!(
        (local.id().service.as_str(), local.id().version.as_str()),
        ("stock", "v2")
    );
    assert_eq!(share(&local, 1), 0, "without a record the share is zero");
}

#[test]
fn records_are_applied_in_the_order_of_their_sequence_numbers() {
    let mut local = LocalMove::new(&bundle(), NEW, instance("e1")).unwrap();
    let first = running(&local);
    let paused = first.with_state(MoveState::Paused, 1, START).unwrap();
    let mut other = running(&local);
    other.id.version = "v9".to_owned();
    other.sequence = 99;
    let rows = [
        (first.clone(), true),
        (first.clone(), false),
        (paused.clone(), true),
        (first, false),
        (other, false),
    ];
    for (record, is_applied) in rows {
        assert_eq!(local.apply_record(record.clone()), is_applied, "{record:?}");
    }
    assert_eq!(local.record(), Some(&paused));
    assert!(!local.is_over());
}

#[test]
fn own_errors_cut_the_share_and_the_report_passes_the_cut_to_other_instances() {
    let bundle = bundle();
    let [mut one, mut two] =
        ["e1", "e2"].map(|name| LocalMove::new(&bundle, NEW, instance(name)).unwrap());
    for local in [&mut one, &mut two] {
        let record = running(local);
        assert!(local.apply_record(record));
        assert_eq!(share(local, 1), 5);
    }
    let sample = |is_error| Sample {
        is_error,
        is_cold: false,
        latency: Duration::from_millis(20),
    };
    (0..1000).for_each(|_| one.record_sample(ROUTE, Side::Old, 5, sample(false)));
    (0..8).for_each(|_| one.record_sample(ROUTE, Side::New, 5, sample(true)));
    let report = one.evaluate_own(&bundle, at(2));
    assert!(report.has_cut);
    assert_eq!((share(&one, 2), share(&two, 2)), (0, 5));
    assert!(two.add_report(report, at(3)));
    two.evaluate_fleet(at(3));
    assert_eq!(share(&two, 3), 0);
    assert!(two.summary(2, at(3)).is_faulty);
}

#[test]
fn only_recent_reports_count_as_reporting() {
    let bundle = bundle();
    let mut local = LocalMove::new(&bundle, NEW, instance("e1")).unwrap();
    let other = Report {
        instance: instance("e2"),
        sequence: 1,
        has_cut: false,
        totals: Totals::new(),
    };
    local.add_report(other, at(1));
    local.evaluate_own(&bundle, at(5));
    for (s, reporting) in [(5, 2), (6, 2), (7, 1), (11, 0)] {
        assert_eq!(local.summary(2, at(s)).reporting, reporting, "at {s} s");
    }
}
