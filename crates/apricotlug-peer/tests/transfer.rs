//! Transfer log: transfers are applied at most once and only before they expire.

use apricotlug_model::UnixTime;
use apricotlug_peer::{Transfer, TransferId, TransferLog, TransferOutcome};

fn transfer(id: u128, expires: u64) -> Transfer {
    Transfer {
        id: TransferId(id),
        expires: UnixTime(expires),
        payload: vec![1, 2, 3],
    }
}

#[test]
fn a_transfer_is_applied_once_and_only_before_it_expires() {
    let steps = [
        ("new", 1, 100, 10, TransferOutcome::Applied),
        ("repeated", 1, 100, 11, TransferOutcome::Duplicate),
        ("another", 2, 50, 12, TransferOutcome::Applied),
        ("late from the start", 3, 12, 12, TransferOutcome::Expired),
        (
            "repeated after it expired",
            2,
            50,
            51,
            TransferOutcome::Expired,
        ),
        (
            "repeated with the clock set back",
            2,
            50,
            5,
            TransferOutcome::Expired,
        ),
        (
            "the first one, still",
            1,
            100,
            99,
            TransferOutcome::Duplicate,
        ),
    ];
    let mut log = TransferLog::default();
    for (name, id, expires, now, expected) in steps {
        let outcome = log.admit(&transfer(id, expires), UnixTime(now));
        assert_eq!(outcome, expected, "{name}");
    }
}

#[test]
fn a_full_log_refuses_new_transfers_and_keeps_known_ids() {
    let mut log = TransferLog::default();
    for id in 0..16 * 1024 {
        assert_eq!(
            log.admit(&transfer(id, 100), UnixTime(1)),
            TransferOutcome::Applied
        );
    }
    assert_eq!(
        log.admit(&transfer(1 << 20, 100), UnixTime(1)),
        TransferOutcome::Full
    );
    assert_eq!(
        log.admit(&transfer(0, 100), UnixTime(1)),
        TransferOutcome::Duplicate
    );
    assert_eq!(
        log.admit(&transfer(1 << 20, 300), UnixTime(101)),
        TransferOutcome::Applied
    );
}
