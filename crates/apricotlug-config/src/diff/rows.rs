//! Entries of a bundle as named rows of text, with keys resolved back to ids.

use std::{collections::BTreeMap, fmt::Debug};

use apricotlug_model::{Bundle, SecretHash, ServiceVersion, VersionKey};

use super::Kind;
use crate::datetime::rfc3339;

/// Fields of one entry. Entries of one kind have the same fields in the same order.
pub(super) type Row = Vec<(&'static str, String)>;

/// Entries by kind and id.
pub(super) type Rows = BTreeMap<(Kind, String), Row>;

/// Bytes of a digest that are shown, so that a replaced secret is seen.
const FINGERPRINT_BYTES: usize = 4;

/// Returns all entries but the blocks.
pub(super) fn rows(bundle: &Bundle) -> Rows {
    let mut rows = Rows::new();
    let version = bundle.version.to_string();
    rows.insert((Kind::Bundle, String::new()), vec![("version", version)]);
    add_topology(bundle, &mut rows);
    add_accounts(bundle, &mut rows);
    add_services(bundle, &mut rows);
    rows
}

fn add_topology(bundle: &Bundle, rows: &mut Rows) {
    for region in bundle.regions.values() {
        let row = vec![
            ("cap_percent", region.cap_percent.to_string()),
            ("shift_cap_percent", region.shift_cap_percent.to_string()),
        ];
        rows.insert((Kind::Region, region.id.clone()), row);
    }
    for data_centre in bundle.data_centres.values() {
        let region = bundle.regions[data_centre.region].id.clone();
        let row = vec![("region", region)];
        rows.insert((Kind::DataCentre, data_centre.id.clone()), row);
    }
    for site in bundle.sites.values() {
        let data_centre = bundle.data_centres[site.data_centre].id.clone();
        let row = vec![("data_centre", data_centre)];
        rows.insert((Kind::Site, site.id.clone()), row);
    }
    for (&(from, to), link) in &bundle.links {
        let (from, to) = (&bundle.regions[from].id, &bundle.regions[to].id);
        let row = vec![
            ("delay_us", link.delay_us.to_string()),
            ("mbit_per_s", link.mbit_per_s.to_string()),
        ];
        rows.insert((Kind::Link, format!("{from} to {to}")), row);
    }
}

fn add_accounts(bundle: &Bundle, rows: &mut Rows) {
    for account in bundle.accounts.values() {
        let row = vec![
            ("rate", account.rate.to_string()),
            ("burst", account.burst.to_string()),
        ];
        rows.insert((Kind::Account, account.id.clone()), row);
    }
    for (id, credential) in &bundle.credentials {
        let row = vec![
            ("account", bundle.accounts[credential.account].id.clone()),
            ("digest", fingerprint(&credential.hash)),
            ("withdrawn", credential.is_withdrawn.to_string()),
        ];
        rows.insert((Kind::Key, id.clone()), row);
    }
    for (id, operator) in &bundle.operators {
        let row = vec![
            ("role", word(operator.role)),
            ("digest", fingerprint(&operator.hash)),
        ];
        rows.insert((Kind::Operator, id.clone()), row);
    }
}

fn add_services(bundle: &Bundle, rows: &mut Rows) {
    for service in bundle.services.values() {
        rows.insert((Kind::Service, service.id.clone()), Row::new());
    }
    for (key, version) in bundle.versions.iter() {
        let id = version_id(bundle, key);
        rows.insert((Kind::ServiceVersion, id), version_row(bundle, version));
    }
    for endpoint in bundle.endpoints.values() {
        let row = vec![
            ("addr", endpoint.addr.to_string()),
            ("site", bundle.sites[endpoint.site].id.clone()),
            ("version", version_id(bundle, endpoint.version)),
            ("slots", endpoint.slots.to_string()),
            ("draining", endpoint.is_draining.to_string()),
        ];
        rows.insert((Kind::Endpoint, endpoint.id.clone()), row);
    }
    for route in bundle.routes.values() {
        let row = vec![
            ("prefix", route.prefix.clone()),
            ("access", word(route.access)),
            ("repeat", word(route.repeat)),
            ("service", bundle.services[route.service].id.clone()),
            ("timeout_ms", route.timeout_ms.to_string()),
        ];
        rows.insert((Kind::Route, route.id.clone()), row);
    }
}

fn version_row(bundle: &Bundle, version: &ServiceVersion) -> Row {
    let (from, deadline, stages) = match &version.incoming {
        Some(incoming) => (
            bundle.versions[incoming.from].id.clone(),
            rfc3339(incoming.deadline),
            format!("{:?}", incoming.stages),
        ),
        None => ("none".to_owned(), "none".to_owned(), "none".to_owned()),
    };
    vec![
        ("move.from", from),
        ("deadline", deadline),
        ("stages", stages),
    ]
}

fn version_id(bundle: &Bundle, key: VersionKey) -> String {
    let version = &bundle.versions[key];
    format!("{}/{}", bundle.services[version.service].id, version.id)
}

fn fingerprint(hash: &SecretHash) -> String {
    format!("{}..", hex::encode(&hash.digest[..FINGERPRINT_BYTES]))
}

fn word(value: impl Debug) -> String {
    format!("{value:?}").to_lowercase()
}
