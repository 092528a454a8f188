//! Simulates, in virtual time, a fleet that moves one service to a new version.

use std::time::Duration;

use apricotlug_model::{InstanceId, MonoTime, Move, UnixTime, VersionKey};
use apricotlug_policy::moves::{
    ActiveMove, Evidence, MoveId, MoveRecord, MoveState, Pair, Report, Sample, Side, Summary,
    advance, pick_version, share,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    cases::{Case, Effect, STAGES, Workload},
    strategies::{Evaluator, Strategy},
};

const TICK: Duration = Duration::from_millis(250);
const TICKS_PER_S: u64 = 4;
const BASE_ERROR_RATE: f64 = 0.002;
const LATENCY_SIGMA: f64 = 0.5;
const REPORT_LOSS_RATE: f64 = 0.1;

/// Number of answers from which on a fault counts as visible. Counted are affected answers that
/// failed or were slowed down beyond the latency of nine tenths of the old version's answers.
const VISIBLE_AFTER_ANSWERS: u64 = 25;

/// 90th percentile of the old version's latency, as a multiple of the median.
const P90_PER_MEDIAN: f64 = 1.9;

/// Time after a fault became visible from which on no request may go to the new version.
const CUT_GRACE: Duration = Duration::from_secs(5);

const ROUTES: [&str; 2] = ["large", "small"];
const START: UnixTime = UnixTime(1_000_000_000_000);
const OLD: VersionKey = VersionKey(0);
const NEW: VersionKey = VersionKey(1);

/// Result of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Final state of the move.
    pub state: MoveState,
    /// Time from the start to the final state, in seconds.
    pub ended_s: f64,
    /// Requests to the new version, as a fraction of the expected requests up to the deadline.
    pub new_share: f64,
    /// The same, counting only requests affected by the fault.
    pub affected_share: f64,
    /// Requests to the new version later than 5 s after its fault became visible.
    pub late: u64,
    /// Those of them that the fault affected.
    pub late_affected: u64,
    /// Time from the first faulty answer to the last request to the new version, in seconds. `None`
    /// without a faulty answer.
    pub cut_after_s: Option<f64>,
}

struct Instance {
    evaluator: Evaluator,
    totals: [Pair; 2],
    record: Option<MoveRecord>,
    sequence: u64,
}

impl Instance {
    fn report(&self, i: usize) -> Report {
        let names = ROUTES.iter().map(|name| (*name).to_owned());
        Report {
            instance: InstanceId {
                name: format!("entry-{i}"),
                incarnation: 1,
            },
            sequence: self.sequence,
            has_cut: self.evaluator.has_cut(),
            totals: names.zip(self.totals.iter().cloned()).collect(),
        }
    }
}

/// Simulation of one move.
pub struct Run {
    workload: Workload,
    case: Case,
    cfg: Move,
    rng: StdRng,
    instances: Vec<Instance>,
    evidence: Evidence,
    record: MoveRecord,
    onset_tick: u64,
    tick: u64,
    new_requests: u64,
    affected: u64,
    faulty: u64,
    late: u64,
    late_affected: u64,
    first_faulty_at: Option<MonoTime>,
    visible_at: Option<MonoTime>,
    last_new_at: Option<MonoTime>,
}

impl Run {
    pub fn new(workload: Workload, case: Case, strategy: Strategy, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let deadline = START.after(Duration::from_secs(workload.window_s));
        let cfg = Move {
            from: OLD,
            deadline,
            stages: STAGES.to_vec(),
        };
        let id = MoveId {
            service: workload.name.to_owned(),
            version: "new".to_owned(),
            deadline,
        };
        let record = MoveRecord::begin(id, 1, START);
        // Bucket of ten times the median, with four buckets per octave: 2 bits after the leading 1.
        let slow_bucket = (workload.median_ms * 10_000.0).log2() * 4.0 - 4.0;
        let instance = |_| Instance {
            evaluator: Evaluator::new(strategy, slow_bucket as usize),
            totals: Default::default(),
            record: Some(record.clone()),
            sequence: 0,
        };
        // The latest onset lies before the planned end of the last stage.
        let onset_tick = rng.random_range(0..workload.window_s * 7 / 10) * TICKS_PER_S;
        Self {
            workload,
            case,
            cfg,
            instances: (0..workload.instances).map(instance).collect(),
            rng,
            evidence: Evidence::default(),
            record,
            onset_tick,
            tick: 0,
            new_requests: 0,
            affected: 0,
            faulty: 0,
            late: 0,
            late_affected: 0,
            first_faulty_at: None,
            visible_at: None,
            last_new_at: None,
        }
    }

    /// Runs until the move has ended and every instance has received the final record.
    pub fn run(mut self) -> Outcome {
        let mut ended_at = None;
        loop {
            self.serve();
            if self.tick.is_multiple_of(TICKS_PER_S) {
                self.exchange();
            }
            if self.record.state.is_final() {
                let ended_at = *ended_at.get_or_insert(self.now());
                if self.now().since(ended_at) > CUT_GRACE * 2 {
                    return self.outcome(ended_at);
                }
            }
            self.tick += 1;
        }
    }

    fn now(&self) -> MonoTime {
        MonoTime::default().after(TICK * self.tick as u32)
    }

    fn wall(&self) -> UnixTime {
        START.after(TICK * self.tick as u32)
    }

    fn serve(&mut self) {
        let now = self.now();
        for i in 0..self.instances.len() {
            for (route, rate) in self.workload.rates.into_iter().enumerate() {
                let mean = rate * TICK.as_secs_f64() / self.instances.len() as f64;
                for _ in 0..poisson(mean, &mut self.rng) {
                    self.serve_one(i, route, now);
                }
            }
            let report = self.instances[i].report(i);
            self.instances[i].evaluator.observe_own(&report, now);
        }
    }

    fn serve_one(&mut self, i: usize, route: usize, now: MonoTime) {
        let instance = &self.instances[i];
        let limit = instance.evaluator.limit(now);
        let share = share(&self.cfg, instance.record.as_ref(), limit, self.wall());
        let moves = [ActiveMove {
            from: OLD,
            to: NEW,
            share,
        }];
        let side = match pick_version(OLD, &moves, &mut self.rng) {
            OLD => Side::Old,
            _ => Side::New,
        };
        let effect = match side {
            Side::Old => None,
            Side::New => self.case.effect(route, share, self.tick >= self.onset_tick),
        };
        let sample = self.sample(side, effect);
        let instance = &mut self.instances[i];
        instance.totals[route].record(side, share, sample);
        let is_running =
            !matches!(instance.record, Some(ref it) if it.state == MoveState::Finished);
        if side == Side::New && is_running {
            self.record_new_answer(effect, sample, now);
        }
    }

    fn record_new_answer(&mut self, effect: Option<Effect>, sample: Sample, now: MonoTime) {
        self.new_requests += 1;
        self.last_new_at = Some(now);
        let is_late = self.visible_at.is_some_and(|at| now.since(at) > CUT_GRACE);
        self.late += u64::from(is_late);
        self.late_affected += u64::from(is_late && effect.is_some());
        let Some(effect) = effect else {
            return;
        };
        self.affected += 1;
        let p90_ms = self.workload.median_ms * P90_PER_MEDIAN;
        let is_slow = sample.latency.as_secs_f64() * 1000.0 > p90_ms;
        if sample.is_error || effect.slowdown > 1.0 && is_slow {
            self.faulty += 1;
            self.first_faulty_at.get_or_insert(now);
        }
        if self.faulty == VISIBLE_AFTER_ANSWERS {
            self.visible_at.get_or_insert(now);
        }
    }

    fn sample(&mut self, side: Side, effect: Option<Effect>) -> Sample {
        let second = self.tick / TICKS_PER_S;
        let is_blip = self.case == Case::GoodBlips && second % 120 >= 117;
        let stage_age = self.wall().since(self.record.stage_since);
        let is_cold =
            self.case == Case::GoodCold && side == Side::New && stage_age < Duration::from_secs(20);
        let mut errors = BASE_ERROR_RATE;
        let mut slowdown = 1.0;
        if let Some(effect) = effect {
            errors += effect.errors;
            slowdown *= effect.slowdown;
        }
        if is_blip {
            errors += 0.2;
            slowdown *= 3.0;
        }
        if is_cold {
            slowdown *= 4.0;
        }
        if self.case == Case::GoodTenthSlower && side == Side::New {
            slowdown *= 1.1;
        }
        let latency_ms =
            self.workload.median_ms * slowdown * (LATENCY_SIGMA * normal(&mut self.rng)).exp();
        Sample {
            is_error: self.rng.random_bool(errors),
            is_cold,
            latency: Duration::from_secs_f64(latency_ms / 1000.0),
        }
    }

    /// Delivers the reports and the record of the previous second, advances the move with the first
    /// instance as leader, and collects new reports, some of which are lost.
    fn exchange(&mut self) {
        let now = self.now();
        for instance in &mut self.instances {
            if instance.record.as_ref() != Some(&self.record) {
                instance.record = Some(self.record.clone());
            }
            instance.evaluator.observe_fleet(&self.evidence, now);
        }
        let leader = &self.instances[0];
        let summary = Summary {
            is_faulty: leader.evaluator.has_cut() || self.evidence.has_cut(),
            is_suspect: leader.evaluator.is_suspect(now),
            reporting: self.instances.len() as u16,
            alive: self.instances.len() as u16,
        };
        if let Some(next) = advance(&self.cfg, &self.record, summary, 1, self.wall()) {
            self.record = next;
        }
        for (i, instance) in self.instances.iter_mut().enumerate() {
            instance.sequence += 1;
            if self.rng.random_bool(REPORT_LOSS_RATE) {
                continue;
            }
            self.evidence.merge(instance.report(i));
        }
    }

    fn outcome(self, ended_at: MonoTime) -> Outcome {
        let rate: f64 = self.workload.rates.iter().sum();
        let all = rate * self.workload.window_s as f64;
        let cut_after = |from: MonoTime| Some(self.last_new_at?.since(from).as_secs_f64());
        Outcome {
            state: self.record.state,
            ended_s: ended_at.since(MonoTime::default()).as_secs_f64(),
            new_share: self.new_requests as f64 / all,
            affected_share: self.affected as f64 / all,
            late: self.late,
            late_affected: self.late_affected,
            cut_after_s: self.first_faulty_at.and_then(cut_after),
        }
    }
}

fn poisson(mean: f64, rng: &mut StdRng) -> u32 {
    let limit = (-mean).exp();
    let mut product = rng.random::<f64>();
    let mut count = 0;
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}

fn normal(rng: &mut StdRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
