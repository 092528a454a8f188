//! Load from a fixed seed and events, the same for every scheme.

use rand::{RngExt, SeedableRng, rngs::StdRng};

pub const SECOND: u64 = 1_000_000;

/// Fleet and client accounts of one user.
pub struct User {
    pub name: &'static str,
    /// Number of instances by data centre.
    pub sizes: &'static [usize],
    /// Name, rate in requests per second, and burst in requests.
    pub accounts: &'static [(&'static str, u32, u32)],
}

pub const USERS: [User; 2] = [
    User {
        name: "armor",
        sizes: &[2, 2, 2, 1, 1, 1],
        accounts: &[
            ("a", 400, 400),
            ("b", 250, 250),
            ("c", 120, 120),
            ("d", 40, 60),
            ("e", 20, 30),
            ("f", 10, 20),
            ("g", 5, 10),
            ("h", 5, 10),
        ],
    },
    User {
        name: "novak",
        sizes: &[2, 2, 1, 1, 1, 1],
        accounts: &[
            ("a", 600, 300),
            ("b", 300, 150),
            ("c", 200, 200),
            ("d", 30, 30),
            ("e", 20, 20),
            ("f", 10, 10),
            ("g", 8, 16),
            ("h", 4, 8),
        ],
    },
];

pub struct Arrival {
    pub time: u64,
    pub data_centre: usize,
    pub account: usize,
    /// Random number that selects one of the running instances of the data centre.
    pub pick: usize,
}

/// Returns the load of a client account as a factor of its rate: accounts 0 and 4 send four times
/// their rate from 150 s to 250 s; otherwise the load stays below the rate and alternates between
/// 0.95 and 0.55 every 5 s.
fn load_factor(account: usize, time: u64) -> f64 {
    let second = time / SECOND;
    if (150..250).contains(&second) && (account == 0 || account == 4) {
        return 4.0;
    }
    let is_high = (second / 5 + account as u64).is_multiple_of(2);
    if is_high { 0.95 } else { 0.55 }
}

/// Returns the fraction of a client account's load that each data centre gets; it changes every
/// 60 s.
fn data_centre_shares(account: usize, time: u64, count: usize) -> Vec<f64> {
    let shift = account + (time / SECOND / 60) as usize;
    let weight = |dc: usize| 1.0 / (1.0 + ((dc * 5 + shift * 2) % count) as f64).powf(1.5);
    let sum: f64 = (0..count).map(weight).sum();
    (0..count).map(|dc| weight(dc) / sum).collect()
}

pub fn arrivals(user: &User, seconds: u64, seed: u64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut arrivals_by_time = Vec::new();
    for (account, (_, rate, _)) in user.accounts.iter().enumerate() {
        let mut time = 0.0;
        loop {
            let per_us = f64::from(*rate) * load_factor(account, time as u64) / SECOND as f64;
            time += -(1.0 - rng.random::<f64>()).ln() / per_us;
            if time >= (seconds * SECOND) as f64 {
                break;
            }
            let mut left = rng.random::<f64>();
            let data_centre_shares = data_centre_shares(account, time as u64, user.sizes.len());
            let found = data_centre_shares.iter().position(|share| {
                left -= share;
                left <= 0.0
            });
            arrivals_by_time.push(Arrival {
                time: time as u64,
                data_centre: found.unwrap_or(0),
                account,
                pick: rng.random_range(0..1_000_000),
            });
        }
    }
    arrivals_by_time.sort_by_key(|arrival| arrival.time);
    arrivals_by_time
}

#[derive(Clone, Copy)]
pub enum Event {
    /// The process in a slot dies; the events start another 5 s later.
    Crash(usize),
    /// A process without state starts in a slot.
    Start(usize),
    /// Whether the platform responds.
    Platform(bool),
    /// Whether a data centre reaches the platform and the other data centres.
    Link(usize, bool),
}

pub const EVENTS: &[(u64, Event)] = &[
    (100, Event::Crash(0)),
    (105, Event::Start(0)),
    (270, Event::Crash(5)),
    (275, Event::Start(5)),
    (320, Event::Platform(false)),
    (440, Event::Platform(true)),
    (470, Event::Link(1, false)),
    (570, Event::Link(1, true)),
];

pub const ONE_CRASH: &[(u64, Event)] = &[(100, Event::Crash(0)), (105, Event::Start(0))];

pub const LONG_OUTAGE: &[(u64, Event)] = &[
    (100, Event::Platform(false)),
    (1_300, Event::Platform(true)),
];

/// Returns the events of a crash of all processes at 100 s; all slots start again 5 s later.
pub fn all_killed(user: &User) -> Vec<(u64, Event)> {
    let slots = 0..user.sizes.iter().sum();
    let kills = slots.clone().map(|slot| (100, Event::Crash(slot)));
    kills
        .chain(slots.map(|slot| (105, Event::Start(slot))))
        .collect()
}

/// Phases of the run, one per column of the table: name, start and end in seconds.
pub const PHASES: &[(&str, u64, u64)] = &[
    ("calm", 30, 100),
    ("crash", 100, 150),
    ("over", 150, 250),
    ("crash2", 270, 320),
    ("outage", 320, 440),
    ("cut", 470, 570),
];
