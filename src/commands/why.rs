//! `apricotlug why`: explains the decisions on one request, or on a client.

use std::{
    net::{IpAddr, SocketAddr},
    process::ExitCode,
};

use anyhow::bail;
use apricotlug_admin::{Explanation, Operation};
use argh::FromArgs;
use serde_json::Value;

use crate::{
    client::{Api, Call, OperatorKey},
    decisions::{self, Line},
    output::show,
};

/// Explain the decisions on one request from log files, or where a client's address belongs.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "why",
    example = "apricotlug why 5f0c2a9e11d07b3c-1 brest-1.log rennes-1.log\napricotlug why --client 10.29.0.1 --via 127.0.0.1:7002 --key armor-viewer.try-armor-viewer"
)]
pub struct Why {
    /// id of the request, as its answer names it, then log files of the instances
    #[argh(positional, arg_name = "request-id log-file")]
    words: Vec<String>,
    /// address of a client, in place of a request
    #[argh(option)]
    client: Option<IpAddr>,
    /// administration address of any entry instance, for --client
    #[argh(option)]
    via: Option<SocketAddr>,
    /// key of an operator, for --client; APRICOTLUG_KEY if absent
    #[argh(option)]
    key: Option<OperatorKey>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Why {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns an error where a file cannot be read, no line names the request, or the instance
    /// cannot be asked.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        match (self.client, self.via, self.words.as_slice()) {
            (Some(client), Some(via), []) => {
                let api = Api::new(via, self.key)?;
                explain_client(&api, client, self.json).await
            }
            (None, None, [request, logs @ ..]) if !logs.is_empty() => {
                explain_request(request, logs, self.json)
            }
            _ => bail!("give either REQUEST-ID LOG-FILE.., or --client IP --via ADDR"),
        }
    }
}

async fn explain_client(api: &Api, client: IpAddr, is_json: bool) -> anyhow::Result<ExitCode> {
    let query = format!("client={client}");
    let call = Call {
        query: Some(&query),
        ..Call::new(Operation::Explain)
    };
    show(api.call(call).await?, is_json, |told: &Explanation| {
        let mut text = format!("client {}\n", told.client);
        for step in &told.steps {
            text += &format!("  {step}\n");
        }
        if !told.instances.is_empty() {
            text += &format!("  instances: {}\n", told.instances.join(", "));
        }
        text
    })?;
    Ok(ExitCode::SUCCESS)
}

fn explain_request(request: &str, files: &[String], is_json: bool) -> anyhow::Result<ExitCode> {
    let mut lines = Vec::new();
    decisions::read(files, |line| {
        if line.text("request") == request {
            lines.push(line);
        }
    })?;
    if lines.is_empty() {
        bail!("no decision line names the request {request:?}; give the logs of all instances");
    }
    // Lines of one instance with equal timestamps stay in their order.
    lines.sort_by(|a, b| a.text("timestamp").cmp(b.text("timestamp")));
    if is_json {
        let lines: Vec<Value> = lines.iter().map(Line::to_json).collect();
        println!("{:#}", Value::Array(lines));
        return Ok(ExitCode::SUCCESS);
    }
    println!("request {request}");
    for line in &lines {
        println!("  {}  {}", line.text("timestamp"), clean(&sentence(line)));
    }
    Ok(ExitCode::SUCCESS)
}

/// Replaces control characters, so that a line can't steer the terminal.
fn clean(text: &str) -> String {
    text.replace(char::is_control, "?")
}

/// Puts a decision line into words.
fn sentence(line: &Line) -> String {
    match line.kind() {
        "placement" => format!(
            "placed on endpoint {} (version {}) among {} candidates: {}",
            line.text("endpoint"),
            line.text("version"),
            line.number("candidates"),
            placed(line.text("reason")),
        ),
        "no_place" => format!("no endpoint had room: {}", unplaced(line.text("reason"))),
        "attempt_failed" => format!(
            "the attempt on {} failed: {}; the request is {}",
            line.text("endpoint"),
            line.text("why"),
            state(line.text("state")),
        ),
        "order_forwarded" => format!(
            "passed on to {}, which holds the order, {}",
            line.text("holder"),
            match line.is("is_answered") {
                true => "and answered",
                false => "and no answer came",
            },
        ),
        "refusal" => format!(
            "refused with status {}: {}",
            line.number("status"),
            line.text("code")
        ),
        "sent" => format!(
            "sent to {} in {}, where {} requests ran or waited; the object was {} there; \
             expected after {} ms, came after {} ms",
            line.text("backend"),
            line.text("data_centre"),
            line.number("load").saturating_sub(1),
            warmth(line.fraction("warm")),
            line.number("expected_ms"),
            line.number("ms"),
        ),
        "attempt" => format!(
            "the attempt on {} (version {}) ended after {} ms: {}",
            line.text("backend"),
            line.text("version"),
            line.number("ms"),
            attempt(line.text("result")),
        ),
        "not_placed" => format!(
            "not sent: at best {} with {} requests, answer expected after {} ms of which {} ms \
             waiting, while {} ms were left of the target and {} ms in all; told to come back \
             after {} ms",
            line.text("backend"),
            line.number("load"),
            line.number("expected_ms"),
            line.number("wait_ms"),
            line.number("target_left_ms"),
            line.number("left_ms"),
            line.number("retry_ms"),
        ),
        "over_rate" => format!(
            "account {} on route {} had no part of its rate left here; told to come back after {} ms",
            line.text("account"),
            line.text("route"),
            line.number("retry_ms"),
        ),
        "undelivered" => format!(
            "the answer did not reach the caller: {}",
            line.text("error")
        ),
        "request" if line.has("plan") || line.has("ms") => ended_steered(line),
        "request" => ended(line),
        kind => format!("{kind}: {}", line.to_json()),
    }
}

fn ended(line: &Line) -> String {
    format!(
        "client {} of account {} on route {} under bundle {}: {} with status {}, \
         {} attempts, {} bytes, {} us",
        line.text("caller"),
        line.text("account"),
        line.text("route"),
        line.number("bundle"),
        line.text("result"),
        line.number("status"),
        line.number("attempts"),
        line.number("bytes"),
        line.number("latency_us"),
    )
}

/// Puts the end of a request on the platform into words.
fn ended_steered(line: &Line) -> String {
    let read = if line.has("read_from") {
        let (origin, revision) = (line.text("read_from"), line.number("revision"));
        format!(", from {origin} up to revision {revision}")
    } else {
        String::new()
    };
    format!(
        "account {} on route {} under plan {}, news {} ms old{read}: {}; last sent to {}; status {}, \
         {} attempts, {} ms",
        line.text("account"),
        line.text("route"),
        line.number("plan"),
        line.number("news_ms"),
        result(line.text("result")),
        match line.text("backend") {
            "" | "-" => "no backend server",
            backend => backend,
        },
        line.number("status"),
        line.number("attempts"),
        line.number("ms"),
    )
}

fn warmth(chance: f64) -> &'static str {
    match chance {
        _ if chance >= 0.9 => "seen lately",
        _ if chance >= 0.5 => "at home",
        _ => "probably not known",
    }
}

fn result(result: &str) -> &str {
    match result {
        "answered" => "answered by a backend server",
        "over_rate" => "refused, the account's rate was used up here",
        "no_news" => "refused, no fresh news of withdrawn keys",
        "no_plan" => "refused, no configuration is known yet",
        "stale_plan" => "refused for now, the route or key may be in a newer configuration",
        "no_route" => "refused, no route fits",
        "unknown_key" => "refused, no account has this key",
        "crowded" => "refused unsent, its wait would have made it late",
        "too_late" => "refused unsent, the answer would have come after its time",
        "all_full" => "refused unsent, every backend server was full",
        "none_there" => "refused unsent, no backend server may serve it",
        "refused" => "refused, the backend servers turned it away unread",
        "timeout" => "given up, the route's or the caller's time was over",
        "caller_left" => "given up, the caller left",
        other => other,
    }
}

fn attempt(result: &str) -> &str {
    match result {
        "unreachable" => "no connection, surely not run",
        "refused" => "turned away, surely not run",
        "misdirected" => "another backend server has the address, surely not run",
        "failed" => "it ran and failed",
        "closed_unanswered" => "the connection ended without an answer, perhaps run",
        "cut_head" | "answer_head" | "answer_body" | "framing" => {
            "its answer was cut or unreadable, perhaps run"
        }
        "unsigned" => "its answer bore no signature, perhaps run",
        other => other,
    }
}

fn placed(reason: &str) -> &str {
    match reason {
        "Home" => "the better of two in the home data centre",
        "Region" => "the better of two in another data centre of the home region",
        "Shift" => "shifted to another region, as the home region had no free slot",
        "Probe" => "tests an endpoint whose ejection has ended",
        "Panic" => "spread over all, as most endpoints answer with errors",
        other => other,
    }
}

fn unplaced(reason: &str) -> &str {
    match reason {
        "NoEndpoint" => "no endpoint runs the version, or all of them drain",
        "OtherBundle" => "the bundle changed meanwhile",
        "Full" => "all slots of this instance's share are taken",
        "Unhealthy" => "no reachable endpoint is healthy",
        "ShiftCap" => "the shift caps of the other regions are reached",
        "Link" => "the links to the other regions carry all that they may",
        other => other,
    }
}

fn state(state: &str) -> &str {
    match state {
        "NotSent" => "surely not run",
        "PerhapsRun" => "perhaps run",
        "Answered" => "answered",
        other => other,
    }
}
