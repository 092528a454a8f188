//! Formats the state of the fleet as text for a terminal.

use std::{fmt, time::Duration};

use apricotlug_config::datetime::rfc3339;
use apricotlug_model::{BundleVersion, UnixTime};

use crate::{Align, FleetStatus, MoveStatus, PlatformStatus, Table};

/// Text report of the fleet's state.
#[derive(Clone, Debug)]
pub struct Report<'s> {
    status: &'s FleetStatus,
}

impl<'s> Report<'s> {
    /// Creates the report of a fleet status.
    #[must_use]
    pub fn new(status: &'s FleetStatus) -> Self {
        Self { status }
    }

    /// Returns the table of instances: those in abnormal states first, then those with older
    /// bundles.
    #[must_use]
    pub fn instances(&self) -> Table {
        let mut table = Table::new(&[
            ("INSTANCE", Align::Left),
            ("DATA CENTRE", Align::Left),
            ("STATE", Align::Left),
            ("BUNDLE", Align::Right),
            ("LOAD", Align::Right),
            ("CALLERS", Align::Left),
        ]);
        let mut instances: Vec<_> = self.status.instances.iter().collect();
        instances.sort_by_key(|row| (std::cmp::Reverse(row.state), row.bundle, &row.name));
        for row in instances {
            table.push([
                row.name.clone(),
                row.data_centre.clone(),
                row.state.as_str().to_owned(),
                version(row.bundle),
                row.load
                    .map_or("-".to_owned(), |load| percent(load.into(), 1000)),
                row.caller.to_string(),
            ]);
        }
        table
    }

    /// Returns the table of regions with their load against the cap.
    #[must_use]
    pub fn regions(&self) -> Table {
        let mut table = Table::new(&[
            ("REGION", Align::Left),
            ("SLOTS", Align::Right),
            ("CAP", Align::Right),
            ("OCCUPIED", Align::Right),
            ("OF CAP", Align::Right),
            ("SHIFTED", Align::Right),
        ]);
        for row in &self.status.regions {
            table.push([
                row.id.clone(),
                row.slots.to_string(),
                row.cap.to_string(),
                row.occupied.to_string(),
                percent(row.occupied, row.cap),
                row.shifted.to_string(),
            ]);
        }
        table
    }

    /// Returns the table of client accounts with admitted requests against their rates.
    #[must_use]
    pub fn accounts(&self) -> Table {
        let mut table = Table::new(&[
            ("ACCOUNT", Align::Left),
            ("RATE/S", Align::Right),
            ("ADMITTED/S", Align::Right),
            ("OF RATE", Align::Right),
            ("REFUSED IN RATE/S", Align::Right),
        ]);
        for row in &self.status.accounts {
            table.push([
                row.id.clone(),
                row.rate.to_string(),
                row.admitted.to_string(),
                percent(row.admitted, row.rate),
                row.refused_in_rate.to_string(),
            ]);
        }
        table
    }

    /// Returns the table of version moves.
    #[must_use]
    pub fn moves(&self) -> Table {
        moves_table(&self.status.moves)
    }

    fn unconfirmed(&self) -> Table {
        let mut table = Table::new(&[
            ("WITHDRAWN KEY", Align::Left),
            ("NOT CONFIRMED BY", Align::Left),
        ]);
        for row in &self.status.unconfirmed {
            table.push([row.key.clone(), row.instances.join(", ")]);
        }
        table
    }
}

/// Returns the table of version moves, one row a move.
#[must_use]
pub fn moves_table(moves: &[MoveStatus]) -> Table {
    let mut table = Table::new(&[
        ("SERVICE", Align::Left),
        ("FROM", Align::Left),
        ("TO", Align::Left),
        ("STAGE", Align::Left),
        ("SHARE", Align::Right),
        ("DEADLINE", Align::Left),
        ("REASON", Align::Left),
    ]);
    for row in moves {
        table.push([
            row.service.clone(),
            row.from.clone(),
            row.to.clone(),
            row.stage.as_str().to_owned(),
            share_percent(row.share),
            rfc3339(row.deadline),
            row.reason.clone(),
        ]);
    }
    table
}

impl fmt::Display for Report<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let status = self.status;
        let (at, bundle) = (rfc3339(status.at), version(status.bundle));
        writeln!(
            f,
            "Seen by {} at {at}, bundle version {bundle}",
            status.instance
        )?;
        writeln!(f, "Platform: {}", platform(&status.platform, status.at))?;
        let tables = [
            self.instances(),
            self.regions(),
            self.accounts(),
            self.moves(),
            self.unconfirmed(),
        ];
        for table in tables.iter().filter(|table| !table.is_empty()) {
            write!(f, "\n{table}")?;
        }
        Ok(())
    }
}

fn platform(platform: &PlatformStatus, now: UnixTime) -> String {
    let state = if platform.is_reachable {
        "reachable"
    } else {
        "not reachable"
    };
    let last_answer = match platform.answered_at {
        Some(at) => format!("last answer {} ago", age(now.since(at))),
        None => "no answer yet".to_owned(),
    };
    format!("{state}, {last_answer}, {} calls", platform.calls)
}

fn age(elapsed: Duration) -> String {
    let seconds = elapsed.as_secs();
    match seconds {
        0..120 => format!("{seconds} s"),
        120..7_200 => format!("{} min", seconds / 60),
        _ => format!("{} h", seconds / 3_600),
    }
}

fn version(version: Option<BundleVersion>) -> String {
    version.map_or("-".to_owned(), |version| version.to_string())
}

/// Formats thousandths as a percentage with one decimal: the first stages of a move are below 1%.
fn share_percent(thousandths: u16) -> String {
    format!("{}.{}%", thousandths / 10, thousandths % 10)
}

/// Formats a part of a total as a percentage, rounded down; `-` where the total is zero.
fn percent(part: u32, total: u32) -> String {
    match (u64::from(part) * 100).checked_div(u64::from(total)) {
        Some(percent) => format!("{percent}%"),
        None => "-".to_owned(),
    }
}
