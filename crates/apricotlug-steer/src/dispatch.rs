//! Chooses a backend server for a request, sends it, and retries where that is safe and useful.

use std::{sync::Arc, time::Duration};

use apricotlug_http::Framing;
use apricotlug_model::{MonoTime, PlanService};
use apricotlug_policy::steer::{
    BackendKey, Cost, Ended, NoPlace, Patience, Verdict, Wanted, judge, retry_after_ms,
};
use async_std::task;
use futures::{FutureExt, StreamExt, future::BoxFuture, stream::FuturesUnordered};
use rand::RngExt;

use crate::{
    admission::{Job, Refusal},
    attempt::{Answer, Failed, Sending, Target, attempt},
    shared::Shared,
};

/// Largest number of backend servers that cannot be reached before a request is refused.
const MOST_UNREACHABLE: u32 = 3;

/// Delay before an idempotent request is also sent to a second backend server: a multiple of the
/// expected time, and at least this much beyond the expected time.
const HEDGE_FACTOR: f64 = 2.5;
const HEDGE_LEAST_MS: f64 = 250.0;

/// Delay before a retry, in milliseconds, if no backend server is available.
const NONE_THERE_MS: u64 = 300;

/// How a request ended.
#[derive(Debug)]
pub enum Outcome {
    /// A backend server responded.
    Answered(Box<Answer>),
    /// The request was refused, or whether it ran is unknown.
    Refused(Refusal),
}

/// Request whose attempts have ended.
#[derive(Debug)]
pub struct Ran {
    /// Response or refusal for the caller.
    pub outcome: Outcome,
    /// Id of the backend server of the last attempt; empty if there was none.
    pub backend: String,
    /// Number of attempts that connected to a backend server.
    pub attempts: u32,
}

/// Slot that an attempt holds at a backend server until it is dropped.
struct Permit<'a> {
    shared: &'a Shared,
    job: &'a Job,
    choice: Cost,
    version: String,
    started_at: MonoTime,
    slow_ms: f64,
    ended: Option<Ended>,
}

impl Permit<'_> {
    fn ms(&self) -> f64 {
        let now = self.shared.clock.now();
        now.since(self.started_at).as_secs_f64() * 1_000.0
    }

    fn is_slow(&self) -> bool {
        self.ms() > self.slow_ms
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        let is_slow = self.is_slow();
        // A cancelled attempt counts as a failure if the backend server had not responded for long.
        let given_up = if is_slow {
            Ended::Failed
        } else {
            Ended::Cancelled
        };
        let ended = self.ended.unwrap_or(given_up);
        let mut gate = self.shared.gate();
        let now = self.shared.clock.now();
        let route = &self.job.route().id;
        gate.fleet.on_end(&self.choice, route, ended, now);
        let is_good = match ended {
            Ended::Answered(_) => !is_slow,
            Ended::Failed => false,
            Ended::Unreachable | Ended::Refused | Ended::Cancelled => return,
        };
        gate.moves
            .on_answer(&self.job.service, &self.version, is_good);
    }
}

/// Attempt that has ended.
struct Landed {
    target: Target,
    version: String,
    result: Result<Answer, Failed>,
    ms: f64,
    is_slow: bool,
}

/// Results of the attempts so far.
#[derive(Default)]
struct Tried {
    keys: Vec<BackendKey>,
    sent: u32,
    unreachable: u32,
    may_have_run: bool,
    last: String,
    spare: Option<Box<Answer>>,
    why: &'static str,
}

struct Placed<'a> {
    permit: Permit<'a>,
    target: Target,
    load: u32,
}

/// Runs a request until a response arrives or no attempt is left.
pub async fn run(shared: &Arc<Shared>, job: &Job, sending: Sending<'_>) -> Ran {
    let mut tried = Tried::default();
    let mut flights: FuturesUnordered<BoxFuture<'_, Landed>> = FuturesUnordered::new();
    let mut hedge_at = MonoTime::MAX;
    loop {
        if flights.is_empty() {
            match place(shared, job, &tried) {
                Ok(placed) => {
                    hedge_at = launch(shared, job, sending, placed, &mut tried, &mut flights)
                }
                Err(refusal) => return give_up(tried, refusal),
            }
        }
        let wake_at = hedge_at.min(job.deadline);
        let timer = task::sleep(shared.clock.left(wake_at));
        let landed = futures::select! {
            landed = flights.next().fuse() => landed,
            () = timer.fuse() => None,
        };
        let Some(landed) = landed else {
            if job.deadline.is_past(shared.clock.now()) {
                drop(flights);
                return give_up(tried, Refusal::new(504, "Gateway Timeout", "timeout"));
            }
            hedge_at = MonoTime::MAX;
            if may_hedge(shared, job, &tried)
                && let Ok(placed) = place(shared, job, &tried)
                && shared.gate().take_again(&job.service, shared.clock.now())
            {
                launch(shared, job, sending, placed, &mut tried, &mut flights);
                hedge_at = MonoTime::MAX;
            }
            continue;
        };
        if let Some(answer) = take_up(shared, job, landed, &mut tried) {
            return Ran {
                outcome: Outcome::Answered(answer),
                backend: tried.last,
                attempts: tried.sent,
            };
        }
        if flights.is_empty() && !may_go_again(shared, job, &tried) {
            return give_up(
                tried,
                Refusal::new(503, "Service Unavailable", "no_more_attempts"),
            );
        }
    }
}

/// Starts an attempt. Returns the time at which a hedged attempt may follow.
fn launch<'a>(
    shared: &'a Arc<Shared>,
    job: &'a Job,
    sending: Sending<'a>,
    placed: Placed<'a>,
    tried: &mut Tried,
    flights: &mut FuturesUnordered<BoxFuture<'a, Landed>>,
) -> MonoTime {
    tried.keys.push(placed.permit.choice.key);
    tried.sent += 1;
    tried.last.clone_from(&placed.target.id);
    let expected = placed.permit.choice.expected_ms;
    let hedge_ms = (expected * HEDGE_FACTOR).max(expected + HEDGE_LEAST_MS);
    let started_at = shared.clock.now();
    flights.push(fly(shared, job, sending, placed).boxed());
    started_at.after(Duration::from_secs_f64(hedge_ms / 1_000.0))
}

async fn fly(shared: &Arc<Shared>, job: &Job, sending: Sending<'_>, placed: Placed<'_>) -> Landed {
    let mut permit = placed.permit;
    let choice = permit.choice;
    let result = attempt(shared, sending, &placed.target).await;
    let ms = permit.ms();
    let is_slow = permit.is_slow();
    tracing::info!(
        kind = "sent",
        request = job.asked.id,
        object = job.asked.object,
        backend = placed.target.id,
        data_centre = placed.target.data_centre,
        load = placed.load,
        warm = choice.warm,
        expected_ms = choice.expected_ms as u64,
        ms = ms as u64
    );
    permit.ended = Some(match &result {
        Ok(answer) if answer.head.status >= 500 => Ended::Failed,
        Ok(_) => Ended::Answered(ms),
        Err(Failed::Unreachable) => Ended::Unreachable,
        Err(Failed::Refused { .. }) => Ended::Refused,
        Err(Failed::Unknown(_)) => Ended::Failed,
    });
    if let Ok(answer) = &result {
        learn(shared, choice.key, answer, shared.clock.now());
    }
    Landed {
        target: placed.target,
        version: permit.version.clone(),
        result,
        ms,
        is_slow,
    }
}

fn learn(shared: &Shared, key: BackendKey, answer: &Answer, now: MonoTime) {
    let mut gate = shared.gate();
    let entry = gate.fleet.entry_mut(key);
    if let Some((running, waiting, _)) = answer.told.load {
        entry.on_load(now, running, waiting);
    }
    if let Some(cold_ms) = answer.told.cold_ms {
        entry
            .cold
            .set(now.after(Duration::from_millis(cold_ms.into())));
    }
}

/// Records an attempt that has ended. Returns its response if that one is final.
fn take_up(shared: &Shared, job: &Job, landed: Landed, tried: &mut Tried) -> Option<Box<Answer>> {
    let why = match landed.result {
        Ok(answer) if answer.head.status < 500 => return Some(Box::new(answer)),
        Ok(answer) => {
            tried.may_have_run = true;
            tried.spare = Some(Box::new(answer));
            "failed"
        }
        Err(Failed::Unreachable) => {
            tried.sent -= 1;
            tried.unreachable += 1;
            "unreachable"
        }
        Err(Failed::Refused { status: 421 }) => {
            // The address now belongs to another backend server.
            shared
                .gate()
                .fleet
                .entry_mut(landed.target.key)
                .on_misdirected(shared.clock.now());
            "misdirected"
        }
        Err(Failed::Refused { .. }) => "refused",
        Err(Failed::Unknown(why)) => {
            tried.may_have_run = true;
            why
        }
    };
    tried.why = why;
    shared.metrics.on_attempt(why);
    tracing::info!(
        kind = "attempt",
        request = job.asked.id,
        backend = landed.target.id,
        version = landed.version,
        result = why,
        ms = landed.ms as u64,
        is_slow = landed.is_slow
    );
    if tried.spare.is_some() && !job.route().exchange.may_repeat() {
        return tried.spare.take();
    }
    None
}

fn may_go_again(shared: &Shared, job: &Job, tried: &Tried) -> bool {
    if tried.why == "unreachable" {
        return tried.unreachable < MOST_UNREACHABLE;
    }
    let is_allowed = !tried.may_have_run || job.route().exchange.may_repeat();
    let now = shared.clock.now();
    is_allowed
        && tried.sent < job.route().attempts
        && !job.deadline.is_past(now)
        && shared.gate().take_again(&job.service, now)
}

fn may_hedge(shared: &Shared, job: &Job, tried: &Tried) -> bool {
    job.route().exchange.may_repeat()
        && tried.sent < job.route().attempts
        && !job.deadline.is_past(shared.clock.now())
}

/// Returns the outcome for the caller if no attempt gave a final response.
fn give_up(mut tried: Tried, refusal: Refusal) -> Ran {
    let outcome = match tried.spare.take() {
        Some(answer) => Outcome::Answered(answer),
        None if tried.may_have_run && refusal.status == 503 => {
            Outcome::Refused(Refusal::new(502, "Bad Gateway", tried.why))
        }
        None => {
            let is_sent = tried.sent > 0;
            let retry_ms = refusal
                .retry_ms
                .or((refusal.status == 503).then_some(NONE_THERE_MS));
            Outcome::Refused(Refusal {
                why: if is_sent && refusal.status == 503 {
                    tried.why
                } else {
                    refusal.why
                },
                retry_ms,
                ..refusal
            })
        }
    };
    Ran {
        outcome,
        backend: tried.last,
        attempts: tried.sent,
    }
}

/// Chooses a backend server and takes a slot there, which is released when the result is dropped.
fn place<'a>(shared: &'a Shared, job: &'a Job, tried: &Tried) -> Result<Placed<'a>, Refusal> {
    let settings = shared.settings();
    let now = shared.clock.now();
    let mut guard = shared.gate();
    let gate = &mut *guard;
    let drawn = gate.moves.draw(&job.service, &mut gate.rng, now);
    let target = drawn.as_ref().map(|drawn| drawn.target.as_str());
    let mut is_target = drawn.as_ref().is_some_and(|drawn| drawn.is_target);
    let mut may_fall_back = drawn.as_ref().is_some_and(|drawn| drawn.may_fall_back);
    let route = job.route();
    let homes: &[String] = job.account().map_or(&[], |account| &account.homes);
    let service: Option<&PlanService> = job.plan.services.get(&job.service);
    let patience = Patience {
        left_ms: job.deadline.since(now).as_secs_f64() * 1_000.0,
        target_left_ms: job.target_at.since(now).as_secs_f64() * 1_000.0,
        target_ms: route.target_ms.into(),
    };
    loop {
        let wanted = Wanted {
            service: &job.service,
            route: &route.id,
            object: job.object,
            is_large: route.exchange == apricotlug_model::Exchange::Download,
            region: settings.region(),
            data_centre: &settings.data_centre,
            homes: [&route.homes, homes],
            evacuated: &job.evacuated,
            versions: target.map(|target| (target, is_target)),
            tried: &tried.keys,
            cold_rate: service.map_or(0.0, |service| service.cold_rate),
            instances: gate.carriers().count,
            own_place: gate.carriers().own_place,
            is_wide: gate.hubs().is_needed,
        };
        let chosen = gate.fleet.choose(&wanted, route.target_ms, now);
        if chosen.is_err() && std::mem::take(&mut may_fall_back) {
            is_target = !is_target;
            continue;
        }
        let choice = chosen.map_err(|reason| no_place(gate, reason, patience))?;
        let why = match judge(
            patience,
            choice.expected_ms,
            choice.wait_ms,
            choice.is_known,
        ) {
            Verdict::Go => None,
            Verdict::TooLate => Some("too_late"),
            Verdict::Crowded => Some("crowded"),
        };
        if let Some(why) = why {
            let draw = gate.rng.random::<f64>();
            let ms = retry_after_ms(patience, choice.expected_ms, draw);
            tracing::info!(
                kind = "not_placed",
                request = job.asked.id,
                result = why,
                backend = gate.fleet.entry(choice.key).backend.id,
                load = gate.fleet.entry(choice.key).load(now),
                expected_ms = choice.expected_ms as u64,
                wait_ms = choice.wait_ms as u64,
                target_left_ms = patience.target_left_ms as u64,
                left_ms = patience.left_ms as u64,
                retry_ms = ms
            );
            return Err(Refusal::new(503, "Service Unavailable", why).later(ms));
        }
        gate.fleet.on_send(&wanted, choice.key, now);
        let entry = gate.fleet.entry(choice.key);
        return Ok(Placed {
            permit: Permit {
                shared,
                job,
                choice,
                version: entry.backend.version.clone(),
                started_at: now,
                slow_ms: choice.slow_ms.max(route.target_ms.into()),
                ended: None,
            },
            load: entry.load(now),
            target: Target {
                key: choice.key,
                id: entry.backend.id.clone(),
                addr: entry.backend.addr,
                data_centre: entry.backend.data_centre.clone(),
                is_far: entry.region != settings.region(),
                deadline: job.deadline,
                may_repeat: route.exchange.may_repeat(),
            },
        });
    }
}

fn no_place(gate: &mut crate::steering::Gate, reason: NoPlace, patience: Patience) -> Refusal {
    match reason {
        NoPlace::None => {
            Refusal::new(503, "Service Unavailable", "none_there").later(NONE_THERE_MS)
        }
        NoPlace::Full => {
            let draw = gate.rng.random::<f64>();
            let ms = retry_after_ms(patience, patience.left_ms / 2.0, draw);
            Refusal::new(503, "Service Unavailable", "all_full").later(ms)
        }
    }
}

/// Returns the framing for a body that was read completely.
#[must_use]
pub fn whole(framing: Framing, body: &[u8]) -> Framing {
    match framing {
        Framing::Empty => Framing::Empty,
        _ => Framing::Length(body.len() as u64),
    }
}
