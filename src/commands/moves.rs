//! `apricotlug move`: lists and steers moves to new versions.

use std::{net::SocketAddr, process::ExitCode};

use apricotlug_admin::{Align, MoveStatus, Moves, Operation, Table};
use apricotlug_config::datetime::rfc3339;
use argh::FromArgs;

use crate::{
    client::{Api, Call, OperatorKey},
    output::show,
};

/// Thousandths of a share in a hundredth.
const THOUSANDTHS_PER_PERCENT: u16 = 10;

/// List, pause, resume or take back moves to new versions.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "move",
    example = "apricotlug move list --via 127.0.0.1:7002 --key armor-viewer.try-armor-viewer"
)]
pub struct Move {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Verb {
    List(List),
    Pause(Pause),
    Resume(Resume),
    TakeBack(TakeBack),
}

/// List the moves.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "list",
    example = "apricotlug move list --via 127.0.0.1:7002 --key armor-viewer.try-armor-viewer"
)]
struct List {
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

/// Hold a move at its stage; its deadline stays.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "pause",
    example = "apricotlug move pause stock --via 127.0.0.1:7002 --key armor-responder.try-armor-responder"
)]
struct Pause {
    /// id of the service
    #[argh(positional)]
    service: String,
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

/// Let a paused move go on.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "resume",
    example = "apricotlug move resume stock --via 127.0.0.1:7002 --key armor-responder.try-armor-responder"
)]
struct Resume {
    /// id of the service
    #[argh(positional)]
    service: String,
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

/// Give all traffic of a service back to the old version.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "take-back",
    example = "apricotlug move take-back stock --via 127.0.0.1:7002 --key armor-responder.try-armor-responder"
)]
struct TakeBack {
    /// id of the service
    #[argh(positional)]
    service: String,
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

/// Call that answers with the moves.
struct Change {
    operation: Operation,
    service: Option<String>,
    via: SocketAddr,
    key: Option<OperatorKey>,
    json: bool,
}

impl Move {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns an error where the instance cannot be asked, or knows no such move.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        let change = match self.verb {
            Verb::List(list) => Change {
                operation: Operation::Moves,
                service: None,
                via: list.via,
                key: list.key,
                json: list.json,
            },
            Verb::Pause(verb) => Change {
                operation: Operation::PauseMove,
                service: Some(verb.service),
                via: verb.via,
                key: verb.key,
                json: verb.json,
            },
            Verb::Resume(verb) => Change {
                operation: Operation::ResumeMove,
                service: Some(verb.service),
                via: verb.via,
                key: verb.key,
                json: verb.json,
            },
            Verb::TakeBack(verb) => Change {
                operation: Operation::TakeBackMove,
                service: Some(verb.service),
                via: verb.via,
                key: verb.key,
                json: verb.json,
            },
        };
        change.run().await
    }
}

impl Change {
    async fn run(self) -> anyhow::Result<ExitCode> {
        let api = Api::new(self.via, self.key)?;
        let params: Vec<&str> = self.service.as_deref().into_iter().collect();
        let call = Call {
            params: &params,
            ..Call::new(self.operation)
        };
        show(api.call(call).await?, self.json, render)?;
        Ok(ExitCode::SUCCESS)
    }
}

fn render(moves: &Moves) -> String {
    if moves.moves.is_empty() {
        return "the bundle in force moves no service".to_owned();
    }
    let mut table = Table::new(&[
        ("SERVICE", Align::Left),
        ("FROM", Align::Left),
        ("TO", Align::Left),
        ("STAGE", Align::Left),
        ("SHARE", Align::Right),
        ("DEADLINE", Align::Left),
        ("REASON", Align::Left),
    ]);
    moves.moves.iter().for_each(|row| table.push(cells(row)));
    table.to_string()
}

fn cells(row: &MoveStatus) -> [String; 7] {
    [
        row.service.clone(),
        row.from.clone(),
        row.to.clone(),
        row.stage.as_str().to_owned(),
        format!("{}%", row.share / THOUSANDTHS_PER_PERCENT),
        rfc3339(row.deadline),
        row.reason.clone(),
    ]
}
