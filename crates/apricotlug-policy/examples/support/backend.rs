//! Simulated backend server with slots, a bounded queue and faults.

use std::collections::VecDeque;

use apricotlug_model::{MonoTime, RegionKey};
use rand::{RngExt, rngs::StdRng};

/// Mean service time in microseconds: half of it is fixed, half exponentially distributed.
pub const MEAN_SERVICE_US: f64 = 20_000.0;
/// Factor on the service time of a cold server; falls to 1 during warm-up.
const COLD_FACTOR: f64 = 4.0;
/// Number of requests that a cold server must run to become warm.
const WARM_UP_REQUESTS: f64 = 100.0;
/// Number of requests that a server queues beyond its slots before it sheds load.
const QUEUE: usize = 32;

/// Behaviour of a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    Healthy,
    /// Service times are multiplied.
    Slow(f64),
    /// Responds with an error after 1 ms.
    FailsFast,
    /// Accepts no connections and sends no responses.
    Dead,
}

/// Request at a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub id: usize,
    pub deadline: MonoTime,
}

/// Outcome of a request's arrival at a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrival {
    /// The request runs for the given number of microseconds.
    Runs(u64),
    Queued,
    Shed,
    Lost,
}

/// State of one server.
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
            behaviour: Behaviour::Healthy,
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

    /// Finishes a request. Starts the next queued one whose deadline has not passed, and returns it
    /// with its service time in microseconds.
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
            Behaviour::Healthy | Behaviour::Dead => (warm * cold) as u64,
            Behaviour::Slow(factor) => (warm * cold * factor) as u64,
            Behaviour::FailsFast => 1_000,
        }
    }
}
