//! Simulation of instances, clocks, messages and the platform in virtual time, in microseconds.

use std::{collections::BTreeMap, time::Duration};

use apricotlug_model::{
    Account, AccountKey, Bundle, BundleVersion, InstanceId, MonoTime, UnixTime,
};
use apricotlug_policy::budget::{
    Admission, Allotments, Budgets, DataCentrePlan, DataCentrePlanWire, InstancePlan,
    InstancePlanWire, LeaseTerms as Terms, Now, Plan, Report, Share, Transfer,
    update_data_centre_plan, update_instance_plan,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Wall clock at the start of a run, in microseconds.
const EPOCH: u64 = 1_700_000_000_000_000;

/// Age beyond which a report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// Probabilities of message and platform faults, largest message delay, and clock skew.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub loss: f64,
    pub duplication: f64,
    pub delayed_write: f64,
    pub lost_response: f64,
    pub stale_read: f64,
    /// Whether message faults apply to transfers and their acknowledgements only.
    pub is_lending_only: bool,
    pub max_delay: Duration,
    pub skew: Duration,
}

#[derive(Clone, Debug)]
pub enum Message {
    Report(Report),
    Allotments(Allotments),
    Transfer(Transfer),
    Acknowledgement(Transfer),
}

struct Envelope {
    at: u64,
    to: InstanceId,
    message: Message,
}

pub struct Instance {
    pub id: InstanceId,
    pub data_centre: usize,
    pub budgets: Budgets,
    pub bundle: Bundle,
    pub is_alive: bool,
    pub paused_until: u64,
    started: u64,
    skew: i64,
    reports: BTreeMap<InstanceId, (u64, Report)>,
    cached_dc_plan: Option<(u64, Option<DataCentrePlan>)>,
}

impl Instance {
    pub fn now(&self, time: u64) -> Now {
        let unix = (EPOCH + time).saturating_add_signed(self.skew);
        Now {
            mono: MonoTime(time - self.started),
            unix: UnixTime(unix),
        }
    }

    pub fn is_running(&self, time: u64) -> bool {
        self.is_alive && self.paused_until <= time
    }
}

struct DelayedWrite {
    at: u64,
    dc_plan: Option<(u64, DataCentrePlan)>,
    plan: Option<(usize, u64, InstancePlan)>,
}

/// Plan records with their versions in the simulated platform, and the number of calls and bytes.
#[derive(Default)]
pub struct Platform {
    pub is_up: bool,
    pub calls: u64,
    pub bytes: u64,
    pub conflicts: u64,
    dc_plan: (u64, Option<String>),
    plans: Vec<(u64, Option<String>)>,
}

impl Platform {
    fn read_dc_plan(&mut self) -> (u64, Option<DataCentrePlan>) {
        self.record_call(self.dc_plan.1.as_ref().map_or(0, String::len));
        let plan = self.dc_plan.1.as_ref().map(|text| {
            let wire: DataCentrePlanWire = serde_json::from_str(text).unwrap();
            Plan::try_from(wire).unwrap()
        });
        (self.dc_plan.0, plan)
    }

    fn read_instance_plan(&mut self, dc: usize) -> (u64, Option<InstancePlan>) {
        self.record_call(self.plans[dc].1.as_ref().map_or(0, String::len));
        let plan = self.plans[dc].1.as_ref().map(|text| {
            let wire: InstancePlanWire = serde_json::from_str(text).unwrap();
            Plan::try_from(wire).unwrap()
        });
        (self.plans[dc].0, plan)
    }

    fn write_dc_plan(&mut self, version: u64, plan: &DataCentrePlan) -> bool {
        let text = serde_json::to_string(&DataCentrePlanWire::from(plan)).unwrap();
        self.record_call(text.len());
        swap(&mut self.dc_plan, version, text, &mut self.conflicts)
    }

    fn write_instance_plan(&mut self, dc: usize, version: u64, plan: &InstancePlan) -> bool {
        let text = serde_json::to_string(&InstancePlanWire::from(plan)).unwrap();
        self.record_call(text.len());
        swap(&mut self.plans[dc], version, text, &mut self.conflicts)
    }

    fn record_call(&mut self, bytes: usize) {
        self.calls += 1;
        self.bytes += bytes as u64;
    }
}

/// Writes a record if its version matches; counts a mismatch in `lost`.
fn swap(record: &mut (u64, Option<String>), version: u64, text: String, lost: &mut u64) -> bool {
    if record.0 != version {
        *lost += 1;
        return false;
    }
    *record = (version + 1, Some(text));
    true
}

pub struct Fleet {
    pub time: u64,
    pub rng: StdRng,
    pub bundle: Bundle,
    pub instances: Vec<Instance>,
    pub platform: Platform,
    pub cut_off: Vec<bool>,
    pub faults: Faults,
    pub terms: Terms,
    undelivered: Vec<Envelope>,
    delayed_writes: Vec<DelayedWrite>,
    last_incarnation: u64,
}

pub fn bundle(version: u64, accounts: &[(&str, u32, u32)]) -> Bundle {
    Bundle {
        version: BundleVersion(version),
        accounts: accounts
            .iter()
            .map(|(id, rate, burst)| Account {
                id: (*id).to_owned(),
                rate: *rate,
                burst: *burst,
            })
            .collect(),
        ..Bundle::default()
    }
}

impl Fleet {
    pub fn new(sizes: &[usize], bundle: Bundle, terms: Terms, faults: Faults, seed: u64) -> Self {
        let mut fleet = Self {
            time: 0,
            rng: StdRng::seed_from_u64(seed),
            bundle,
            instances: Vec::new(),
            platform: Platform {
                is_up: true,
                plans: vec![(0, None); sizes.len()],
                ..Platform::default()
            },
            cut_off: vec![false; sizes.len()],
            faults,
            terms,
            undelivered: Vec::new(),
            delayed_writes: Vec::new(),
            last_incarnation: 0,
        };
        for (dc, size) in sizes.iter().enumerate() {
            for _ in 0..*size {
                fleet.start(dc);
            }
        }
        fleet
    }

    /// Starts a process with empty memory.
    pub fn start(&mut self, data_centre: usize) -> usize {
        self.last_incarnation += 1;
        let id = InstanceId {
            name: format!("dc{data_centre}-{}", self.last_incarnation),
            incarnation: self.last_incarnation,
        };
        let max_offset = self.faults.skew.as_micros() as i64 / 2;
        let skew = if self.rng.random_bool(0.5) {
            max_offset
        } else {
            -max_offset
        };
        self.instances.push(Instance {
            budgets: Budgets::new(id.clone(), &self.bundle, MonoTime(0)),
            id,
            bundle: self.bundle.clone(),
            data_centre,
            is_alive: true,
            paused_until: 0,
            started: self.time,
            skew,
            reports: BTreeMap::new(),
            cached_dc_plan: None,
        });
        self.instances.len() - 1
    }

    pub fn crash(&mut self, i: usize) {
        self.instances[i].is_alive = false;
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.instances.len())
            .filter(|i| self.instances[*i].is_running(self.time))
            .collect()
    }

    pub fn admit(&mut self, i: usize, account: AccountKey) -> bool {
        let now = self.instances[i].now(self.time);
        let admission = self.instances[i].budgets.admit(account, now.mono);
        admission == Admission::Granted
    }

    pub fn send(&mut self, to: &InstanceId, message: &Message) {
        let is_lending = matches!(message, Message::Transfer(_) | Message::Acknowledgement(_));
        let faults = if self.faults.is_lending_only && !is_lending {
            Faults::default()
        } else {
            self.faults
        };
        let copies = 1 + u32::from(self.rng.random_bool(faults.duplication));
        for _ in 0..copies {
            if self.rng.random_bool(faults.loss) {
                continue;
            }
            let delay = faults.max_delay.as_micros() as u64;
            let at = self.time + self.rng.random_range(0..=delay);
            self.undelivered.push(Envelope {
                at,
                to: to.clone(),
                message: message.clone(),
            });
        }
    }

    pub fn deliver(&mut self) {
        let (due, later) = std::mem::take(&mut self.undelivered)
            .into_iter()
            .partition(|envelope| envelope.at <= self.time);
        self.undelivered = later;
        let due: Vec<Envelope> = due;
        for envelope in due {
            let time = self.time;
            let found = self.instances.iter_mut().find(|i| i.id == envelope.to);
            let Some(instance) = found.filter(|i| i.is_alive) else {
                continue;
            };
            if !instance.is_running(time) {
                let at = instance.paused_until;
                self.undelivered.push(Envelope { at, ..envelope });
                continue;
            }
            let now = instance.now(time);
            match envelope.message {
                Message::Report(report) => {
                    instance
                        .reports
                        .insert(report.instance.clone(), (time, report));
                }
                Message::Allotments(allotments) => {
                    instance.budgets.install(&allotments, now);
                }
                Message::Transfer(transfer) => {
                    instance.budgets.receive(&transfer, now);
                }
                Message::Acknowledgement(transfer) => {
                    instance.budgets.acknowledge(&transfer, now.mono);
                }
            }
        }
        self.apply_delayed_writes();
    }

    fn apply_delayed_writes(&mut self) {
        let time = self.time;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.delayed_writes)
            .into_iter()
            .partition(|w| w.at <= time);
        self.delayed_writes = later;
        if !self.platform.is_up {
            return;
        }
        for write in due {
            if let Some((version, plan)) = write.dc_plan {
                self.platform.write_dc_plan(version, &plan);
            }
            if let Some((dc, version, plan)) = write.plan {
                self.platform.write_instance_plan(dc, version, &plan);
            }
        }
    }

    /// Sends a report of every running instance to all instances of its data centre.
    pub fn report(&mut self) {
        for i in self.running() {
            let now = self.instances[i].now(self.time);
            let report = self.instances[i].budgets.report(now.mono);
            let dc = self.instances[i].data_centre;
            for to in self.peers(dc) {
                self.send(&to, &Message::Report(report.clone()));
            }
        }
    }

    fn peers(&self, dc: usize) -> Vec<InstanceId> {
        self.instances
            .iter()
            .filter(|i| i.is_alive && i.data_centre == dc)
            .map(|i| i.id.clone())
            .collect()
    }

    /// Updates the plans by one instance of a data centre and sends out the allotments. Does
    /// nothing while the platform is down or the data centre is cut off.
    pub fn write(&mut self, writer: usize) {
        let dc = self.instances[writer].data_centre;
        if !self.platform.is_up || self.cut_off[dc] {
            return;
        }
        let now = self.instances[writer].now(self.time).unix;
        let reports = self.recent_reports(writer);
        let name = format!("dc{dc}");
        let (dc_plan_version, mut dc_plan) = self.cached_dc_plan(writer);
        let (plan_version, mut plan) = self.platform.read_instance_plan(dc);
        let next = update_data_centre_plan(
            dc_plan.as_ref(),
            &name,
            &self.instances[writer].bundle,
            plan.as_ref(),
            &reports,
            self.terms,
            now,
        );
        if let Some(next) = next {
            if self.rng.random_bool(self.faults.delayed_write) {
                self.delay_write(Some((dc_plan_version, next)), None);
            } else if self.platform.write_dc_plan(dc_plan_version, &next) {
                dc_plan = Some(next);
            }
        }
        let Some(dc_plan) = dc_plan.filter(|_| !self.rng.random_bool(self.faults.lost_response))
        else {
            return;
        };
        let next = update_instance_plan(plan.as_ref(), &dc_plan, &name, &reports, self.terms, now);
        if let Some(next) = next {
            if self.rng.random_bool(self.faults.delayed_write) {
                self.delay_write(None, Some((dc, plan_version, next)));
            } else if self.platform.write_instance_plan(dc, plan_version, &next) {
                plan = Some(next);
            }
        }
        for to in self.peers(dc) {
            let allotments = plan.as_ref().and_then(|plan| plan.allotments(&to));
            if let Some(allotments) = allotments {
                self.send(&to, &Message::Allotments(allotments));
            }
        }
    }

    /// Returns the data centre plan as read now or, with probability `stale_read`, as read last.
    fn cached_dc_plan(&mut self, writer: usize) -> (u64, Option<DataCentrePlan>) {
        let cached = self.instances[writer].cached_dc_plan.clone();
        match cached.filter(|_| self.rng.random_bool(self.faults.stale_read)) {
            Some(cached) => cached,
            None => {
                let read = self.platform.read_dc_plan();
                self.instances[writer].cached_dc_plan = Some(read.clone());
                read
            }
        }
    }

    fn recent_reports(&self, writer: usize) -> Vec<Report> {
        let oldest = self.time.saturating_sub(MAX_REPORT_AGE.as_micros() as u64);
        let reports = self.instances[writer].reports.values();
        reports
            .filter(|(at, _)| *at >= oldest)
            .map(|(_, report)| report.clone())
            .collect()
    }

    fn delay_write(
        &mut self,
        dc_plan: Option<(u64, DataCentrePlan)>,
        plan: Option<(usize, u64, InstancePlan)>,
    ) {
        let at = self.time + self.rng.random_range(0..15_000_000);
        self.delayed_writes.push(DelayedWrite { at, dc_plan, plan });
    }

    /// Lends up to `tokens` of one instance to another one and returns how many were lent.
    pub fn lend(&mut self, from: usize, to: usize, account: AccountKey, tokens: u64) -> u64 {
        let now = self.instances[from].now(self.time);
        let to = self.instances[to].id.clone();
        let transfer = self.instances[from].budgets.lend(account, &to, tokens, now);
        let lent = transfer.as_ref().map_or(0, |transfer| transfer.tokens);
        if let Some(transfer) = transfer {
            self.send(&to, &Message::Transfer(transfer));
        }
        lent
    }

    /// Acknowledges the transfers that an instance has spent, and returns how many.
    pub fn acknowledge(&mut self, i: usize) -> u64 {
        let spent = self.instances[i].budgets.take_spent_transfers();
        for transfer in &spent {
            let to = transfer.id.from.clone();
            self.send(&to, &Message::Acknowledgement(transfer.clone()));
        }
        spent.len() as u64
    }

    /// Returns what all live processes may spend of an account, paused ones included.
    pub fn held(&self, account: AccountKey) -> Share {
        self.instances
            .iter()
            .filter(|i| i.is_alive)
            .map(|i| i.budgets.held_share(account, i.now(self.time).mono))
            .sum()
    }

    /// Installs a bundle on an instance.
    pub fn install_bundle(&mut self, i: usize, bundle: &Bundle) {
        let now = self.instances[i].now(self.time);
        self.instances[i].budgets.set_bundle(bundle, now.mono);
        self.instances[i].bundle = bundle.clone();
    }
}

/// Exact token bucket over the whole fleet. An admission without a token exceeds the budget of some
/// window that ends with it.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    rate_milli: u64,
    burst_nanos: u64,
    nanos: u64,
    at: u64,
    pub excess: u64,
}

impl Meter {
    pub fn new(rate: u32, burst: u32, time: u64) -> Self {
        let burst_nanos = u64::from(burst) * 1_000_000_000;
        Self {
            rate_milli: u64::from(rate) * 1_000,
            burst_nanos,
            nanos: burst_nanos,
            at: time,
            excess: 0,
        }
    }

    /// Takes a token and returns whether one was available.
    pub fn take(&mut self, time: u64) -> bool {
        let refill = self.rate_milli * (time - self.at);
        self.nanos = self.nanos.saturating_add(refill).min(self.burst_nanos);
        self.at = time;
        let Some(left) = self.nanos.checked_sub(1_000_000_000) else {
            return false;
        };
        self.nanos = left;
        true
    }

    /// Records an admission; adds one to `excess` if any window that ends with it exceeds the
    /// budget.
    pub fn charge(&mut self, time: u64) {
        if !self.take(time) {
            self.excess += 1;
        }
    }
}
