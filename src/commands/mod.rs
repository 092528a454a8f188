//! Subcommands, one a file.

mod bundle;
mod bundle_diff;
mod dev;
mod entry;
mod key;
mod lookup;
mod status;

use std::process::ExitCode;

use argh::FromArgs;

/// Steers traffic between callers and backend servers.
#[derive(Debug, FromArgs)]
pub struct TopLevel {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Bundle(bundle::Bundle),
    Dev(dev::Dev),
    Entry(entry::Entry),
    Key(key::Key),
    Lookup(lookup::Lookup),
    Status(status::Status),
}

impl TopLevel {
    /// Runs the subcommand and returns the exit code of the process.
    ///
    /// # Errors
    /// Returns what kept the subcommand from its work.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        match self.command {
            Command::Bundle(command) => command.run().await,
            Command::Dev(command) => command.run().await,
            Command::Entry(command) => command.run().await,
            Command::Key(command) => command.run(),
            Command::Lookup(command) => command.run().await,
            Command::Status(command) => command.run().await,
        }
    }
}
