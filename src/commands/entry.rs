//! `apricotlug entry`: runs an entry instance.

use std::{fs, process::ExitCode};

use anyhow::Context;
use apricotlug_config::parse_settings;
use apricotlug_node::{Node, NodeConfig};
use argh::FromArgs;

use super::bundle::refused;
use crate::{logs, signals};

/// Run an entry instance until it is asked to end.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "entry",
    example = "Check the settings, then run:\n  apricotlug entry examples/entry.toml --check\n  apricotlug entry examples/entry.toml"
)]
pub struct Entry {
    /// settings file
    #[argh(positional)]
    settings: String,
    /// check the settings and end
    #[argh(switch)]
    check: bool,
}

impl Entry {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns an error where the file cannot be read or an address cannot be bound.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        let text = fs::read_to_string(&self.settings)
            .with_context(|| format!("cannot read {}", self.settings))?;
        let settings = match parse_settings(&self.settings, &text) {
            Ok(settings) => settings,
            Err(findings) => return Ok(refused(&findings)),
        };
        if self.check {
            println!("{}: no findings", self.settings);
            return Ok(ExitCode::SUCCESS);
        }
        let _logs = logs::start(settings.log_level);
        let ends = signals::ends().context("cannot watch signals")?;
        let node = Node::start(NodeConfig {
            settings,
            incarnation: rand::random(),
        })
        .await?;
        ends.recv().await?;
        let left = node.leave().await;
        Ok(if left == 0 {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        })
    }
}
