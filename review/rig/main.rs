//! Runs one case of the review: `rig CASE RECORD`, in the root of the repository.
//!
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

mod change_log;
mod changed_body;
mod client;
mod cut_watches;
mod endpoint;
mod http;
mod json;
mod long_answer;
mod memory;
mod record;
mod shutdown;
mod store;
mod system;

use std::{env, path::Path, process::ExitCode, time::Duration};

use record::Record;

/// Outcome of a case: whether the rule held, or why the case could not run.
pub type Outcome = Result<bool, String>;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let (Some(case), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: rig CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("cannot write {path}: {e}");
            return ExitCode::from(2);
        }
    };
    system::end_after(Duration::from_secs(117));
    let outcome = match case.as_str() {
        "changed-body" => changed_body::run(&record, trouble),
        "change-log" => change_log::run(&record, trouble),
        "cut-watches" => cut_watches::run(&record, trouble),
        "memory" => memory::run(&record, trouble),
        "shutdown" => shutdown::run(&record, trouble),
        "long-answer" => long_answer::run(&record, trouble),
        other => Err(format!("no case {other}")),
    };
    match outcome {
        Ok(held) => record.say(if held { "HELD" } else { "BROKEN" }),
        Err(ref why) => record.say(&format!("could not run: {why}")),
    }
    match (record.flush(), outcome) {
        (Ok(()), Ok(true)) => ExitCode::SUCCESS,
        (Ok(()), Ok(false)) => ExitCode::from(1),
        _ => ExitCode::from(2),
    }
}
