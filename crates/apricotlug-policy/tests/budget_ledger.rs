//! Budgets of one instance: installing allotments, transfers, bundle changes, shutdown.

#[path = "support/fleet.rs"]
#[allow(dead_code)]
mod fleet;

use apricotlug_model::{AccountKey, InstanceId, MonoTime, UnixTime};
use apricotlug_policy::budget::{
    Admission, Allotment, Allotments, Budgets, Now, Receipt, Share, Transfer, TransferId,
};
use fleet::bundle;

const SECOND: u64 = 1_000_000;
const EPOCH: u64 = 1_000 * SECOND;
const ACCOUNT: AccountKey = AccountKey(0);

fn id(name: &str, incarnation: u64) -> InstanceId {
    InstanceId {
        name: name.to_owned(),
        incarnation,
    }
}

fn at(seconds: u64) -> Now {
    Now {
        mono: MonoTime(seconds * SECOND),
        unix: UnixTime(EPOCH + seconds * SECOND),
    }
}

fn share(rate: u64, burst: u64) -> Share {
    Share {
        rate_milli: rate * 1_000,
        burst,
    }
}

fn allotments(holder: &InstanceId, generation: u64, floor: Share, surplus: Share) -> Allotments {
    Allotments {
        holder: holder.clone(),
        generation,
        floor_until: at(100).unix,
        surplus_until: at(20).unix,
        accounts: vec![Allotment {
            account: "a".to_owned(),
            budget: share(100, 50),
            floor,
            surplus,
        }],
    }
}

fn budgets(holder: &InstanceId) -> Budgets {
    let mut budgets = Budgets::new(holder.clone(), &bundle(1, &[("a", 100, 50)]), MonoTime(0));
    budgets.install(&allotments(holder, 1, share(10, 5), share(30, 20)), at(0));
    budgets
}

fn count_spent(budgets: &mut Budgets, now: Now) -> u64 {
    let mut spent = 0;
    while budgets.admit(ACCOUNT, now.mono) == Admission::Granted {
        spent += 1;
    }
    spent
}

#[test]
fn new_process_has_no_tokens() {
    let mut budgets = budgets(&id("x", 1));
    assert_eq!(count_spent(&mut budgets, at(0)), 0);
}

#[test]
fn holder_paused_over_a_deadline_keeps_what_is_left_only() {
    for (resumed, spent) in [(19, 25), (20, 5), (99, 5), (100, 0), (500, 0)] {
        let mut budgets = budgets(&id("x", 1));
        assert_eq!(
            count_spent(&mut budgets, at(resumed)),
            spent,
            "resumed at {resumed}"
        );
    }
}

#[test]
fn only_a_higher_generation_for_the_same_incarnation_is_installed() {
    let own = id("x", 1);
    for (holder, generation, is_installed) in [
        (id("x", 1), 1, false),
        (id("x", 1), 0, false),
        (id("x", 2), 2, false),
        (id("x", 1), 2, true),
    ] {
        let mut budgets = budgets(&own);
        let update = allotments(&holder, generation, share(1, 1), share(1, 1));
        assert_eq!(budgets.install(&update, at(1)), is_installed);
        let held = if is_installed {
            share(2, 2)
        } else {
            share(40, 25)
        };
        assert_eq!(budgets.held_share(ACCOUNT, at(1).mono), held);
    }
}

#[test]
fn lender_loses_tokens_and_burst_until_the_transfer_is_acknowledged() {
    // (microseconds of refill, tokens lent, tokens kept)
    for (micros, lent_tokens, kept) in [(250_000, 4, 6), (500_000, 4, 16), (5_000_000, 4, 21)] {
        let now = Now {
            mono: MonoTime(micros),
            unix: UnixTime(EPOCH + micros),
        };
        let mut lender = budgets(&id("x", 1));
        let lent = lender.lend(ACCOUNT, &id("y", 1), 4, now).unwrap();
        assert_eq!(lent.tokens, lent_tokens);
        assert_eq!(lender.held_share(ACCOUNT, now.mono), share(40, 21));
        assert_eq!(count_spent(&mut lender, now), kept);
        lender.acknowledge(&lent, now.mono);
        assert_eq!(lender.held_share(ACCOUNT, now.mono), share(40, 25));
        assert_eq!(count_spent(&mut lender, now), 0);
    }
}

#[test]
fn lost_acknowledgement_costs_burst_until_the_deadline_and_the_skew_are_over() {
    let mut lender = budgets(&id("x", 1));
    let lent = lender.lend(ACCOUNT, &id("y", 1), 9, at(5)).unwrap();
    assert_eq!(lent.until, at(10).unix);
    for (now, burst) in [(5, 16), (10, 16), (11, 25)] {
        assert_eq!(
            lender.held_share(ACCOUNT, at(now).mono),
            share(40, burst),
            "at {now}"
        );
    }
}

#[test]
fn transfer_ends_with_the_allotments_that_back_it() {
    for (now, until) in [(5, 10), (19, 20), (20, 25), (99, 100)] {
        let mut lender = budgets(&id("x", 1));
        let lent = lender.lend(ACCOUNT, &id("y", 1), 2, at(now)).unwrap();
        assert_eq!(lent.until, at(until).unix, "given at {now}");
    }
    assert_eq!(
        budgets(&id("x", 1)).lend(ACCOUNT, &id("y", 1), 2, at(100)),
        None
    );
    assert_eq!(
        budgets(&id("x", 1)).lend(ACCOUNT, &id("y", 1), 2, at(0)),
        None
    );
}

fn transfer(number: u64, tokens: u64) -> Transfer {
    Transfer {
        id: TransferId {
            from: id("x", 1),
            number,
        },
        to: id("y", 1),
        account: "a".to_owned(),
        tokens,
        until: at(20).unix,
    }
}

#[test]
fn transfer_is_added_once_by_its_addressee_before_its_deadline() {
    let lent = transfer(1, 3);
    let other = Transfer {
        account: "b".to_owned(),
        ..lent.clone()
    };
    let cases = [
        (id("y", 1), &lent, 0, Receipt::Added),
        (id("y", 2), &lent, 0, Receipt::NotAddressee),
        (id("y", 1), &lent, 20, Receipt::Expired),
        (id("y", 1), &other, 0, Receipt::UnknownAccount),
    ];
    for (own, transfer, now, receipt) in cases {
        let mut budgets = budgets(&own);
        let before = count_spent(&mut budgets, at(now));
        assert_eq!(budgets.receive(transfer, at(now)), receipt);
        let added = if receipt == Receipt::Added { 3 } else { 0 };
        assert_eq!(count_spent(&mut budgets, at(now)), added, "{before} before");
    }
    let mut budgets = budgets(&id("y", 1));
    assert_eq!(budgets.receive(&lent, at(1)), Receipt::Added);
    let clock_set_back = Now {
        mono: at(20).mono,
        unix: UnixTime(at(20).unix.0 - 1),
    };
    assert_eq!(budgets.receive(&lent, clock_set_back), Receipt::Duplicate);
}

#[test]
fn lent_tokens_are_spent_first_and_not_after_their_deadline() {
    // (time in seconds, requests granted, transfers acknowledged)
    for (now, granted, acknowledged) in [(1, 28, 1), (19, 28, 1), (20, 5, 0)] {
        let mut budgets = budgets(&id("y", 1));
        assert_eq!(budgets.receive(&transfer(1, 3), at(0)), Receipt::Added);
        assert_eq!(count_spent(&mut budgets, at(now)), granted, "at {now}");
        assert_eq!(
            budgets.take_spent_transfers().len(),
            acknowledged,
            "at {now}"
        );
        assert!(budgets.take_spent_transfers().is_empty());
    }
}

#[test]
fn transfer_is_acknowledged_when_its_last_token_is_spent() {
    let mut budgets = budgets(&id("y", 1));
    budgets.receive(&transfer(1, 2), at(0));
    for is_acknowledged in [false, true] {
        budgets.admit(ACCOUNT, MonoTime(0));
        assert_eq!(!budgets.take_spent_transfers().is_empty(), is_acknowledged);
    }
}

#[test]
fn instances_borrow_what_recent_demand_lacks_and_keep_what_it_needs() {
    // (arrivals in one second, tokens missing without tokens, tokens spare with 25)
    for (arrivals, shortfall, spare) in [(0, 0, 25), (10, 3, 22), (30, 8, 17), (1_000, 50, 0)] {
        let mut budgets = budgets(&id("x", 1));
        for _ in 0..arrivals {
            budgets.admit(ACCOUNT, MonoTime(1));
        }
        budgets.report(at(1).mono);
        assert_eq!(
            budgets.spare_tokens(ACCOUNT, 0, at(10).mono),
            spare,
            "{arrivals} arrivals"
        );
        count_spent(&mut budgets, at(10));
        assert_eq!(
            budgets.shortfall(ACCOUNT, at(10).mono),
            shortfall,
            "{arrivals} arrivals"
        );
    }
}

#[test]
fn memory_of_transfers_is_bounded() {
    let mut budgets = budgets(&id("y", 1));
    let mut full = 0;
    for number in 0..10_000 {
        let transfer = transfer(number, 0);
        full += u32::from(budgets.receive(&transfer, at(1)) == Receipt::Full);
    }
    assert_eq!(full, 10_000 - 4_096);
}

#[test]
fn smaller_budget_scales_what_is_held_and_what_comes_late() {
    let own = id("x", 1);
    let mut budgets = budgets(&own);
    budgets.set_bundle(&bundle(2, &[("b", 7, 7), ("a", 50, 25)]), at(1).mono);
    let account_a = AccountKey(1);
    assert_eq!(budgets.held_share(account_a, at(1).mono), share(20, 12));
    let delayed = allotments(&own, 2, share(40, 20), share(60, 30));
    budgets.install(&delayed, at(2));
    assert_eq!(budgets.held_share(account_a, at(2).mono), share(50, 25));
}

#[test]
fn account_added_again_is_still_short_of_tokens_lent() {
    let own = id("x", 1);
    let mut budgets = budgets(&own);
    budgets.lend(ACCOUNT, &id("y", 1), 10, at(5)).unwrap();
    budgets.set_bundle(&bundle(2, &[]), at(6).mono);
    budgets.set_bundle(&bundle(3, &[("a", 100, 50)]), at(6).mono);
    budgets.install(&allotments(&own, 2, share(10, 5), share(30, 20)), at(7));
    for (now, burst) in [(7, 15), (11, 25)] {
        assert_eq!(
            budgets.held_share(ACCOUNT, at(now).mono),
            share(40, burst),
            "at {now}"
        );
    }
}

#[test]
fn generation_is_not_confirmed_while_tokens_lent_exceed_it() {
    let own = id("x", 1);
    let mut budgets = budgets(&own);
    budgets.lend(ACCOUNT, &id("y", 1), 10, at(5)).unwrap();
    for (generation, surplus, is_confirmed) in [(2, share(20, 4), false), (3, share(1, 5), true)] {
        budgets.install(&allotments(&own, generation, share(10, 5), surplus), at(6));
        let confirmed = budgets.report(at(6).mono).confirmed_generation;
        assert_eq!(confirmed, is_confirmed.then_some(generation));
    }
}

#[test]
fn leaving_instance_spends_nothing_and_hands_back_after_its_transfers() {
    let own = id("x", 1);
    let mut budgets = budgets(&own);
    budgets.lend(ACCOUNT, &id("y", 1), 10, at(5)).unwrap();
    budgets.leave(at(6).mono);
    assert_eq!(count_spent(&mut budgets, at(7)), 0);
    assert!(!budgets.install(&allotments(&own, 9, share(10, 5), share(30, 20)), at(7)));
    for (now, is_leaving) in [(6, false), (10, false), (11, true)] {
        assert_eq!(
            budgets.report(at(now).mono).is_leaving,
            is_leaving,
            "at {now}"
        );
    }
}

#[test]
fn demand_counts_refused_arrivals() {
    let mut budgets = budgets(&id("x", 1));
    for _ in 0..300 {
        budgets.admit(ACCOUNT, MonoTime(1));
    }
    let report = budgets.report(at(2).mono);
    assert_eq!(report.demand_milli.get("a"), Some(&150_000));
    let quiet = budgets.report(at(3).mono);
    assert_eq!(quiet.demand_milli.get("a"), Some(&75_000));
}
