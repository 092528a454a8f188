//! Subcommands, one a file.

mod bundle;
mod bundle_diff;
mod bundle_history;
mod bundle_sign_off;
mod dev;
mod entry;
mod fleet;
mod key;
mod key_list;
mod key_withdraw;
mod lookup;
mod moves;
mod report;
mod status;
mod steer;
mod why;

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
    Fleet(fleet::Fleet),
    Key(key::Key),
    Lookup(lookup::Lookup),
    Move(moves::Move),
    Report(report::MakeReport),
    Status(status::Status),
    Steer(steer::Steer),
    Why(why::Why),
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
            Command::Fleet(command) => command.run().await,
            Command::Key(command) => command.run().await,
            Command::Lookup(command) => command.run().await,
            Command::Move(command) => command.run().await,
            Command::Report(command) => command.run(),
            Command::Status(command) => command.run().await,
            Command::Steer(command) => command.run().await,
            Command::Why(command) => command.run().await,
        }
    }
}
