//! Parses and checks bundles.
//!
//! Entries are read in the order of their references: regions before data centres, services
//! before versions, versions before endpoints. An entry with findings keeps its name, so that one
//! fault does not show again at every reference.

mod accounts;
mod blocks;
mod names;
mod services;
mod topology;
mod versions;

use apricotlug_model::{Bundle, BundleVersion, Findings, UnixTime};

use crate::{doc::Doc, fields::Fields};

/// Parses and checks a bundle that is about to be signed off.
///
/// # Errors
/// Returns every finding, in the order of their places; a deadline of a move at or before `now`
/// is one.
pub fn parse_bundle(file: &str, text: &str, now: UnixTime) -> Result<Bundle, Findings> {
    parse(file, text, Some(now))
}

/// Parses a bundle that was accepted before: deadlines may have passed since.
///
/// # Errors
/// Returns every finding, in the order of their places.
pub fn load_bundle(file: &str, text: &str) -> Result<Bundle, Findings> {
    parse(file, text, None)
}

fn parse(file: &str, text: &str, now: Option<UnixTime>) -> Result<Bundle, Findings> {
    let mut doc = Doc::new(file, text);
    let table = doc.table()?;
    let mut fields = Fields::new(table.get_ref(), 0, "the file");
    let mut bundle = Bundle::default();
    read(&mut doc, &mut fields, now, &mut bundle);
    fields.finish(&mut doc);
    doc.finish(bundle)
}

fn read<'t>(
    doc: &mut Doc<'_>,
    fields: &mut Fields<'t>,
    now: Option<UnixTime>,
    bundle: &mut Bundle,
) {
    if let Some(version) = fields.integer(doc, "version", 1..=i64::MAX) {
        bundle.version = BundleVersion(version);
    }
    accounts::read(doc, fields, bundle);
    let sites = topology::read(doc, fields, bundle);
    services::read(doc, fields, &sites, now, bundle);
    blocks::read(doc, fields, &sites, bundle);
}
