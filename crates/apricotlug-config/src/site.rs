//! Settings of an entry instance that runs on the platform: its place, its addresses, the store
//! and the bounds that the installation sets.

use std::{collections::BTreeMap, net::SocketAddr};

use apricotlug_model::{FindingCode, Findings};

use crate::{
    doc::Doc,
    fields::Fields,
    settings::LogLevel,
    value::{self, Port},
};

/// Shortest time within which a confirmed change can be in force: an instance that finds its source
/// out of date needs most of it to reach the store.
const MIN_APPLY_MS: u32 = 1_000;

/// Time within which a confirmed change is in force where the settings do not say.
const DEFAULT_APPLY_MS: u32 = 2_500;

/// Memory of the machine where the settings do not say, in MB: that of a small one.
const DEFAULT_MEMORY_MB: u32 = 112;

/// Shortest window of usage: each one costs a message of every instance and three writes.
const MIN_WINDOW_MS: u32 = 1_000;

/// Settings of an entry instance.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// Name of the instance, unique among live instances.
    pub instance: String,
    /// Data centre where it runs.
    pub data_centre: String,
    /// Region of each data centre.
    pub regions: BTreeMap<String, String>,
    /// Least severe log lines that are written.
    pub log_level: LogLevel,
    /// Whether no instance of the system ran before.
    pub is_first_start: bool,
    /// Bandwidth of the machine's link, in Mbit/s: those with the widest tell the others.
    pub link_mbps: f64,
    /// Own addresses.
    pub listen: SiteListen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Shortest lease that the store gives, in milliseconds.
    pub min_lease_ms: u32,
    /// Bounds that the installation sets.
    pub bounds: SiteBounds,
    /// Limits of the machine.
    pub machine: SiteMachine,
    /// Reports of client accounts' usage; `None` where nobody wants them.
    pub usage: Option<SiteUsage>,
}

/// Limits of the machine on one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SiteMachine {
    /// Memory, in units of 1024 * 1024 bytes.
    pub memory_mb: u32,
    /// File descriptors; `None` where the operating system's limit holds.
    pub descriptors: Option<u32>,
}

impl SiteSettings {
    /// Returns the region of a data centre; empty where it is not known.
    #[must_use]
    pub fn region_of(&self, data_centre: &str) -> &str {
        self.regions.get(data_centre).map_or("", String::as_str)
    }

    /// Returns the region of this instance.
    #[must_use]
    pub fn region(&self) -> &str {
        self.region_of(&self.data_centre)
    }
}

/// Addresses that an entry instance listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SiteListen {
    /// Requests of callers.
    pub caller: SocketAddr,
    /// Readiness and metrics.
    pub ready: SocketAddr,
    /// Look-ups of where to connect.
    pub lookup: SocketAddr,
    /// Datagrams of other instances.
    pub peer: SocketAddr,
}

/// Bounds of an installation. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteBounds {
    /// Time from a request to end until the process is killed.
    pub grace_ms: u32,
    /// Time within which a confirmed plan is in force on every instance.
    pub apply_ms: u32,
    /// Time within which a backend server that the store reports as leaving gets no more requests.
    pub drain_ms: u32,
    /// Longest time for which a withdrawn key still works.
    pub revoke_ms: u32,
    /// Whether a withdrawn key stops on every instance, also where no news comes in.
    pub is_revocation_strict: bool,
    /// Longest time for which callers keep a look-up's answer.
    pub lookup_ms: u32,
    /// Span over which retries are counted.
    pub retry_window_ms: u32,
    /// Retries allowed for each request.
    pub retry_ratio: f64,
    /// Retries allowed beside.
    pub retry_slack: f64,
    /// Span over which client accounts' requests are counted.
    pub quota_window_ms: u32,
    /// Part of an account's allowance by which it may be exceeded.
    pub quota_overage: f64,
    /// Requests by which it may be exceeded beside.
    pub quota_slack: f64,
    /// Factor by which requests in one second to a cold backend server may exceed the rate that it
    /// bears.
    pub cold_overage: f64,
    /// Requests by which they may exceed that beside.
    pub cold_slack: f64,
}

/// Reports of client accounts' usage, which one instance at a time sends. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SiteUsage {
    /// Address that accepts the reports.
    pub addr: SocketAddr,
    /// Length of a window of the wall clock that one report covers.
    pub window_ms: u32,
    /// Time after the end of a window by which its report is due.
    pub late_ms: u32,
    /// Least time between two holds of one instance with another's between them.
    pub lease_ms: u32,
    /// Time after its machine was suspended or cut off for which an instance may act on old knowledge.
    pub thaw_slack_ms: u32,
}

/// Parses and checks the settings of an entry instance on the platform.
///
/// # Errors
/// Returns every finding, in the order of their places.
pub fn parse_site(file: &str, text: &str) -> Result<SiteSettings, Findings> {
    let mut doc = Doc::new(file, text);
    let table = doc.table()?;
    let fields = Fields::new(table.get_ref(), 0, "the file");
    let settings = read(&mut doc, fields);
    match settings {
        Some(settings) => doc.finish(settings),
        None => Err(doc.take_findings()),
    }
}

fn read(doc: &mut Doc<'_>, mut fields: Fields<'_>) -> Option<SiteSettings> {
    let instance = fields.id(doc, "instance");
    let data_centre = fields.id(doc, "data_centre");
    let log_level = fields.choice(doc, "log_level", &LogLevel::WORDS);
    let is_first_start = fields.flag(doc, "first_start");
    let link_mbps = fields.number(doc, "link_mbps");
    let regions = fields.table(doc, "regions", "`regions`");
    let regions = regions.map(|regions| read_regions(doc, &regions));
    let listen = fields.table(doc, "listen", "`listen`");
    let listen = listen.and_then(|listen| read_listen(doc, listen));
    let store = fields.table(doc, "store", "`store`");
    let store = store.and_then(|store| read_store(doc, store));
    let bounds = fields.table(doc, "bounds", "`bounds`");
    let bounds = bounds.and_then(|bounds| read_bounds(doc, bounds));
    let machine = match fields.optional_table(doc, "machine", "`machine`") {
        Some(machine) => read_machine(doc, machine),
        None => Some(SiteMachine {
            memory_mb: DEFAULT_MEMORY_MB,
            descriptors: None,
        }),
    };
    let usage = fields.optional_table(doc, "usage", "`usage`");
    let usage = usage.map(|usage| read_usage(doc, usage));
    fields.finish(doc);
    let (data_centre, regions) = (data_centre?, regions?);
    if !regions.contains_key(data_centre.value) {
        doc.add(
            FindingCode::UnknownReference,
            data_centre.offset,
            format!(
                "`regions` does not name the data centre {:?}",
                data_centre.value
            ),
            "add its region to `regions`",
        );
    }
    let (store, min_lease_ms) = store?;
    Some(SiteSettings {
        instance: instance?.value.to_owned(),
        data_centre: data_centre.value.to_owned(),
        regions,
        log_level: log_level?,
        is_first_start: is_first_start?,
        link_mbps: link_mbps?,
        listen: listen?,
        store,
        min_lease_ms,
        bounds: bounds?,
        machine: machine?,
        usage: match usage {
            Some(usage) => Some(usage?),
            None => None,
        },
    })
}

fn read_window(doc: &mut Doc<'_>, fields: &mut Fields<'_>) -> Option<u32> {
    let window_ms = fields.span_ms(doc, "window")?;
    if window_ms < MIN_WINDOW_MS {
        doc.add(
            FindingCode::OutOfRange,
            fields.offset_of("window"),
            format!("`window` is {window_ms} ms"),
            format!("give at least {MIN_WINDOW_MS} ms"),
        );
    }
    Some(window_ms)
}

fn read_usage(doc: &mut Doc<'_>, mut fields: Fields<'_>) -> Option<SiteUsage> {
    let addr = fields.addr(doc, "address", Port::Named);
    let window_ms = read_window(doc, &mut fields);
    let late_ms = fields.span_ms(doc, "late");
    let lease_ms = fields.span_ms(doc, "lease");
    let thaw_slack_ms = fields.span_ms(doc, "thaw_slack");
    fields.finish(doc);
    Some(SiteUsage {
        addr: addr?.value,
        window_ms: window_ms?,
        late_ms: late_ms?,
        lease_ms: lease_ms?,
        thaw_slack_ms: thaw_slack_ms?,
    })
}

fn read_regions(doc: &mut Doc<'_>, fields: &Fields<'_>) -> BTreeMap<String, String> {
    let mut regions = BTreeMap::new();
    for (data_centre, value) in fields.entries() {
        if let Some(region) = value::string(doc, value, "region") {
            regions.insert(data_centre.value.to_owned(), region.value.to_owned());
        }
    }
    regions
}

fn read_listen(doc: &mut Doc<'_>, mut fields: Fields<'_>) -> Option<SiteListen> {
    let caller = fields.addr(doc, "caller", Port::Any);
    let ready = fields.addr(doc, "ready", Port::Any);
    let lookup = fields.addr(doc, "lookup", Port::Any);
    let peer = fields.addr(doc, "peer", Port::Any);
    fields.finish(doc);
    Some(SiteListen {
        caller: caller?.value,
        ready: ready?.value,
        lookup: lookup?.value,
        peer: peer?.value,
    })
}

fn read_store(doc: &mut Doc<'_>, mut fields: Fields<'_>) -> Option<(SocketAddr, u32)> {
    let addr = fields.addr(doc, "address", Port::Named);
    let min_lease_ms = fields.span_ms(doc, "min_lease");
    fields.finish(doc);
    Some((addr?.value, min_lease_ms?))
}

fn read_machine(doc: &mut Doc<'_>, mut fields: Fields<'_>) -> Option<SiteMachine> {
    let limit = 1..=i64::from(u32::MAX);
    let memory_mb = fields.integer_or(doc, "memory_mb", limit.clone(), DEFAULT_MEMORY_MB);
    let descriptors = match fields.has("descriptors") {
        true => fields.integer_or(doc, "descriptors", limit, 0).map(Some),
        false => Some(None),
    };
    fields.finish(doc);
    Some(SiteMachine {
        memory_mb: memory_mb?,
        descriptors: descriptors?,
    })
}

fn read_bounds(doc: &mut Doc<'_>, mut fields: Fields<'_>) -> Option<SiteBounds> {
    let grace_ms = fields.span_ms(doc, "grace");
    let apply_ms = fields.span_ms_or(doc, "apply", MIN_APPLY_MS, DEFAULT_APPLY_MS);
    let drain_ms = fields.span_ms_or(doc, "drain", MIN_APPLY_MS, DEFAULT_APPLY_MS);
    let revoke_ms = fields.span_ms(doc, "revoke");
    let is_revocation_strict = fields.flag(doc, "strict_revocation");
    let lookup_ms = fields.span_ms(doc, "lookup");
    let retry_window_ms = fields.span_ms(doc, "retry_window");
    let retry_ratio = fields.number(doc, "retry_ratio");
    let retry_slack = fields.number(doc, "retry_slack");
    let quota_window_ms = fields.span_ms(doc, "quota_window");
    let quota_overage = fields.number(doc, "quota_overage");
    let quota_slack = fields.number(doc, "quota_slack");
    let cold_overage = fields.number_or(doc, "cold_overage", 1.0, 1.0);
    let cold_slack = fields.number_or(doc, "cold_slack", 0.0, 0.0);
    fields.finish(doc);
    Some(SiteBounds {
        grace_ms: grace_ms?,
        apply_ms: apply_ms?,
        drain_ms: drain_ms?,
        revoke_ms: revoke_ms?,
        is_revocation_strict: is_revocation_strict?,
        lookup_ms: lookup_ms?,
        retry_window_ms: retry_window_ms?,
        retry_ratio: retry_ratio?,
        retry_slack: retry_slack?,
        quota_window_ms: quota_window_ms?,
        quota_overage: quota_overage?,
        quota_slack: quota_slack?,
        cold_overage: cold_overage?,
        cold_slack: cold_slack?,
    })
}
