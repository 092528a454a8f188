//! Generates bundles of a given size.

use std::fmt::Write;

use apricotlug_config::load_bundle;
use apricotlug_model::Bundle;

const REGIONS: usize = 17;
pub const DATA_CENTRES: usize = 41;

/// Number of entries of each kind in a generated bundle.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    pub accounts: usize,
    pub sites: usize,
    pub blocks: usize,
}

/// Sizes that the system is designed for, with 1,000 client accounts.
pub const DESIGN_SIZES: Sizes = Sizes {
    accounts: 1_000,
    sites: 250,
    blocks: 210_000,
};

/// Returns a bundle with four endpoints per site.
pub fn bundle(sizes: Sizes) -> Result<Bundle, Box<dyn std::error::Error>> {
    let text = text(sizes)?;
    load_bundle("generated", &text).map_err(|findings| findings.to_string().into())
}

fn text(sizes: Sizes) -> Result<String, std::fmt::Error> {
    let mut out = String::from("version = 1\nregion = [\n");
    for i in 0..REGIONS {
        writeln!(
            out,
            "{{ id = \"region-{i}\", cap_percent = 80, shift_cap_percent = 20 }},"
        )?;
    }
    out.push_str("]\ndata_centre = [\n");
    for i in 0..DATA_CENTRES {
        let region = i % REGIONS;
        writeln!(out, "{{ id = \"dc-{i}\", region = \"region-{region}\" }},")?;
    }
    out.push_str("]\nsite = [\n");
    for i in 0..site_count(sizes) {
        let dc = i % DATA_CENTRES;
        writeln!(out, "{{ id = \"site-{i}\", data_centre = \"dc-{dc}\" }},")?;
    }
    out.push_str("]\naccount = [\n");
    let zero = "0".repeat(64);
    for i in 0..sizes.accounts {
        let key = format!("{{ id = \"key-{i}\", salt = \"{i:032x}\", digest = \"{zero}\" }}");
        writeln!(
            out,
            "{{ id = \"account-{i}\", rate = 100000, burst = 200000, keys = [{key}] }},"
        )?;
    }
    let salt = "0".repeat(32);
    writeln!(
        out,
        "]\noperator = [{{ id = \"ann\", role = \"signer\", salt = \"{salt}\", digest = \"{zero}\" }}]"
    )?;
    out.push_str(
        "service = [{ id = \"s\" }]\nservice_version = [{ id = \"1\", service = \"s\" }]\n",
    );
    out.push_str("endpoint = [\n");
    for i in 0..site_count(sizes) * 4 {
        let addr = format!("10.255.{}.{}:80", i / 256, i % 256);
        let site = i % site_count(sizes);
        writeln!(
            out,
            "{{ id = \"ep-{i}\", addr = \"{addr}\", site = \"site-{site}\", service = \"s\", version = \"1\", slots = 4 }},"
        )?;
    }
    out.push_str("]\nroute = [{ id = \"r\", prefix = \"/\", access = \"keyed\", repeat = \"idempotent\", service = \"s\", timeout_ms = 1000 }]\n\n[blocks]\n");
    for site in 0..site_count(sizes) {
        writeln!(out, "site-{site} = '''")?;
        for i in (site..sizes.blocks).step_by(site_count(sizes)) {
            writeln!(
                out,
                "{}.{}.{}.0/24",
                16 + i / 65_536,
                i / 256 % 256,
                i % 256
            )?;
        }
        out.push_str("'''\n");
    }
    Ok(out)
}

fn site_count(sizes: Sizes) -> usize {
    sizes.sites.max(DATA_CENTRES)
}
