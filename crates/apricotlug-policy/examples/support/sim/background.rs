//! Events other than requests: samples, load reports, probes and faults.

use std::{collections::HashSet, net::SocketAddr};

use apricotlug_model::{EndpointKey, RegionKey, UnixTime};
use apricotlug_policy::{
    lookup::{InstanceEntry, InstanceState},
    placement::{LoadReport, Outcome, ShareHolder},
};

use super::{
    super::{backend::Behaviour, scenario::Fault},
    DETECTION_TIME, Event, PROBE_TIME, REPORT_INTERVAL, REQUEST_TIMEOUT, SAMPLE_INTERVAL,
    SAMPLES_PER_SPAN, Sim,
};

impl Sim {
    pub(super) fn sample(&mut self) {
        for (region, busy) in self.bundle.regions.keys().zip(&mut self.busy_samples) {
            let local = self.backends.iter().filter(|b| b.region == region);
            *busy += local.map(|b| b.busy).sum::<u32>();
        }
        self.samples += 1;
        if self.samples == SAMPLES_PER_SPAN {
            self.samples = 0;
            for (region, busy) in self.bundle.regions.keys().zip(&mut self.busy_samples) {
                let local = self.backends.iter().filter(|b| b.region == region);
                let slots: u32 = local.map(|b| b.slots).sum();
                let busy_fraction = f64::from(*busy) / f64::from(slots * SAMPLES_PER_SPAN);
                self.stats.headroom = self.stats.headroom.min(1.0 - busy_fraction);
                *busy = 0;
            }
        }
        if self.now < self.scenario.ends_at {
            self.at(self.now.after(SAMPLE_INTERVAL), Event::Sample);
        }
    }

    /// Updates the look-up directory with the instances' states and loads.
    pub(super) fn update_directory(&mut self) {
        let is_dead_known = self.now >= self.scenario.fault_at.after(DETECTION_TIME);
        let holders = self.scenario.fleet.holders();
        let live = self.instances.iter().filter(|i| !i.is_dead).count();
        let entry = |(i, holder): (usize, ShareHolder)| InstanceEntry {
            id: holder.id,
            addr: SocketAddr::from(([127, 0, 0, 1], i as u16)),
            data_centre: holder.data_centre,
            state: match self.instances[i].is_dead && is_dead_known {
                true => InstanceState::Dead,
                false => InstanceState::Ready,
            },
            load: self.instances[i].policy.load(&self.bundle, live, self.now),
        };
        let entries: Vec<_> = holders.into_iter().enumerate().map(entry).collect();
        self.directory
            .update(&self.bundle, &self.bundle, &entries, UnixTime(self.now.0));
    }

    /// Delivers load reports with the load sampled one interval ago, then samples the load for the
    /// next ones.
    pub(super) fn deliver_reports(&mut self) {
        self.probe();
        self.update_directory();
        let has_false_reports = self.scenario.fault == Fault::FalseReport && self.is_fault_active();
        for key in self.bundle.endpoints.keys() {
            let backend = &self.backends[usize::from(key)];
            let is_false = has_false_reports && key == EndpointKey(0);
            let report = LoadReport {
                healthy: is_false || !has_false_reports && backend.behaviour == Behaviour::Healthy,
                outstanding: match is_false {
                    true => 0,
                    false => self.reported[usize::from(key)],
                },
                draining: backend.is_draining,
                stale_at: self.now.after(REPORT_INTERVAL * 3),
            };
            for instance in &mut self.instances {
                instance.policy.set_report(key, report, self.now);
            }
            self.reported[usize::from(key)] = backend.busy;
        }
        if self.now < self.scenario.ends_at {
            self.at(self.now.after(REPORT_INTERVAL), Event::Report);
        }
    }

    /// Probes the endpoints whose ejection has ended.
    pub(super) fn probe(&mut self) {
        for instance in &mut self.instances {
            for key in instance.policy.placement.due_probes(self.now) {
                let outcome = match self.backends[usize::from(key)].behaviour {
                    Behaviour::Dead => Outcome::ConnectFailed,
                    _ => Outcome::Answered {
                        latency: PROBE_TIME,
                        server_error: false,
                    },
                };
                instance
                    .policy
                    .placement
                    .settle_probe(key, outcome, self.now);
            }
        }
    }

    pub(super) fn fault(&mut self, is_start: bool) {
        let fault = self.scenario.fault;
        if !is_start {
            for backend in &mut self.backends {
                backend.behaviour = Behaviour::Healthy;
            }
            return;
        }
        fault.inject(&mut self.backends);
        if fault == Fault::RegionOutage {
            self.kill_instances(RegionKey(0));
        }
        if let Some(bundle) = fault.bundle(&self.bundle) {
            for instance in &mut self.instances {
                instance
                    .policy
                    .placement
                    .update(&self.bundle, &bundle, self.now);
            }
            let old = std::mem::replace(&mut self.bundle, bundle);
            self.directory
                .update(&old, &self.bundle, &[], UnixTime(self.now.0));
            self.update_directory();
        }
    }

    /// Marks a region's instances as failed and splits the slots among the remaining ones.
    pub(super) fn kill_instances(&mut self, region: RegionKey) {
        let holders = self.scenario.fleet.holders();
        let mut dead = HashSet::new();
        for (i, holder) in holders.iter().enumerate() {
            if self.bundle.data_centres[holder.data_centre].region == region {
                self.instances[i].is_dead = true;
                dead.insert(holder.id.clone());
            }
        }
        let live: Vec<_> = holders
            .iter()
            .filter(|h| !dead.contains(&h.id))
            .cloned()
            .collect();
        let usable_at = self.now.after(REQUEST_TIMEOUT);
        for (instance, holder) in self.instances.iter_mut().zip(&holders) {
            let placement = &mut instance.policy.placement;
            placement.set_slot_share(&self.bundle, &live, &holder.id, usable_at, self.now);
        }
    }
}
