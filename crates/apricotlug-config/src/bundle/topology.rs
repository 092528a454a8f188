//! Regions, data centres, sites, and the links between regions.

use std::{collections::BTreeSet, ops::RangeInclusive};

use apricotlug_model::{
    Bundle, DataCentre, DataCentreKey, FindingCode, Link, Region, RegionKey, Site, SiteKey,
};

use super::names::Names;
use crate::{doc::Doc, fields::Fields};

const CAP_PERCENT: RangeInclusive<i64> = 1..=100;
const SHIFT_CAP_PERCENT: RangeInclusive<i64> = 0..=100;
const DELAY_US: RangeInclusive<i64> = 0..=10_000_000;
const MBIT_PER_S: RangeInclusive<i64> = 1..=10_000_000;

/// Reads the topology and returns the names of its sites.
pub(super) fn read<'t>(
    doc: &mut Doc<'_>,
    fields: &mut Fields<'t>,
    bundle: &mut Bundle,
) -> Names<'t, SiteKey> {
    let mut regions = Names::new("region");
    for row in fields.some_tables(doc, "region", "a region") {
        read_region(doc, row, &mut regions, bundle);
    }
    let mut data_centres = Names::new("data centre");
    for row in fields.some_tables(doc, "data_centre", "a data centre") {
        read_data_centre(doc, row, &regions, &mut data_centres, bundle);
    }
    let mut sites = Names::new("site");
    for row in fields.some_tables(doc, "site", "a site") {
        read_site(doc, row, &data_centres, &mut sites, bundle);
    }
    let mut seen = BTreeSet::new();
    for row in fields.tables(doc, "link", "a link") {
        read_link(doc, row, &regions, &mut seen, bundle);
    }
    sites
}

fn read_region<'t>(
    doc: &mut Doc<'_>,
    mut row: Fields<'t>,
    regions: &mut Names<'t, RegionKey>,
    bundle: &mut Bundle,
) {
    let id = row.id(doc, "id");
    let cap_percent = row.integer(doc, "cap_percent", CAP_PERCENT);
    let shift_cap_percent = row.integer(doc, "shift_cap_percent", SHIFT_CAP_PERCENT);
    let offset = row.offset();
    row.finish(doc);
    let Some(id) = id else { return };
    if let (Some(cap), Some(shift_cap)) = (cap_percent, shift_cap_percent)
        && shift_cap > cap
    {
        doc.add(
            FindingCode::Contradiction,
            offset,
            format!("`shift_cap_percent` {shift_cap} is above `cap_percent` {cap}"),
            "lower `shift_cap_percent`: shifted requests count towards both",
        );
    }
    let region = cap_percent
        .zip(shift_cap_percent)
        .map(|(cap_percent, shift_cap_percent)| Region {
            id: id.value.to_owned(),
            cap_percent,
            shift_cap_percent,
        });
    let key = region.map(|region| bundle.regions.push(region));
    regions.add(doc, id, key);
}

fn read_data_centre<'t>(
    doc: &mut Doc<'_>,
    mut row: Fields<'t>,
    regions: &Names<'t, RegionKey>,
    data_centres: &mut Names<'t, DataCentreKey>,
    bundle: &mut Bundle,
) {
    let id = row.id(doc, "id");
    let region = row.string(doc, "region");
    let region = region.and_then(|region| regions.resolve(doc, region));
    row.finish(doc);
    let Some(id) = id else { return };
    let data_centre = region.map(|region| DataCentre {
        id: id.value.to_owned(),
        region,
    });
    let key = data_centre.map(|data_centre| bundle.data_centres.push(data_centre));
    data_centres.add(doc, id, key);
}

fn read_site<'t>(
    doc: &mut Doc<'_>,
    mut row: Fields<'t>,
    data_centres: &Names<'t, DataCentreKey>,
    sites: &mut Names<'t, SiteKey>,
    bundle: &mut Bundle,
) {
    let id = row.id(doc, "id");
    let data_centre = row.string(doc, "data_centre");
    let data_centre = data_centre.and_then(|id| data_centres.resolve(doc, id));
    row.finish(doc);
    let Some(id) = id else { return };
    let site = data_centre.map(|data_centre| Site {
        id: id.value.to_owned(),
        data_centre,
    });
    let key = site.map(|site| bundle.sites.push(site));
    sites.add(doc, id, key);
}

fn read_link<'t>(
    doc: &mut Doc<'_>,
    mut row: Fields<'t>,
    regions: &Names<'t, RegionKey>,
    seen: &mut BTreeSet<(&'t str, &'t str)>,
    bundle: &mut Bundle,
) {
    let from = row.string(doc, "from");
    let to = row.string(doc, "to");
    let delay_us = row.integer(doc, "delay_us", DELAY_US);
    let mbit_per_s = row.integer(doc, "mbit_per_s", MBIT_PER_S);
    let offset = row.offset();
    row.finish(doc);
    let from_key = from.and_then(|from| regions.resolve(doc, from));
    let to_key = to.and_then(|to| regions.resolve(doc, to));
    let (Some(from), Some(to)) = (from, to) else {
        return;
    };
    if from.value == to.value {
        doc.add(
            FindingCode::Contradiction,
            to.offset,
            format!("the link leads from {:?} to itself", from.value),
            "name another region, or remove the link",
        );
    }
    if !seen.insert((from.value, to.value)) {
        doc.add(
            FindingCode::Duplicate,
            offset,
            format!("the link {:?} to {:?} stands twice", from.value, to.value),
            "remove one of them",
        );
    }
    if let (Some(from), Some(to), Some(delay_us), Some(mbit_per_s)) =
        (from_key, to_key, delay_us, mbit_per_s)
    {
        let link = Link {
            delay_us,
            mbit_per_s,
        };
        bundle.links.insert((from, to), link);
    }
}
