//! `apricotlug report`: measures over decision logs.

use std::{fmt::Write, fs, process::ExitCode};

use anyhow::{Context, ensure};
use apricotlug_admin::{Align, Table};
use argh::FromArgs;

use crate::{
    decisions,
    measures::{Collector, Latency, Measures},
    plots,
};

/// Measure latency, refusals, client accounts and moves over decision logs.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "report",
    example = "apricotlug report brest-1.log rennes-1.log --html report.html"
)]
pub struct MakeReport {
    /// log files of the instances
    #[argh(positional)]
    logs: Vec<String>,
    /// write a page with plots to this file too
    #[argh(option)]
    html: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl MakeReport {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns an error where a file cannot be read or written, or holds no decisions.
    pub fn run(self) -> anyhow::Result<ExitCode> {
        ensure!(!self.logs.is_empty(), "give at least one log file");
        let mut collector = Collector::default();
        let counts = decisions::read(&self.logs, |line| collector.take(&line))?;
        ensure!(
            counts.decisions > 0,
            "no decision lines in {} lines; give the JSON lines that `apricotlug entry` writes",
            counts.others
        );
        let measures = collector.finish(counts);
        let text = text(&measures)?;
        if let Some(file) = &self.html {
            let page = plots::page(&measures, &text)?;
            fs::write(file, page).with_context(|| format!("cannot write {file}"))?;
        }
        if self.json {
            println!("{}", serde_json::to_string_pretty(&measures)?);
        } else {
            print!("{text}");
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn text(measures: &Measures) -> anyhow::Result<String> {
    let mut text = String::new();
    writeln!(text, "{}", totals(measures))?;
    let tables = [
        routes(measures),
        accounts(measures),
        refusals(measures),
        moves(measures),
    ];
    for table in tables.iter().filter(|table| !table.is_empty()) {
        writeln!(text, "{table}")?;
    }
    text.truncate(text.trim_end().len());
    text.push('\n');
    Ok(text)
}

fn totals(measures: &Measures) -> Table {
    let mut table = Table::new(&[("MEASURE", Align::Left), ("VALUE", Align::Right)]);
    let worst = measures.accounts.first();
    let worst = worst.map_or("-".to_owned(), |account| account.id.clone());
    let rows = [
        ("requests", measures.requests.to_string()),
        ("refused in rate", measures.refused_in_rate.to_string()),
        ("over_rate refusals", measures.over_rate.to_string()),
        (
            "attempts per request",
            format!("{:.3}", measures.attempts_per_request),
        ),
        ("most attempts", measures.most_attempts.to_string()),
        ("worst-served account", worst),
        ("moves finished", measures.moves_finished.to_string()),
        ("moves taken back", measures.moves_taken_back.to_string()),
        ("unread lines", measures.unread_lines.to_string()),
    ];
    for (name, value) in rows {
        table.push([name.to_owned(), value]);
    }
    table
}

fn routes(measures: &Measures) -> Table {
    let mut table = Table::new(&[
        ("ROUTE", Align::Left),
        ("ANSWERED", Align::Right),
        ("P50 MS", Align::Right),
        ("P90 MS", Align::Right),
        ("P99 MS", Align::Right),
        ("P99.9 MS", Align::Right),
        ("MAX MS", Align::Right),
    ]);
    for (route, latency) in &measures.routes {
        let mut cells = vec![route.clone(), latency.answered.to_string()];
        cells.extend(millis(latency));
        table.push(cells);
    }
    table
}

fn millis(latency: &Latency) -> [String; 5] {
    let Latency {
        p50_us,
        p90_us,
        p99_us,
        p999_us,
        max_us,
        ..
    } = *latency;
    [p50_us, p90_us, p99_us, p999_us, max_us].map(ms)
}

/// Returns microseconds as milliseconds with two digits after the point, rounded down.
fn ms(us: u64) -> String {
    format!("{}.{:02}", us / 1_000, us % 1_000 / 10)
}

fn accounts(measures: &Measures) -> Table {
    let mut table = Table::new(&[
        ("ACCOUNT", Align::Left),
        ("ADMITTED", Align::Right),
        ("SERVED", Align::Right),
        ("SERVED %", Align::Right),
        ("REFUSED IN RATE", Align::Right),
        ("P99 MS", Align::Right),
    ]);
    for account in &measures.accounts {
        table.push([
            account.id.clone(),
            account.admitted.to_string(),
            account.served.to_string(),
            format!("{:.2}", account.share() * 100.0),
            account.refused.to_string(),
            ms(account.latency.p99_us),
        ]);
    }
    table
}

fn refusals(measures: &Measures) -> Table {
    let mut table = Table::new(&[("REFUSAL", Align::Left), ("REQUESTS", Align::Right)]);
    for (code, count) in &measures.refusals {
        table.push([code.clone(), count.to_string()]);
    }
    table
}

fn moves(measures: &Measures) -> Table {
    let mut table = Table::new(&[
        ("SERVICE", Align::Left),
        ("TO VERSION", Align::Left),
        ("STATE", Align::Left),
    ]);
    for it in &measures.moves {
        table.push([it.service.clone(), it.version.clone(), it.state.clone()]);
    }
    table
}
