//! Measures what a bundle of a given size costs: parse time, resident memory, and the bytes that
//! one changed block moves.
//!
//! `bundle_cost write BLOCKS FILE` writes a bundle with 17 regions, 41 data centres and 250 sites.
//! `bundle_cost read FILE` loads it twice, the second time with the first one still in use.
//! `bundle_cost change FILE` changes one block at a time and counts bytes.

use std::{collections::BTreeSet, env, error::Error, fmt::Write, fs, time::Instant};

use apricotlug_config::{
    chunk::{self, Manifest},
    load_bundle,
};
use apricotlug_model::{BundleVersion, UnixTime};

const REGIONS: usize = 17;
const DATA_CENTRES: usize = 41;
const SITES: usize = 250;
const ACCOUNTS: usize = 1_000;
const CHANGES: usize = 200;

fn main() -> Result<(), Box<dyn Error>> {
    let args: Vec<String> = env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args[..] {
        ["write", blocks, file] => fs::write(file, bundle_text(blocks.parse()?)?)?,
        ["read", file] => read(file)?,
        ["change", file] => change(file)?,
        _ => return Err("usage: bundle_cost write BLOCKS FILE | read FILE | change FILE".into()),
    }
    Ok(())
}

fn read(file: &str) -> Result<(), Box<dyn Error>> {
    println!("start: {}", memory()?);
    let text = fs::read_to_string(file)?;
    println!("text of {} bytes: {}", text.len(), memory()?);
    let start = Instant::now();
    let first = load_bundle(file, &text).map_err(|findings| findings.to_string())?;
    let millis = start.elapsed().as_millis();
    drop(text);
    println!(
        "loaded {} blocks in {millis} ms: {}",
        first.blocks.len(),
        memory()?
    );
    let text = fs::read_to_string(file)?;
    let start = Instant::now();
    let second = load_bundle(file, &text).map_err(|findings| findings.to_string())?;
    let millis = start.elapsed().as_millis();
    drop(text);
    println!("loaded again in {millis} ms, both held: {}", memory()?);
    drop(first);
    println!(
        "newer of {} blocks held: {}",
        second.blocks.len(),
        memory()?
    );
    Ok(())
}

fn change(file: &str) -> Result<(), Box<dyn Error>> {
    let text = fs::read_to_string(file)?;
    let start = Instant::now();
    let (hashes, chunks) = chunk::split(&text);
    println!(
        "{} chunks in {} ms",
        hashes.len(),
        start.elapsed().as_millis()
    );
    let held: BTreeSet<_> = hashes.iter().copied().collect();
    let lines: Vec<&str> = text.split_inclusive('\n').collect();
    let block_lines: Vec<usize> = (0..lines.len())
        .filter(|&i| lines[i].ends_with("/24\n"))
        .collect();
    let mut bytes = Vec::new();
    let mut head_bytes = 0;
    for i in (0..CHANGES).map(|i| block_lines[i * block_lines.len() / CHANGES]) {
        let changed = lines[i].replace("/24", "/25");
        let text = [&lines[..i], &[changed.as_str()], &lines[i + 1..]]
            .concat()
            .concat();
        let (hashes, chunks) = chunk::split(&text);
        let new = chunks.iter().filter(|chunk| !held.contains(&chunk.hash));
        bytes.push(new.map(|chunk| chunk.text.len()).sum::<usize>());
        head_bytes = serde_json::to_string(&head(hashes))?.len();
    }
    bytes.sort_unstable();
    let mean = bytes.iter().sum::<usize>() / bytes.len();
    let most = bytes[bytes.len() - 1];
    println!(
        "manifest {head_bytes} bytes; a changed block: mean {mean}, most {most} bytes of chunks"
    );
    drop(chunks);
    Ok(())
}

fn head(chunks: Vec<chunk::ChunkHash>) -> Manifest {
    Manifest {
        version: BundleVersion(1),
        write_id: u64::MAX,
        signed_by: "operator-1".to_owned(),
        signed_at: UnixTime::default(),
        chunks,
    }
}

/// Returns the resident memory, now and at its peak.
fn memory() -> Result<String, Box<dyn Error>> {
    let status = fs::read_to_string("/proc/self/status")?;
    let lines = status
        .lines()
        .filter(|line| line.starts_with("VmHWM") || line.starts_with("VmRSS"));
    let words: Vec<String> = lines
        .map(|line| line.split_whitespace().collect::<Vec<_>>().join(" "))
        .collect();
    Ok(words.join(", "))
}

fn bundle_text(blocks: usize) -> Result<String, std::fmt::Error> {
    let mut f = String::from("version = 1\nregion = [\n");
    for i in 0..REGIONS {
        writeln!(
            f,
            "  {{ id = \"region-{i}\", cap_percent = 80, shift_cap_percent = 20 }},"
        )?;
    }
    f.push_str("]\ndata_centre = [\n");
    for i in 0..DATA_CENTRES {
        writeln!(
            f,
            "  {{ id = \"dc-{i}\", region = \"region-{}\" }},",
            i % REGIONS
        )?;
    }
    f.push_str("]\nsite = [\n");
    for i in 0..SITES {
        writeln!(
            f,
            "  {{ id = \"site-{i}\", data_centre = \"dc-{}\" }},",
            i % DATA_CENTRES
        )?;
    }
    f.push_str("]\naccount = [\n");
    let zero = "0".repeat(64);
    for i in 0..ACCOUNTS {
        let salt = format!("{i:032x}");
        let key = format!("{{ id = \"key-{i}\", salt = \"{salt}\", digest = \"{zero}\" }}");
        writeln!(
            f,
            "  {{ id = \"account-{i}\", rate = 100, burst = 200, keys = [{key}] }},"
        )?;
    }
    let salt = "0".repeat(32);
    writeln!(
        f,
        "]\noperator = [{{ id = \"ann\", role = \"signer\", salt = \"{salt}\", digest = \"{zero}\" }}]"
    )?;
    f.push_str("service = [{ id = \"s\" }]\nservice_version = [{ id = \"1\", service = \"s\" }]\n");
    f.push_str("endpoint = [\n");
    for i in 0..SITES * 4 {
        let addr = format!("10.255.{}.{}:80", i / 256, i % 256);
        let site = i % SITES;
        writeln!(
            f,
            "  {{ id = \"ep-{i}\", addr = \"{addr}\", site = \"site-{site}\", service = \"s\", version = \"1\", slots = 4 }},"
        )?;
    }
    f.push_str("]\nroute = [{ id = \"r\", prefix = \"/\", access = \"keyed\", repeat = \"idempotent\", service = \"s\", timeout_ms = 1000 }]\n\n[blocks]\n");
    for site in 0..SITES {
        writeln!(f, "site-{site} = '''")?;
        for i in (site..blocks).step_by(SITES) {
            writeln!(f, "{}.{}.{}.0/24", 16 + i / 65_536, i / 256 % 256, i % 256)?;
        }
        f.push_str("'''\n");
    }
    Ok(f)
}
