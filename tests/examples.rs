//! The examples that each command's help shows are run against a running system.

mod support;

use std::{
    collections::BTreeSet,
    process::{Command, Output},
};

use support::{Entry, World};

/// Words by which the command line says that it could not be read.
const USAGE: &str = "--help for more information";

fn apricotlug(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_apricotlug"))
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .args(args)
        .env_remove("APRICOTLUG_KEY")
        .output()
        .unwrap()
}

fn help(path: &[&str]) -> String {
    let output = apricotlug(&[path, &["--help"]].concat());
    String::from_utf8(output.stdout).unwrap()
}

/// Returns the names under `Commands:` of a help page.
fn subcommands(help: &str) -> Vec<String> {
    let after = help.split("Commands:\n").nth(1).unwrap_or("");
    let rows = after.lines().take_while(|row| !row.is_empty());
    rows.filter(|row| row.starts_with("  ") && !row.starts_with("   "))
        .filter_map(|row| row.split_whitespace().next())
        .map(str::to_owned)
        .collect()
}

fn collect(path: &[&str], pages: &mut Vec<(String, String)>) {
    let help = help(path);
    for name in subcommands(&help) {
        collect(&[path, &[&name]].concat(), pages);
    }
    pages.push((path.join(" "), help));
}

/// Puts the addresses of the running system in place of those of the page.
fn real(example: &str, world: &World, entry: &Entry) -> String {
    let addrs = [
        ("127.0.0.1:7001", entry.lookup),
        ("127.0.0.1:7002", entry.admin),
        ("127.0.0.1:7100", world.platform.addr()),
    ];
    addrs.iter().fold(example.to_owned(), |line, (page, addr)| {
        line.replace(page, &addr.to_string())
    })
}

#[test]
fn each_command_has_a_description_and_examples_that_are_read_as_shown() {
    let world = World::start(|text| text);
    let entries = world.fleet(&["brest"]);
    let mut pages = Vec::new();
    collect(&[], &mut pages);
    let names: BTreeSet<&str> = pages.iter().map(|(name, _)| name.as_str()).collect();
    for name in [
        "bundle sign-off",
        "key withdraw",
        "move take-back",
        "report",
        "why",
    ] {
        assert!(names.contains(name), "{name} is not listed");
    }
    let mut succeeded = BTreeSet::new();
    for (name, page) in pages.iter().filter(|(name, _)| !name.is_empty()) {
        let description = page.split("\n\n").nth(1).unwrap_or("");
        assert!(description.ends_with('.'), "{name}: {page}");
        let examples = page.split("Examples:\n").nth(1).unwrap_or("");
        let examples = examples.lines().map(str::trim);
        let examples: Vec<_> = examples
            .filter(|row| row.starts_with("apricotlug "))
            .collect();
        assert!(!examples.is_empty(), "{name} shows no example");
        for example in examples {
            let line = real(example, &world, &entries[0]);
            let mut args: Vec<&str> = line.split_whitespace().skip(1).collect();
            assert!(
                args.join(" ").starts_with(name.as_str()),
                "{name}: {example}"
            );
            match args[0] {
                // These run until they are stopped; a page of help or a check ends at once.
                "dev" => args.push("--help"),
                "entry" if !args.contains(&"--check") => args.push("--check"),
                _ => {}
            }
            let output = apricotlug(&args);
            let errors = String::from_utf8_lossy(&output.stderr);
            assert!(!errors.contains(USAGE), "{example}: {errors}");
            assert!(!errors.contains("Error parsing"), "{example}: {errors}");
            if output.status.success() {
                succeeded.insert(name.as_str());
            }
        }
    }
    for name in [
        "status",
        "fleet",
        "bundle history",
        "bundle show",
        "key list",
    ] {
        assert!(succeeded.contains(name), "the example of {name} failed");
    }
    for name in ["key withdraw", "move list", "lookup", "why", "bundle check"] {
        assert!(succeeded.contains(name), "the example of {name} failed");
    }
}
