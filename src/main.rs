//! The `apricotlug` binary: one subcommand a file under `commands`.

mod client;
mod commands;
mod decisions;
mod logs;
mod measures;
mod output;
mod plots;
mod signals;

use std::process::ExitCode;

use apricotlug_admin::Problem;
use commands::TopLevel;

/// Exit code of a command that failed.
const FAILED: u8 = 1;

fn main() -> ExitCode {
    let args: TopLevel = argh::from_env();
    match async_std::task::block_on(args.run()) {
        Ok(code) => code,
        Err(e) => report(&e),
    }
}

fn report(error: &anyhow::Error) -> ExitCode {
    match error.downcast_ref::<Problem>() {
        Some(problem) => {
            eprintln!("{problem}");
            ExitCode::from(problem.code.exit_code())
        }
        None => {
            eprintln!("error: {error:#}");
            ExitCode::from(FAILED)
        }
    }
}
