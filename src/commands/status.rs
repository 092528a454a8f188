//! `apricotlug status`: shows the state of an entry instance.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use anyhow::Context;
use apricotlug_http::{Headers, RequestHead, exchange};
use argh::FromArgs;

/// Largest page that is read, in bytes.
const MAX_PAGE_BYTES: u64 = 16 * 1024 * 1024;

/// Longest wait for a page.
const WAIT: Duration = Duration::from_secs(5);

/// Show the state of an entry instance.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "apricotlug status 127.0.0.1:7002\napricotlug status 127.0.0.1:7002 --metrics"
)]
pub struct Status {
    /// administration address of the instance
    #[argh(positional)]
    addr: SocketAddr,
    /// show the counters
    #[argh(switch)]
    metrics: bool,
}

impl Status {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns an error where the instance cannot be asked.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        get(
            self.addr,
            if self.metrics {
                "/metrics"
            } else {
                "/v1/status"
            },
        )
        .await
    }
}

/// Prints a page of an entry instance.
///
/// # Errors
/// Returns an error where the instance cannot be asked.
pub async fn get(addr: SocketAddr, target: &str) -> anyhow::Result<ExitCode> {
    let mut headers = Headers::default();
    headers.push("host", addr.to_string());
    let head = RequestHead {
        method: "GET".to_owned(),
        target: target.to_owned(),
        minor: 1,
        headers,
    };
    let reply = exchange(addr, head, b"", MAX_PAGE_BYTES, WAIT)
        .await
        .with_context(|| format!("cannot ask {addr}"))?;
    print!("{}", String::from_utf8_lossy(&reply.body));
    Ok(if reply.head.status == 200 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
