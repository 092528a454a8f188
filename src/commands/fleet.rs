//! `apricotlug fleet`: shows the state of the fleet.

use std::{net::SocketAddr, process::ExitCode};

use apricotlug_admin::{FleetStatus, Operation, Report};
use argh::FromArgs;

use crate::{
    client::{Api, Call, OperatorKey},
    output::show,
};

/// Show the state of the fleet as one entry instance sees it.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "fleet",
    example = "apricotlug fleet --via 127.0.0.1:7002 --key armor-viewer.try-armor-viewer"
)]
pub struct Fleet {
    /// administration address of any entry instance
    #[argh(option)]
    via: SocketAddr,
    /// key of an operator; APRICOTLUG_KEY if absent
    #[argh(option)]
    key: Option<OperatorKey>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Fleet {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns an error where the instance cannot be asked.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        let api = Api::new(self.via, self.key)?;
        let value = api.call(Call::new(Operation::Fleet)).await?;
        show(value, self.json, |status: &FleetStatus| {
            Report::new(status).to_string()
        })?;
        Ok(ExitCode::SUCCESS)
    }
}
