//! Services, routes, versions and backend server endpoints.

use std::{net::SocketAddr, ops::RangeInclusive};

use apricotlug_model::{
    Access, Bundle, Endpoint, FindingCode, HashMap, Repeat, Route, Service, ServiceKey, SiteKey,
    UnixTime,
};

use super::{
    names::Names,
    versions::{self, Versions},
};
use crate::{
    doc::{At, Doc},
    fields::Fields,
    value::Port,
};

const SLOTS: RangeInclusive<i64> = 1..=65_535;
const TIMEOUT_MS: RangeInclusive<i64> = 1..=86_400_000;

const ACCESS: [(&str, Access); 2] = [("open", Access::Open), ("keyed", Access::Keyed)];
const REPEAT: [(&str, Repeat); 2] = [("idempotent", Repeat::Idempotent), ("once", Repeat::Once)];

/// Reads services and all that refers to them.
pub(super) fn read<'t>(
    doc: &mut Doc<'_>,
    fields: &mut Fields<'t>,
    sites: &Names<'t, SiteKey>,
    now: Option<UnixTime>,
    bundle: &mut Bundle,
) {
    let mut services = Names::new("service");
    let mut service_offsets = Vec::new();
    for row in fields.some_tables(doc, "service", "a service") {
        if let Some(offset) = read_service(doc, row, &mut services, bundle) {
            service_offsets.push(offset);
        }
    }
    let versions = versions::read(doc, fields, &services, now, bundle);
    let mut endpoints = Endpoints::new();
    let rows = fields.some_tables(doc, "endpoint", "an endpoint");
    endpoints.has_faults = rows.is_empty();
    for row in rows {
        match endpoints.read(doc, row, sites, &services, &versions, bundle) {
            Some(endpoint) => {
                bundle.endpoints.push(endpoint);
            }
            None => endpoints.has_faults = true,
        }
    }
    let mut routes = Routes::new();
    for row in fields.some_tables(doc, "route", "a route") {
        if let Some(route) = routes.read(doc, row, &services) {
            bundle.routes.push(route);
        }
    }
    versions.check(doc, &service_offsets, bundle);
    endpoints.check(doc, &versions, bundle);
}

fn read_service<'t>(
    doc: &mut Doc<'_>,
    mut row: Fields<'t>,
    services: &mut Names<'t, ServiceKey>,
    bundle: &mut Bundle,
) -> Option<usize> {
    let id = row.id(doc, "id");
    row.finish(doc);
    let id = id?;
    let key = ServiceKey::from(bundle.services.len());
    if !services.add(doc, id, Some(key)) {
        return None;
    }
    bundle.services.push(Service {
        id: id.value.to_owned(),
        versions: Vec::new(),
    });
    Some(id.offset)
}

/// Endpoints read so far.
struct Endpoints<'t> {
    names: Names<'t, ()>,
    addrs: HashMap<SocketAddr, usize>,
    has_faults: bool,
}

impl<'t> Endpoints<'t> {
    fn new() -> Self {
        Self {
            names: Names::new("endpoint"),
            addrs: HashMap::default(),
            has_faults: false,
        }
    }

    fn read(
        &mut self,
        doc: &mut Doc<'_>,
        mut row: Fields<'t>,
        sites: &Names<'t, SiteKey>,
        services: &Names<'t, ServiceKey>,
        versions: &Versions<'t>,
        bundle: &Bundle,
    ) -> Option<Endpoint> {
        let id = row.id(doc, "id");
        let addr = row.addr(doc, "addr", Port::Named);
        let site = row.string(doc, "site");
        let service = row.string(doc, "service");
        let version = row.string(doc, "version");
        let slots = row.integer(doc, "slots", SLOTS);
        let is_draining = row.flag(doc, "draining");
        row.finish(doc);
        if let Some(id) = id {
            self.names.add(doc, id, Some(()));
        }
        if let Some(addr) = addr {
            self.add_addr(doc, addr);
        }
        let site = site.and_then(|site| sites.resolve(doc, site));
        let service = service.and_then(|service| services.resolve(doc, service));
        let version = service
            .zip(version)
            .and_then(|(service, version)| versions.resolve(doc, bundle, service, version));
        Some(Endpoint {
            id: id?.value.to_owned(),
            addr: addr?.value,
            site: site?,
            version: version?,
            slots: slots?,
            is_draining: is_draining?,
        })
    }

    fn add_addr(&mut self, doc: &mut Doc<'_>, addr: At<SocketAddr>) {
        if let Some(&first) = self.addrs.get(&addr.value) {
            let line = doc.line(first);
            doc.add(
                FindingCode::Duplicate,
                addr.offset,
                format!(
                    "{} is the address of the endpoint on line {line}",
                    addr.value
                ),
                "correct one of them: two endpoints at one address would share its slots",
            );
            return;
        }
        self.addrs.insert(addr.value, addr.offset);
    }

    /// Reports versions without an endpoint, unless a faulty endpoint may be the missing one.
    fn check(&self, doc: &mut Doc<'_>, versions: &Versions<'_>, bundle: &Bundle) {
        if self.has_faults {
            return;
        }
        for (key, version) in bundle.versions.iter() {
            let has_endpoint = bundle.endpoints.values().any(|ep| ep.version == key);
            if has_endpoint {
                continue;
            }
            doc.add(
                FindingCode::Contradiction,
                versions.offset(key),
                format!("version {:?} has no endpoint", version.id),
                "add an endpoint that runs it, or remove the version",
            );
        }
    }
}

/// Routes read so far.
struct Routes<'t> {
    names: Names<'t, ()>,
    prefixes: HashMap<&'t str, usize>,
}

impl<'t> Routes<'t> {
    fn new() -> Self {
        Self {
            names: Names::new("route"),
            prefixes: HashMap::default(),
        }
    }

    fn read(
        &mut self,
        doc: &mut Doc<'_>,
        mut row: Fields<'t>,
        services: &Names<'t, ServiceKey>,
    ) -> Option<Route> {
        let id = row.id(doc, "id");
        let prefix = row.string(doc, "prefix");
        let access = row.choice(doc, "access", &ACCESS);
        let repeat = row.choice(doc, "repeat", &REPEAT);
        let service = row.string(doc, "service");
        let timeout_ms = row.integer(doc, "timeout_ms", TIMEOUT_MS);
        row.finish(doc);
        if let Some(id) = id {
            self.names.add(doc, id, Some(()));
        }
        if let Some(prefix) = prefix {
            self.add_prefix(doc, prefix);
        }
        let service = service.and_then(|service| services.resolve(doc, service));
        Some(Route {
            id: id?.value.to_owned(),
            prefix: prefix?.value.to_owned(),
            access: access?,
            repeat: repeat?,
            service: service?,
            timeout_ms: timeout_ms?,
        })
    }

    fn add_prefix(&mut self, doc: &mut Doc<'_>, prefix: At<&'t str>) {
        if !is_prefix(prefix.value) {
            doc.add(
                FindingCode::OutOfRange,
                prefix.offset,
                format!("{:?} is no path prefix", prefix.value),
                "write `/` or whole segments without a `/` at the end, e.g. \"/stock\"",
            );
        }
        if let Some(&first) = self.prefixes.get(prefix.value) {
            let line = doc.line(first);
            doc.add(
                FindingCode::Duplicate,
                prefix.offset,
                format!(
                    "{:?} is the prefix of the route on line {line}",
                    prefix.value
                ),
                "give each route a prefix of its own",
            );
            return;
        }
        self.prefixes.insert(prefix.value, prefix.offset);
    }
}

fn is_prefix(prefix: &str) -> bool {
    let Some(segments) = prefix.strip_prefix('/') else {
        return false;
    };
    let is_segment = |segment: &str| !matches!(segment, "" | "." | "..");
    let is_plain = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#' | '%' | '\\');
    prefix.chars().all(is_plain) && (segments.is_empty() || segments.split('/').all(is_segment))
}
