//! `apricotlug steer`: runs an entry instance on the platform.

use std::{fs, process::ExitCode};

use anyhow::Context;
use apricotlug_config::{SiteSettings, parse_site};
use apricotlug_model::Findings;
use apricotlug_steer::Instance;
use argh::FromArgs;

use super::bundle::refused;
use crate::{
    logs,
    signals::{self, Asked},
};

/// Run an entry instance on the platform until it is asked to end.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "steer",
    example = "Check the settings:\n  apricotlug steer examples/steer.toml --check"
)]
pub struct Steer {
    /// settings file
    #[argh(positional)]
    settings: String,
    /// check the settings and end
    #[argh(switch)]
    check: bool,
}

impl Steer {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns an error where the file cannot be read or an address cannot be bound.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        let settings = match self.read()? {
            Ok(settings) => settings,
            Err(findings) => return Ok(refused(&findings)),
        };
        if self.check {
            println!("{}: no findings", self.settings);
            return Ok(ExitCode::SUCCESS);
        }
        let logs = logs::start(settings.log_level);
        let asked = signals::all().context("cannot watch signals")?;
        let instance = Instance::start(settings, logs.dropped()).await?;
        while asked.recv().await? == Asked::Reload {
            self.reload(&instance);
        }
        instance.leave().await;
        Ok(ExitCode::SUCCESS)
    }

    fn read(&self) -> anyhow::Result<Result<SiteSettings, Findings>> {
        let text = fs::read_to_string(&self.settings)
            .with_context(|| format!("cannot read {}", self.settings))?;
        Ok(parse_site(&self.settings, &text))
    }

    /// Takes up changed settings; where they cannot be used, the old ones stay.
    fn reload(&self, instance: &Instance) {
        match self.read() {
            Ok(Ok(settings)) => instance.reload(settings),
            Ok(Err(findings)) => tracing::error!(kind = "reload_refused", %findings),
            Err(e) => tracing::error!(kind = "reload_refused", error = format!("{e:#}")),
        }
    }
}
