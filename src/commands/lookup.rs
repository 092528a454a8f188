//! `apricotlug lookup`: asks which entry instance to use.

use std::{
    net::{IpAddr, SocketAddr},
    process::ExitCode,
};

use argh::FromArgs;

use crate::client::page;

/// Ask an entry instance which entry instances a caller should use.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "lookup",
    example = "apricotlug lookup 127.0.0.1:7001 --client 10.29.0.1"
)]
pub struct Lookup {
    /// look-up address of any entry instance
    #[argh(positional)]
    addr: SocketAddr,
    /// address of the caller; that of this machine if absent
    #[argh(option)]
    client: Option<IpAddr>,
}

impl Lookup {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns an error where the instance cannot be asked.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        let target = match self.client {
            Some(client) => format!("/v1/lookup?client={client}"),
            None => "/v1/lookup".to_owned(),
        };
        print!("{}", page(self.addr, &target).await?);
        Ok(ExitCode::SUCCESS)
    }
}
