//! `apricotlug bundle`: checks, signs off and shows bundles.

use std::{fs, net::SocketAddr, process::ExitCode, time::Duration};

use anyhow::Context;
use apricotlug_config::{
    chunk::{Manifest, join},
    parse_bundle,
};
use apricotlug_model::{Findings, UnixTime};
use apricotlug_platform::{BundleStore, ChunkHash, Client, ClientConfig, Head};
use argh::FromArgs;

use super::{bundle_diff::Diff, bundle_history::ShowHistory, bundle_sign_off::Sign};

/// Exit code of a command that refused its input.
pub const REFUSED: u8 = 2;

/// Exit code of a command that lost a race.
pub const CONFLICT: u8 = 3;

/// Check, compare, sign off or show a bundle; list the versions.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "bundle",
    example = "apricotlug bundle check examples/caisses-armor.toml"
)]
pub struct Bundle {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Verb {
    Check(Check),
    Diff(Diff),
    History(ShowHistory),
    SignOff(Sign),
    Show(Show),
}

/// Check a bundle file and report every finding.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "apricotlug bundle check examples/caisses-armor.toml"
)]
struct Check {
    /// bundle file
    #[argh(positional)]
    file: String,
}

/// Show the bundle in force.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "show",
    example = "apricotlug bundle show --platform 127.0.0.1:7100"
)]
struct Show {
    /// address of the platform's key-value service
    #[argh(option)]
    platform: SocketAddr,
}

/// Reports findings and returns the exit code of refused input.
pub fn refused(findings: &Findings) -> ExitCode {
    eprintln!("{findings}");
    ExitCode::from(REFUSED)
}

impl Bundle {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns an error where a file cannot be read or the platform cannot be asked.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        match self.verb {
            Verb::Check(check) => check.run(),
            Verb::Diff(diff) => diff.run(),
            Verb::History(history) => history.run().await,
            Verb::SignOff(sign) => sign.run().await,
            Verb::Show(show) => show.run().await,
        }
    }
}

impl Check {
    fn run(self) -> anyhow::Result<ExitCode> {
        let text = read(&self.file)?;
        match parse_bundle(&self.file, &text, UnixTime::now()) {
            Ok(bundle) => {
                println!("{}: version {}, no findings", self.file, bundle.version);
                Ok(ExitCode::SUCCESS)
            }
            Err(findings) => Ok(refused(&findings)),
        }
    }
}

impl Show {
    async fn run(self) -> anyhow::Result<ExitCode> {
        let store = store(self.platform);
        let Some(head) = store.read_head().await? else {
            println!("no bundle was signed off yet");
            return Ok(ExitCode::SUCCESS);
        };
        let manifest: Manifest = serde_json::from_slice(&head.manifest)?;
        let mut chunks = std::collections::BTreeMap::new();
        for hash in manifest.missing(|_| false) {
            if let Some(bytes) = store.read_chunk(ChunkHash(hash.0)).await? {
                chunks.insert(hash, bytes);
            }
        }
        eprintln!("{}", describe(&head));
        print!("{}", join(&manifest, |hash| chunks.get(&hash))?);
        Ok(ExitCode::SUCCESS)
    }
}

/// Describes a head in words.
pub fn describe(head: &Head) -> String {
    let manifest: Option<Manifest> = serde_json::from_slice(&head.manifest).ok();
    let signer = manifest.map_or("unknown".to_owned(), |manifest| manifest.signed_by);
    format!("version {} signed off by {signer}", head.version)
}

/// Reads a file.
///
/// # Errors
/// Returns an error that names the file.
pub fn read(file: &str) -> anyhow::Result<String> {
    fs::read_to_string(file).with_context(|| format!("cannot read {file}"))
}

/// Opens the store of bundles.
pub fn store(platform: SocketAddr) -> BundleStore {
    let cfg = ClientConfig {
        addrs: vec![platform],
        seed: rand::random(),
        calls_per_s: 200,
        burst: 200,
        call_timeout_ms: duration_ms(Duration::from_secs(3)),
        ..ClientConfig::default()
    };
    BundleStore::new(Client::new(cfg))
}

fn duration_ms(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
