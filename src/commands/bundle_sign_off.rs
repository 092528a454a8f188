//! `apricotlug bundle sign-off`: puts a bundle in force.

use std::{net::SocketAddr, process::ExitCode};

use anyhow::{anyhow, bail};
use apricotlug_admin::{BundleHead, Operation, Problem, ProblemCode, SignOffReply, authorise};
use apricotlug_config::parse_bundle;
use apricotlug_model::{Bundle, HashSet, Role, UnixTime};
use apricotlug_node::sign_off;
use apricotlug_platform::SignOff;
use argh::FromArgs;

use super::bundle::{CONFLICT, describe, read, refused, store};
use crate::client::{Api, Call, OperatorKey};

/// Put a bundle in force, unless another operator was first.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "sign-off",
    example = "apricotlug bundle sign-off examples/caisses-armor.toml --via 127.0.0.1:7002 --key armor-signer.try-armor-signer",
    note = "The very first bundle, where none is in force yet, is signed off with --platform in place of --via. The key must then be that of a signer of this bundle."
)]
pub struct Sign {
    /// bundle file
    #[argh(positional)]
    file: String,
    /// administration address of any entry instance
    #[argh(option)]
    via: Option<SocketAddr>,
    /// for the very first bundle only: address of the platform's key-value service
    #[argh(option)]
    platform: Option<SocketAddr>,
    /// key of an operator with the role of signer; APRICOTLUG_KEY if absent
    #[argh(option)]
    key: Option<OperatorKey>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Sign {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns an error where the instance or the platform cannot be asked, or refuses.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        let text = read(&self.file)?;
        // Findings are reported here with the file's name, before anything is sent.
        let bundle = match parse_bundle(&self.file, &text, UnixTime::now()) {
            Ok(bundle) => bundle,
            Err(findings) => return Ok(refused(&findings)),
        };
        let reply = match (self.via, self.platform) {
            (Some(via), None) => through_instance(via, self.key, &text).await?,
            (None, Some(platform)) => first(platform, self.key, &text, &bundle).await?,
            _ => bail!("give either --via, or --platform for the very first bundle"),
        };
        if self.json {
            println!("{}", serde_json::to_string_pretty(&reply)?);
        }
        Ok(tell(&reply, self.json))
    }
}

async fn through_instance(
    via: SocketAddr,
    key: Option<OperatorKey>,
    text: &str,
) -> anyhow::Result<SignOffReply> {
    let api = Api::new(via, key)?;
    let call = Call {
        body: text,
        ..Call::new(Operation::SignOff)
    };
    api.call_or_conflict(call).await
}

/// Signs the very first bundle off, authorised by its own operators.
async fn first(
    platform: SocketAddr,
    key: Option<OperatorKey>,
    text: &str,
    bundle: &Bundle,
) -> anyhow::Result<SignOffReply> {
    let key = OperatorKey::find(key)?;
    let operator = authorise(bundle, &HashSet::default(), key.as_str(), Role::Signer)
        .map_err(|denied| anyhow::Error::msg(Problem::from(denied)))?;
    let store = store(platform);
    if let Some(head) = store.read_head().await? {
        let message = format!("{} is in force already", describe(&head));
        let help = "sign off through an entry instance, with --via";
        return Err(anyhow::Error::msg(Problem::new(
            ProblemCode::Conflict,
            message,
            help,
        )));
    }
    match sign_off(&store, text, bundle.version, &operator.0).await? {
        SignOff::Accepted => Ok(SignOffReply::Accepted {
            head: BundleHead {
                version: bundle.version,
                signed_by: operator,
                signed_at: UnixTime::now(),
            },
        }),
        SignOff::Conflict { winner } => {
            let winner = winner.ok_or_else(|| anyhow!("another bundle was first"))?;
            let winner = BundleHead::from(&serde_json::from_slice(&winner.manifest)?);
            let changes = Vec::new();
            Ok(SignOffReply::Conflict { winner, changes })
        }
        SignOff::Unknown => Err(anyhow::Error::msg(Problem::new(
            ProblemCode::OutcomeUnknown,
            "the platform's answer was lost",
            "run `apricotlug bundle show` before a repeat",
        ))),
    }
}

fn tell(reply: &SignOffReply, is_json: bool) -> ExitCode {
    match reply {
        SignOffReply::Accepted { head } => {
            if !is_json {
                println!(
                    "version {} is in force, signed off by {}",
                    head.version, head.signed_by
                );
            }
            ExitCode::SUCCESS
        }
        SignOffReply::Conflict { winner, changes } => {
            eprintln!(
                "error[Conflict]: version {}, signed off by {}, is in force",
                winner.version, winner.signed_by
            );
            for change in changes {
                eprintln!("  {change}");
            }
            eprintln!("  help: compare, raise the version above it, and try again");
            ExitCode::from(CONFLICT)
        }
    }
}
