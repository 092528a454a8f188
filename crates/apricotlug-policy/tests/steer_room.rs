//! Room for request bodies: who gets it, and who loses it, in virtual time.

use std::time::Duration;

use apricotlug_model::MonoTime;
use apricotlug_policy::steer::{BodyKey, BodyRoom, BodyRoomDecision};

const MIB: u64 = 1 << 20;
const TOTAL: u64 = 70 * MIB;

fn at(ms: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_millis(ms))
}

fn room_with(bodies: &[(u64, u64)]) -> (BodyRoom, Vec<BodyKey>) {
    let mut room = BodyRoom::new(TOTAL);
    let keys = bodies.iter().map(|(bytes, ms)| {
        let key = room.add(at(*ms));
        assert_eq!(
            room.resize(key, *bytes, 0, at(*ms)),
            BodyRoomDecision::Granted
        );
        key
    });
    let keys = keys.collect();
    (room, keys)
}

#[test]
fn a_body_gets_room_only_beside_the_others() {
    // Bodies that have room, bytes used otherwise, the body that asks, and whether it gets room.
    let rows: [(&str, &[u64], u64, u64, bool); 8] = [
        ("the longest alone", &[], 0, 64 * MIB + 256 * 1024, true),
        ("beside answers", &[], 16 * MIB, 64 * MIB, false),
        ("beside a long one", &[60 * MIB], 0, 60 * MIB, false),
        (
            "long, where it fits",
            &[30 * MIB, 30 * MIB],
            0,
            5 * MIB,
            true,
        ),
        ("long, in the short part", &[60 * MIB], 0, 8 * MIB, false),
        ("short, beside long ones", &[65 * MIB], 0, 4 * 1024, true),
        (
            "short, beside answers",
            &[50 * MIB],
            22 * MIB,
            4 * 1024,
            false,
        ),
        ("over all", &[], 0, u64::MAX, false),
    ];
    for (what, held, others, bytes, is_granted) in rows {
        let held: Vec<_> = held.iter().map(|bytes| (*bytes, 0)).collect();
        let (mut room, _) = room_with(&held);
        let used = room.used();
        let key = room.add(at(0));
        let decision = room.resize(key, bytes, others, at(0));
        assert_eq!(decision == BodyRoomDecision::Granted, is_granted, "{what}");
        room.release(key);
        assert_eq!(room.used(), used, "{what}");
    }
}

#[test]
fn bodies_without_progress_lose_their_room_oldest_stall_first() {
    let (mut room, keys) = room_with(&[(20 * MIB, 0), (20 * MIB, 100), (20 * MIB, 200)]);
    room.on_received(keys[0], 8 * 1024, at(600));
    let asks = room.add(at(1_150));
    let decision = room.resize(asks, 20 * MIB, 0, at(1_150));
    assert_eq!(decision, BodyRoomDecision::GrantedInPlaceOf(vec![keys[1]]));
    assert_eq!(room.used(), 60 * MIB);
    room.release(keys[1]);
    assert_eq!(room.used(), 60 * MIB, "it had lost its room before");
}

#[test]
fn nobody_loses_room_in_vain_or_after_its_end_or_while_it_makes_progress() {
    let (mut room, keys) = room_with(&[(20 * MIB, 0), (20 * MIB, 0), (20 * MIB, 0)]);
    room.on_complete(keys[0]);
    room.on_received(keys[1], 64 * 1024, at(4_900));
    let asks = room.add(at(5_000));
    assert_eq!(
        room.resize(asks, 40 * MIB, 0, at(5_000)),
        BodyRoomDecision::Refused
    );
    assert_eq!(room.used(), 60 * MIB);
    let decision = room.resize(asks, 20 * MIB, 0, at(5_000));
    assert_eq!(decision, BodyRoomDecision::GrantedInPlaceOf(vec![keys[2]]));
}

#[test]
fn a_caller_that_drips_makes_no_progress() {
    let (mut room, keys) = room_with(&[(60 * MIB, 0)]);
    (1..20).for_each(|i| room.on_received(keys[0], 1, at(i * 100)));
    let asks = room.add(at(2_000));
    let decision = room.resize(asks, 60 * MIB, 0, at(2_000));
    assert_eq!(decision, BodyRoomDecision::GrantedInPlaceOf(keys));
}
