//! Bundles of a given size.

use std::fmt::Write;

use apricotlug_config::load_bundle;
use apricotlug_model::Bundle;

const REGIONS: usize = 17;
pub const DATA_CENTRES: usize = 41;

/// Sizes of a bundle.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    pub accounts: usize,
    pub sites: usize,
    pub blocks: usize,
}

/// Sizes to design for, with a thousand client accounts.
pub const FULL: Sizes = Sizes {
    accounts: 1_000,
    sites: 250,
    blocks: 210_000,
};

/// Returns a bundle with four endpoints a site.
pub fn bundle(sizes: Sizes) -> Result<Bundle, Box<dyn std::error::Error>> {
    let text = text(sizes)?;
    load_bundle("generated", &text).map_err(|findings| findings.to_string().into())
}

fn text(sizes: Sizes) -> Result<String, std::fmt::Error> {
    let mut f = String::from("version = 1\nregion = [\n");
    for i in 0..REGIONS {
        writeln!(
            f,
            "{{ id = \"region-{i}\", cap_percent = 80, shift_cap_percent = 20 }},"
        )?;
    }
    f.push_str("]\ndata_centre = [\n");
    for i in 0..DATA_CENTRES {
        let region = i % REGIONS;
        writeln!(f, "{{ id = \"dc-{i}\", region = \"region-{region}\" }},")?;
    }
    f.push_str("]\nsite = [\n");
    for i in 0..sites_of(sizes) {
        let dc = i % DATA_CENTRES;
        writeln!(f, "{{ id = \"site-{i}\", data_centre = \"dc-{dc}\" }},")?;
    }
    f.push_str("]\naccount = [\n");
    let zero = "0".repeat(64);
    for i in 0..sizes.accounts {
        let key = format!("{{ id = \"key-{i}\", salt = \"{i:032x}\", digest = \"{zero}\" }}");
        writeln!(
            f,
            "{{ id = \"account-{i}\", rate = 100000, burst = 200000, keys = [{key}] }},"
        )?;
    }
    let salt = "0".repeat(32);
    writeln!(
        f,
        "]\noperator = [{{ id = \"ann\", role = \"signer\", salt = \"{salt}\", digest = \"{zero}\" }}]"
    )?;
    f.push_str("service = [{ id = \"s\" }]\nservice_version = [{ id = \"1\", service = \"s\" }]\n");
    f.push_str("endpoint = [\n");
    for i in 0..sites_of(sizes) * 4 {
        let addr = format!("10.255.{}.{}:80", i / 256, i % 256);
        let site = i % sites_of(sizes);
        writeln!(
            f,
            "{{ id = \"ep-{i}\", addr = \"{addr}\", site = \"site-{site}\", service = \"s\", version = \"1\", slots = 4 }},"
        )?;
    }
    f.push_str("]\nroute = [{ id = \"r\", prefix = \"/\", access = \"keyed\", repeat = \"idempotent\", service = \"s\", timeout_ms = 1000 }]\n\n[blocks]\n");
    for site in 0..sites_of(sizes) {
        writeln!(f, "site-{site} = '''")?;
        for i in (site..sizes.blocks).step_by(sites_of(sizes)) {
            writeln!(f, "{}.{}.{}.0/24", 16 + i / 65_536, i / 256 % 256, i % 256)?;
        }
        f.push_str("'''\n");
    }
    Ok(f)
}

fn sites_of(sizes: Sizes) -> usize {
    sizes.sites.max(DATA_CENTRES)
}
