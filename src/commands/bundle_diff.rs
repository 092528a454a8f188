//! `apricotlug bundle diff`: compares two bundle files.

use std::process::ExitCode;

use apricotlug_config::{diff::diff, load_bundle};
use argh::FromArgs;

use super::bundle::{read, refused};

/// Compare two bundle files, entry by entry.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "diff",
    example = "apricotlug bundle diff in-force.toml examples/caisses-armor.toml"
)]
pub struct Diff {
    /// older bundle file
    #[argh(positional)]
    before: String,
    /// newer bundle file
    #[argh(positional)]
    after: String,
}

impl Diff {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns an error where a file cannot be read.
    pub fn run(self) -> anyhow::Result<ExitCode> {
        let before = load_bundle(&self.before, &read(&self.before)?);
        let after = load_bundle(&self.after, &read(&self.after)?);
        let (before, after) = match (before, after) {
            (Ok(before), Ok(after)) => (before, after),
            (before, after) => {
                let findings = [before.err(), after.err()];
                findings.iter().flatten().for_each(|findings| {
                    refused(findings);
                });
                return Ok(ExitCode::from(super::bundle::REFUSED));
            }
        };
        for change in diff(&before, &after) {
            println!("{change}");
        }
        Ok(ExitCode::SUCCESS)
    }
}
