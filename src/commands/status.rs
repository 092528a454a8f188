//! `apricotlug status`: shows the state of an entry instance.

use std::{net::SocketAddr, process::ExitCode};

use apricotlug_admin::{Align, Operation, Table};
use apricotlug_config::datetime::rfc3339;
use apricotlug_model::UnixTime;
use argh::FromArgs;
use serde_json::{Map, Value};

use crate::{
    client::{Api, Call, OperatorKey, page},
    output::show,
};

/// End of the names of fields that hold points in time, in microseconds since 1970.
const POINT_SUFFIX: &str = "_at";

/// Show the state of an entry instance.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "apricotlug status 127.0.0.1:7002 --key armor-viewer.try-armor-viewer\napricotlug status 127.0.0.1:7002 --metrics"
)]
pub struct Status {
    /// administration address of the instance
    #[argh(positional)]
    addr: SocketAddr,
    /// key of an operator; APRICOTLUG_KEY if absent
    #[argh(option)]
    key: Option<OperatorKey>,
    /// show the counters, which takes no key
    #[argh(switch)]
    metrics: bool,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Status {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns an error where the instance cannot be asked.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        if self.metrics {
            print!("{}", page(self.addr, "/metrics").await?);
            return Ok(ExitCode::SUCCESS);
        }
        let api = Api::new(self.addr, self.key)?;
        let value = api.call(Call::new(Operation::Status)).await?;
        show(value, self.json, render)?;
        Ok(ExitCode::SUCCESS)
    }
}

fn render(status: &Map<String, Value>) -> String {
    let mut table = Table::new(&[("FIELD", Align::Left), ("VALUE", Align::Left)]);
    fill(&mut table, "", status);
    table.to_string()
}

fn fill(table: &mut Table, prefix: &str, fields: &Map<String, Value>) {
    for (name, value) in fields {
        let name = format!("{prefix}{name}");
        match value {
            Value::Number(at) if name.ends_with(POINT_SUFFIX) => {
                let at = UnixTime(at.as_u64().unwrap_or(0));
                table.push([name, rfc3339(at)]);
            }
            Value::Object(inner) => fill(table, &format!("{name}."), inner),
            Value::String(text) => table.push([name, text.clone()]),
            Value::Null => table.push([name, "-".to_owned()]),
            value => table.push([name, value.to_string()]),
        }
    }
}
