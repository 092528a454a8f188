//! `apricotlug key`: makes, lists and withdraws keys.

use std::process::ExitCode;

use anyhow::bail;
use apricotlug_config::credential;
use argh::FromArgs;

use super::{key_list::List, key_withdraw::Withdraw};

/// Make, list and withdraw keys of client accounts and operators.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "key",
    example = "apricotlug key new armor-depots-2"
)]
pub struct Key {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Verb {
    List(List),
    New(New),
    Withdraw(Withdraw),
}

/// Draw a key; print it once, and its row for the bundle.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "new",
    example = "apricotlug key new armor-depots-2"
)]
struct New {
    /// public id of the key
    #[argh(positional)]
    id: String,
}

impl Key {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns an error where the id is no name, or the instance cannot be asked.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        match self.verb {
            Verb::List(list) => list.run().await,
            Verb::New(new) => new.run(),
            Verb::Withdraw(withdraw) => withdraw.run().await,
        }
    }
}

impl New {
    fn run(self) -> anyhow::Result<ExitCode> {
        let id = self.id;
        if !credential::is_id(&id) {
            bail!("{id:?} is no id of a key; use 1 to 64 letters, digits, `-` or `_`");
        }
        let key = credential::generate(&id, &mut rand::rng());
        println!("key, for its holder only:  {}", key.plain);
        println!("row, for the bundle:       {}", key.row);
        Ok(ExitCode::SUCCESS)
    }
}
