//! Stand-ins and scenarios of the second review: `rig-2 SCENARIO APRICOTLUG RECORD TROUBLE`.
//!
//! One process holds the store, the servers, the clients and the operator. The entry instances are
//! processes of their own, started as the deploy file says. Uses the standard library only.

mod chunks;
mod client;
mod crowd;
mod endless;
mod endpoint;
mod entry;
mod evacuation;
mod http;
mod json;
mod open_route;
mod record;
mod retained;
mod store;

use std::{env, path::PathBuf, process};

/// What a scenario found.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The scenario could not be brought about.
    NotRun(String),
}

/// Where a scenario's parts are, and whether it includes the disruption.
pub struct Setup {
    /// Binary of the deploy file.
    pub binary: PathBuf,
    /// Record of what was sent, answered and run.
    pub record: record::Record,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, scenario, binary, record, trouble] = args.as_slice() else {
        eprintln!("usage: rig-2 SCENARIO APRICOTLUG RECORD TROUBLE");
        process::exit(2);
    };
    let setup = Setup {
        binary: binary.into(),
        record: record::Record::create(record),
        has_trouble: trouble != "0",
    };
    let verdict = match scenario.as_str() {
        "chunks" => chunks::run(&setup),
        "crowd" => crowd::run(&setup),
        "endless" => endless::run(&setup),
        "evacuation" => evacuation::run(&setup),
        "open-route" => open_route::run(&setup),
        "retained" => retained::run(&setup),
        other => Verdict::NotRun(format!("no scenario {other}")),
    };
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken => (1, "the rule was broken".to_owned()),
        Verdict::NotRun(why) => (2, format!("the case could not run: {why}")),
    };
    setup.record.line(&text);
    println!("{text}");
    process::exit(code);
}
