//! The `apricotlug` binary: one subcommand a file under `commands`.

mod commands;
mod logs;
mod signals;

use std::process::ExitCode;

use commands::TopLevel;

/// Exit code of a command that failed.
const FAILED: u8 = 1;

fn main() -> ExitCode {
    let args: TopLevel = argh::from_env();
    match async_std::task::block_on(args.run()) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::from(FAILED)
        }
    }
}
