//! Backend server stand-in: slots, a queue beyond them, faults.

use std::collections::VecDeque;

use apricotlug_model::{MonoTime, RegionKey};
use rand::{RngExt, rngs::StdRng};

/// Mean service time, in microseconds: half of it fixed, half exponential.
pub const MEAN_SERVICE_US: f64 = 20_000.0;
/// Factor on the service time of a cold server; it falls to 1 over the warm-up.
const COLD_FACTOR: f64 = 4.0;
/// Requests that a cold server must run to be warm.
const WARM_UP_REQUESTS: f64 = 100.0;
/// Requests beyond its slots that a server queues before it sheds.
const QUEUE: usize = 32;

/// Behaviour of a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    Good,
    /// Service times are multiplied.
    Slow(f64),
    /// Errors after 1 ms.
    FailsFast,
    /// No answer, no connection.
    Dead,
}

/// Request at a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub id: usize,
    pub deadline: MonoTime,
}

/// What becomes of a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrival {
    /// It runs for that many microseconds.
    Runs(u64),
    Queued,
    Shed,
    Lost,
}

/// One server.
#[derive(Clone, Debug)]
pub struct Backend {
    pub region: RegionKey,
    pub slots: u32,
    pub busy: u32,
    pub behaviour: Behaviour,
    pub is_draining: bool,
    pub warmth: f64,
    pub queue: VecDeque<Job>,
}

impl Backend {
    pub fn new(region: RegionKey, slots: u16) -> Self {
        Self {
            region,
            slots: slots.into(),
            busy: 0,
            behaviour: Behaviour::Good,
            is_draining: false,
            warmth: WARM_UP_REQUESTS,
            queue: VecDeque::new(),
        }
    }

    pub fn arrive(&mut self, job: Job, rng: &mut StdRng) -> Arrival {
        if self.behaviour == Behaviour::Dead {
            return Arrival::Lost;
        }
        if self.busy < self.slots {
            self.busy += 1;
            return Arrival::Runs(self.service_us(rng));
        }
        if self.queue.len() >= QUEUE {
            return Arrival::Shed;
        }
        self.queue.push_back(job);
        Arrival::Queued
    }

    /// Ends a run and returns the next request with its service time.
    pub fn finish(&mut self, now: MonoTime, rng: &mut StdRng) -> Option<(Job, u64)> {
        self.busy -= 1;
        while let Some(job) = self.queue.pop_front() {
            if !job.deadline.is_past(now) {
                self.busy += 1;
                return Some((job, self.service_us(rng)));
            }
        }
        None
    }

    fn service_us(&mut self, rng: &mut StdRng) -> u64 {
        let uniform: f64 = rng.random_range(1e-9..1.0);
        let warm = MEAN_SERVICE_US * (0.5 - 0.5 * uniform.ln());
        let cold = 1.0 + (COLD_FACTOR - 1.0) * (1.0 - self.warmth / WARM_UP_REQUESTS);
        self.warmth = (self.warmth + 1.0).min(WARM_UP_REQUESTS);
        match self.behaviour {
            Behaviour::Good | Behaviour::Dead => (warm * cold) as u64,
            Behaviour::Slow(factor) => (warm * cold * factor) as u64,
            Behaviour::FailsFast => 1_000,
        }
    }
}
