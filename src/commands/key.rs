//! `apricotlug key`: makes keys for client accounts and operators.

use std::process::ExitCode;

use anyhow::bail;
use apricotlug_config::credential;
use argh::FromArgs;

/// Make keys for client accounts and operators.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key")]
pub struct Key {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Verb {
    New(New),
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
    /// Returns an error where the id is no name.
    pub fn run(self) -> anyhow::Result<ExitCode> {
        let Verb::New(New { id }) = self.verb;
        if !credential::is_id(&id) {
            bail!("{id:?} is no id of a key; use 1 to 64 letters, digits, `-` or `_`");
        }
        let key = credential::generate(&id, &mut rand::rng());
        println!("key, for its holder only:  {}", key.plain);
        println!("row, for the bundle:       {}", key.row);
        Ok(ExitCode::SUCCESS)
    }
}
