//! Summary of a move that its leader derives from the reports received.

use std::time::Duration;

use apricotlug_model::{InstanceId, MonoTime};
use apricotlug_policy::moves::{Guard, MoveReports, Report, Totals};

fn report(name: &str, sequence: u64, has_cut: bool) -> Report {
    Report {
        instance: InstanceId {
            name: name.to_owned(),
            incarnation: 1,
        },
        sequence,
        has_cut,
        totals: Totals::new(),
    }
}

fn at(s: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_secs(s))
}

#[test]
fn only_instances_with_a_recent_report_count_as_reporting() {
    let mut reports = MoveReports::default();
    assert!(reports.add_report(report("e1", 1, false), at(1)));
    assert!(reports.add_report(report("e2", 1, false), at(5)));
    assert!(
        !reports.add_report(report("e1", 1, false), at(6)),
        "duplicate report"
    );
    for (s, reporting) in [(5, 2), (6, 2), (7, 1), (11, 0)] {
        let summary = reports.summary(&Guard::default(), 2, at(s));
        assert_eq!(summary.reporting, reporting, "at {s} s");
    }
}

#[test]
fn a_cut_is_kept_whatever_the_sequence_of_its_report() {
    let rows = [
        ("with a later report", report("e1", 2, true)),
        ("with the same report repeated", report("e1", 1, true)),
        (
            "with an earlier one that arrives late",
            report("e1", 0, true),
        ),
    ];
    for (name, cut) in rows {
        let mut reports = MoveReports::default();
        reports.add_report(report("e1", 1, false), at(1));
        assert!(reports.add_report(cut, at(1)), "{name}");
        assert!(
            reports.summary(&Guard::default(), 1, at(1)).is_faulty,
            "{name}"
        );
        reports.add_report(report("e1", 3, false), at(1));
        assert!(
            reports.evidence().has_cut(),
            "{name}: a cut is not taken back"
        );
    }
}
