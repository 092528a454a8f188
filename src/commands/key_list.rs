//! `apricotlug key list`: lists the keys of client accounts.

use std::{net::SocketAddr, process::ExitCode};

use apricotlug_admin::{Align, KeyStatus, Keys, Operation, Table};
use argh::FromArgs;

use crate::{
    client::{Api, Call, OperatorKey},
    output::show,
};

/// List the keys of client accounts, and who has not confirmed a withdrawal.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "list",
    example = "apricotlug key list --via 127.0.0.1:7002 --key armor-viewer.try-armor-viewer"
)]
pub struct List {
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

impl List {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns an error where the instance cannot be asked.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        let api = Api::new(self.via, self.key)?;
        let value = api.call(Call::new(Operation::Keys)).await?;
        show(value, self.json, render)?;
        Ok(ExitCode::SUCCESS)
    }
}

fn render(keys: &Keys) -> String {
    let mut table = Table::new(&[
        ("KEY", Align::Left),
        ("ACCOUNT", Align::Left),
        ("STATE", Align::Left),
        ("NOT CONFIRMED BY", Align::Left),
    ]);
    let mut keys: Vec<&KeyStatus> = keys.keys.iter().collect();
    keys.sort_by_key(|key| (&key.account, &key.id));
    for key in keys {
        let state = if key.is_withdrawn {
            "withdrawn"
        } else {
            "valid"
        };
        let unconfirmed = key.unconfirmed.join(", ");
        table.push([
            key.id.clone(),
            key.account.clone(),
            state.to_owned(),
            unconfirmed,
        ]);
    }
    table.to_string()
}
