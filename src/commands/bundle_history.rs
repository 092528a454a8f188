//! `apricotlug bundle history`: lists the versions signed off so far.

use std::{net::SocketAddr, process::ExitCode};

use apricotlug_admin::{Align, History, Operation, Table};
use apricotlug_config::datetime::rfc3339;
use argh::FromArgs;

use crate::{
    client::{Api, Call, OperatorKey},
    output::show,
};

/// List the versions signed off so far, with who and when.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "history",
    example = "apricotlug bundle history --via 127.0.0.1:7002 --key armor-viewer.try-armor-viewer"
)]
pub struct ShowHistory {
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

impl ShowHistory {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns an error where the instance or the platform cannot be asked.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        let api = Api::new(self.via, self.key)?;
        let value = api.call(Call::new(Operation::History)).await?;
        show(value, self.json, render)?;
        Ok(ExitCode::SUCCESS)
    }
}

fn render(history: &History) -> String {
    let mut table = Table::new(&[
        ("VERSION", Align::Right),
        ("SIGNED OFF BY", Align::Left),
        ("AT", Align::Left),
    ]);
    let mut versions = history.versions.clone();
    versions.sort_by_key(|head| std::cmp::Reverse(head.version));
    for head in versions {
        let (by, at) = (head.signed_by.0, rfc3339(head.signed_at));
        table.push([head.version.to_string(), by, at]);
    }
    table.to_string()
}
