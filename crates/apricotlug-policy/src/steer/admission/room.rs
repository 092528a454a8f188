//! Room that the request bodies of an instance share: who gets some, and who loses it.

use std::time::Duration;

use apricotlug_model::{HashMap, MonoTime};

/// Longest body that counts as short, in bytes of room.
const SHORT_BYTES: u64 = 80 * 1024;

/// Part of the room that long bodies cannot take, in bytes.
const SHORT_PART_BYTES: u64 = 5 << 20;

/// Longest time without progress for which a body keeps room that another needs.
const STALL: Duration = Duration::from_secs(1);

/// Bytes that a body receives before it has made progress. Fewer come from a caller that only keeps
/// its connection busy.
const PROGRESS_BYTES: u64 = 4 * 1024;

/// Body that is being read or was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyKey(u64);

#[derive(Clone, Copy, Debug)]
struct Held {
    bytes: u64,
    progressed_at: MonoTime,
    received: u64,
    is_complete: bool,
}

impl Held {
    fn is_long(self) -> bool {
        self.bytes > SHORT_BYTES
    }

    fn is_stalled(self, now: MonoTime) -> bool {
        !self.is_complete && now.since(self.progressed_at) >= STALL
    }
}

/// Decision on more room for a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyRoomDecision {
    /// The body has the room.
    Granted,
    /// The body has the room, and these have lost theirs: they make no progress.
    GrantedInPlaceOf(Vec<BodyKey>),
    /// There is no room; the body keeps what it has until it is released.
    Refused,
}

/// Room for request bodies, in bytes.
#[derive(Debug)]
pub struct BodyRoom {
    total: u64,
    used: u64,
    used_by_long: u64,
    next: u64,
    bodies: HashMap<BodyKey, Held>,
}

impl BodyRoom {
    /// Creates empty room of `total` bytes.
    #[must_use]
    pub fn new(total: u64) -> Self {
        Self {
            total,
            used: 0,
            used_by_long: 0,
            next: 0,
            bodies: HashMap::default(),
        }
    }

    /// Returns the bytes of room that bodies have.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Adds a body without room.
    pub fn add(&mut self, now: MonoTime) -> BodyKey {
        let key = BodyKey(self.next);
        self.next += 1;
        let held = Held {
            bytes: 0,
            progressed_at: now,
            received: 0,
            is_complete: false,
        };
        self.bodies.insert(key, held);
        key
    }

    /// Decides whether a body gets room for `bytes` bytes in all, while `others` bytes are used for
    /// something else than request bodies. Where room is short, bodies without progress lose theirs,
    /// oldest stall first, if that is enough.
    #[must_use]
    pub fn resize(
        &mut self,
        key: BodyKey,
        bytes: u64,
        others: u64,
        now: MonoTime,
    ) -> BodyRoomDecision {
        let Some(held) = self.bodies.get(&key).copied() else {
            return BodyRoomDecision::Refused;
        };
        if bytes <= held.bytes {
            return BodyRoomDecision::Granted;
        }
        let wanted = Held { bytes, ..held };
        self.remove(key);
        let lost = self.make_room(wanted, others, now);
        let is_granted = lost.is_some();
        self.insert(key, if is_granted { wanted } else { held });
        match lost {
            None => BodyRoomDecision::Refused,
            Some(lost) if lost.is_empty() => BodyRoomDecision::Granted,
            Some(lost) => BodyRoomDecision::GrantedInPlaceOf(lost),
        }
    }

    /// Records that a body received `bytes` bytes.
    pub fn on_received(&mut self, key: BodyKey, bytes: u64, now: MonoTime) {
        if let Some(held) = self.bodies.get_mut(&key) {
            held.received += bytes;
            if held.received >= PROGRESS_BYTES {
                held.received = 0;
                held.progressed_at = now;
            }
        }
    }

    /// Records that a body was read to its end. It keeps its room until it is released.
    pub fn on_complete(&mut self, key: BodyKey) {
        if let Some(held) = self.bodies.get_mut(&key) {
            held.is_complete = true;
        }
    }

    /// Releases a body with its room. One that has lost its room already is left out.
    pub fn release(&mut self, key: BodyKey) {
        self.remove(key);
    }

    fn insert(&mut self, key: BodyKey, held: Held) {
        self.used += held.bytes;
        if held.is_long() {
            self.used_by_long += held.bytes;
        }
        self.bodies.insert(key, held);
    }

    fn remove(&mut self, key: BodyKey) {
        let Some(held) = self.bodies.remove(&key) else {
            return;
        };
        self.used -= held.bytes;
        if held.is_long() {
            self.used_by_long -= held.bytes;
        }
    }

    /// Makes room for a body. Returns the bodies that have lost theirs, or `None` if there would
    /// still be too little.
    fn make_room(&mut self, wanted: Held, others: u64, now: MonoTime) -> Option<Vec<BodyKey>> {
        if self.fits(wanted, others, self.used, self.used_by_long) {
            return Some(Vec::new());
        }
        let bodies = self.bodies.iter();
        let mut stalled: Vec<_> = bodies
            .filter(|(_, held)| held.is_stalled(now))
            .map(|(key, held)| (held.progressed_at, *key, *held))
            .collect();
        stalled.sort_by_key(|(progressed_at, key, _)| (*progressed_at, *key));
        let (mut used, mut used_by_long) = (self.used, self.used_by_long);
        let mut lost = Vec::new();
        for (_, key, held) in stalled {
            used -= held.bytes;
            if held.is_long() {
                used_by_long -= held.bytes;
            }
            lost.push(key);
            if self.fits(wanted, others, used, used_by_long) {
                for key in &lost {
                    self.remove(*key);
                }
                return Some(lost);
            }
        }
        None
    }

    fn fits(&self, wanted: Held, others: u64, used: u64, used_by_long: u64) -> bool {
        let after = used.saturating_add(others).saturating_add(wanted.bytes);
        let long_after = used_by_long.saturating_add(wanted.bytes);
        let long_total = self.total.saturating_sub(SHORT_PART_BYTES);
        after <= self.total && (!wanted.is_long() || long_after <= long_total)
    }
}
