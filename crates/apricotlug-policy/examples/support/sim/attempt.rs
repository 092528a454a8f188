//! Attempts, from the instance to the backend server and back.

use std::time::Duration;

use apricotlug_model::{EndpointKey, Repeat};
use apricotlug_policy::{
    placement::{Outcome, Ticket},
    retry::AttemptState,
};

use super::{
    super::backend::{Arrival, Behaviour, Job},
    Attempt, CONNECT_TIMEOUT, End, Event, Sim,
};

impl Sim {
    pub(super) fn send(&mut self, request: usize, endpoint: EndpointKey, ticket: Option<Ticket>) {
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            endpoint,
            ticket,
            sent_at: self.now,
            is_settled: false,
        });
        self.stats.attempts += 1;
        self.stats.drain_violations += u64::from(self.bundle.endpoints[endpoint].is_draining);
        self.requests[request].tried_endpoints.push(endpoint);
        self.count_foreign(attempt, 1);
        self.at(
            self.now.after(self.delay(attempt)),
            Event::Arrive { attempt },
        );
        let deadline = self.requests[request]
            .deadline
            .after(Duration::from_micros(1));
        self.at(
            deadline,
            Event::Settle {
                attempt,
                end: End::TimedOut,
            },
        );
    }

    pub(super) fn count_foreign(&mut self, attempt: usize, change: i32) {
        let Attempt {
            request, endpoint, ..
        } = self.attempts[attempt];
        let region = self.bundle.region_of(endpoint);
        if self.requests[request].client_region == region {
            return;
        }
        let count = &mut self.foreign_requests[usize::from(region)];
        *count = count.saturating_add_signed(change);
        let slots = self.backends.iter().filter(|b| b.region == region);
        let slots: u32 = slots.map(|b| b.slots).sum();
        let cap = slots * u32::from(self.bundle.regions[region].shift_cap_percent) / 100;
        self.stats.cap_excess = self.stats.cap_excess.max(count.saturating_sub(cap));
    }

    pub(super) fn delay(&self, attempt: usize) -> Duration {
        let Attempt {
            request, endpoint, ..
        } = self.attempts[attempt];
        let home = self.instances[self.requests[request].instance].policy.home;
        let data_centre = self.bundle.data_centre_of(endpoint);
        let region = self.bundle.region_of(endpoint);
        let micros = if data_centre == home {
            100
        } else if region == self.bundle.data_centres[home].region {
            self.scenario.fleet.intra_region_delay_us
        } else {
            self.scenario.fleet.inter_region_delay_us
        };
        Duration::from_micros(micros.into())
    }

    pub(super) fn arrive_at_backend(&mut self, attempt: usize) {
        let job = Job {
            id: attempt,
            deadline: self.requests[self.attempts[attempt].request].deadline,
        };
        let endpoint = self.attempts[attempt].endpoint;
        let back_at = self.now.after(self.delay(attempt));
        match self.backends[usize::from(endpoint)].arrive(job, &mut self.rng) {
            Arrival::Runs(micros) => self.schedule_finish(job, micros),
            Arrival::Queued => self.stats.overloads += 1,
            Arrival::Shed => {
                self.stats.overloads += 1;
                self.at(
                    back_at,
                    Event::Settle {
                        attempt,
                        end: End::Shed,
                    },
                );
            }
            Arrival::Lost => {
                let end = End::ConnectFailed;
                self.at(
                    self.now.after(CONNECT_TIMEOUT),
                    Event::Settle { attempt, end },
                );
            }
        }
    }

    pub(super) fn schedule_finish(&mut self, job: Job, micros: u64) {
        let at = self
            .now
            .after(Duration::from_micros(micros))
            .min(job.deadline);
        self.at(at, Event::Finish { attempt: job.id });
    }

    pub(super) fn finish(&mut self, attempt: usize) {
        let endpoint = usize::from(self.attempts[attempt].endpoint);
        let backend = &mut self.backends[endpoint];
        let behaviour = backend.behaviour;
        if let Some((next, micros)) = backend.finish(self.now, &mut self.rng) {
            self.schedule_finish(next, micros);
        }
        let end = match behaviour {
            Behaviour::Dead => return,
            Behaviour::FailsFast => End::ServerError,
            Behaviour::Healthy | Behaviour::Slow(_) => End::Good,
        };
        self.at(
            self.now.after(self.delay(attempt)),
            Event::Settle { attempt, end },
        );
    }

    pub(super) fn settle(&mut self, attempt: usize, end: End) {
        if std::mem::replace(&mut self.attempts[attempt].is_settled, true) {
            return;
        }
        self.count_foreign(attempt, -1);
        let Attempt {
            request,
            endpoint,
            ticket,
            sent_at,
            ..
        } = self.attempts[attempt];
        let latency = self.now.since(sent_at);
        let outcome = match end {
            End::Good | End::ServerError => Outcome::Answered {
                latency,
                server_error: end == End::ServerError,
            },
            End::Shed => Outcome::Shed,
            End::ConnectFailed => Outcome::ConnectFailed,
            End::TimedOut => Outcome::TimedOut,
        };
        let instance = self.requests[request].instance;
        self.instances[instance]
            .policy
            .settle(endpoint, ticket, outcome, self.now);
        self.complete(request, end);
        for queue in 0..self.instances[instance].waiting.len() {
            self.drain_waiting(instance, queue);
        }
    }

    pub(super) fn complete(&mut self, request: usize, end: End) {
        let call = &self.requests[request];
        if self.instances[call.instance].is_dead {
            return;
        }
        if end == End::Good {
            self.stats.answered += 1;
            self.stats
                .record_latency(self.now.since(call.arrived_at).as_micros() as u64);
            return;
        }
        let state = match end {
            End::Shed | End::ConnectFailed => AttemptState::NotSent,
            _ => AttemptState::PerhapsRun,
        };
        let attempt = call.tried_endpoints.len() as u32;
        let retry_budget = &mut self.instances[call.instance].retry_budget;
        let decision =
            retry_budget.try_retry(self.now, call.deadline, attempt, Repeat::Idempotent, state);
        if !decision.is_retry() || !self.try_place(request) {
            self.stats.failed += 1;
        }
    }
}
