//! `apricotlug key withdraw`: withdraws a key.

use std::{net::SocketAddr, process::ExitCode};

use apricotlug_admin::{Operation, WithdrawReply};
use argh::FromArgs;

use crate::{
    client::{Api, Call, OperatorKey},
    output::show,
};

/// Withdraw a key at once, on all instances and for good.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "withdraw",
    example = "apricotlug key withdraw armor-web-1 --via 127.0.0.1:7002 --key armor-responder.try-armor-responder"
)]
pub struct Withdraw {
    /// public id of the key
    #[argh(positional)]
    id: String,
    /// administration address of any entry instance
    #[argh(option)]
    via: SocketAddr,
    /// key of an operator with the role of responder; APRICOTLUG_KEY if absent
    #[argh(option)]
    key: Option<OperatorKey>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Withdraw {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns an error where the instance cannot be asked, or knows no such key.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        let api = Api::new(self.via, self.key)?;
        let call = Call {
            params: &[&self.id],
            ..Call::new(Operation::Withdraw)
        };
        show(api.call(call).await?, self.json, render)?;
        Ok(ExitCode::SUCCESS)
    }
}

fn render(reply: &WithdrawReply) -> String {
    let stored = if reply.is_stored {
        "the platform holds the withdrawal"
    } else {
        "the platform may not hold the withdrawal: repeat this until it does"
    };
    let confirmed = match reply.unconfirmed.as_slice() {
        [] => "no instance is known to lack it".to_owned(),
        names => format!("not confirmed yet by {}", names.join(", ")),
    };
    format!("{} is withdrawn; {stored}; {confirmed}", reply.key)
}
