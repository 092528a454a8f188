//! Requests: look-up, queueing, placement and refusal.

use std::time::Duration;

use apricotlug_model::{RegionKey, ServiceKey, UnixTime};
use apricotlug_policy::placement::{PlacementConstraints, WaitQueue};
use rand::RngExt;

use super::{super::scenario::Fault, Event, MAX_WAIT, REQUEST_TIMEOUT, Request, Sim};

impl Sim {
    pub(super) fn call(&mut self, service: u32, region: u32) {
        self.schedule_call(service, region);
        let client_region = RegionKey(region);
        let Some((client, instance)) = self.find_instance(client_region) else {
            return;
        };
        let is_surge =
            self.scenario.fault == Fault::DemandSurge && self.is_fault_active() && region == 0;
        self.requests.push(Request {
            client,
            service: ServiceKey(service),
            client_region,
            instance,
            arrived_at: self.now,
            deadline: self.now.after(REQUEST_TIMEOUT),
            is_in_rate: !(is_surge && self.rng.random_ratio(1, 8)),
            tried_endpoints: Vec::new(),
        });
        self.stats.requests += 1;
        self.instances[instance]
            .retry_budget
            .record_request(self.now);
        let request = self.requests.len() - 1;
        let waiting = &self.instances[instance].waiting[self.queue_of(request)];
        if waiting.is_empty() && self.try_place(request) {
            return;
        }
        self.enqueue(request);
    }

    /// Picks a random client of the region. Returns it and the instance that it calls, or `None` if
    /// the look-up named no instance or that instance has failed.
    pub(super) fn find_instance(&mut self, region: RegionKey) -> Option<(usize, usize)> {
        let local: Vec<_> = (0..self.clients.len())
            .filter(|&i| self.clients[i].region == region)
            .collect();
        let index = local[self.rng.random_range(0..local.len())];
        let client = &mut self.clients[index];
        let now = UnixTime(self.now.0);
        if client.expires_at.is_past(now) {
            let answer = self
                .directory
                .lookup(&self.bundle, client.addr, now, &mut self.rng);
            client.instance = answer.instances.first().map(|addr| addr.port().into());
            client.expires_at = answer.expires_at;
        }
        if client.instance.is_none() {
            self.stats.requests += 1;
            self.stats.refused += 1;
            self.stats.refused_in_rate += 1;
            self.stats.refused_at_lookup += 1;
        }
        let instance = client.instance.filter(|&i| !self.instances[i].is_dead)?;
        Some((index, instance))
    }

    pub(super) fn enqueue(&mut self, request: usize) {
        let instance = self.requests[request].instance;
        let queue = self.queue_of(request);
        let expires_at = self.now.after(MAX_WAIT);
        if self
            .queue(instance, queue)
            .push(request, expires_at)
            .is_err()
        {
            self.refuse(request);
            return;
        }
        self.at(expires_at, Event::Retry { instance, queue });
    }

    /// Returns the index of a request's queue. Shifted-in requests have a queue of their own, so
    /// that their cap doesn't block other requests.
    pub(super) fn queue_of(&self, request: usize) -> usize {
        let service = usize::from(self.requests[request].service);
        service * 2 + usize::from(self.is_shifted_in(request))
    }

    pub(super) fn is_shifted_in(&self, request: usize) -> bool {
        let call = &self.requests[request];
        let home = self.instances[call.instance].policy.home;
        call.client_region != self.bundle.data_centres[home].region
    }

    pub(super) fn drain_waiting(&mut self, instance: usize, queue: usize) {
        let now = self.now;
        while let Some(request) = self.queue(instance, queue).pop_expired(now) {
            self.refuse(request);
        }
        while let Some(waiting) = self.queue(instance, queue).pop() {
            if !self.try_place(waiting.request) {
                self.queue(instance, queue).push_front(waiting);
                return;
            }
        }
    }

    pub(super) fn queue(&mut self, instance: usize, queue: usize) -> &mut WaitQueue<usize> {
        &mut self.instances[instance].waiting[queue]
    }

    /// Refuses a request as not run. A client in its home region repeats the look-up before its
    /// next request; a shifted client keeps its look-up answer, which is already charged.
    pub(super) fn refuse(&mut self, request: usize) {
        let call = &self.requests[request];
        let client = &mut self.clients[call.client];
        let is_same_answer = client.instance == Some(call.instance);
        let home = self.instances[call.instance].policy.home;
        if is_same_answer && self.bundle.data_centres[home].region == client.region {
            let expires_at = std::mem::take(&mut client.expires_at);
            let now = UnixTime(self.now.0);
            self.directory
                .release_home_answer(&self.bundle, client.addr, expires_at, now);
        }
        self.stats.refused += 1;
        self.stats.refused_in_rate += u64::from(self.requests[request].is_in_rate);
    }

    /// Places an attempt. If that is refused, schedules a retry and returns false.
    pub(super) fn try_place(&mut self, request: usize) -> bool {
        let queue = self.queue_of(request);
        let call = &self.requests[request];
        let instance = &mut self.instances[call.instance];
        let region = self.bundle.data_centres[instance.policy.home].region;
        let constraints = PlacementConstraints {
            service: call.service,
            version: None,
            exclude: &call.tried_endpoints,
        };
        let is_shifted_in = call.client_region != region;
        let placed = instance.policy.place(
            &self.bundle,
            &constraints,
            is_shifted_in,
            call.arrived_at,
            self.now,
            &mut self.rng,
        );
        match placed {
            Ok((endpoint, ticket)) => {
                self.send(request, endpoint, ticket);
                true
            }
            Err(refusal) => {
                let retry = Event::Retry {
                    instance: call.instance,
                    queue,
                };
                self.at(
                    refusal
                        .retry_at
                        .max(self.now.after(Duration::from_millis(1))),
                    retry,
                );
                false
            }
        }
    }
}
