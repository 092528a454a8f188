//! The `apricotlug` binary: one subcommand a file under `commands`.

fn main() {}
