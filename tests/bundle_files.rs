//! Commands on bundle files: exit codes, findings and changes.

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

const EXAMPLE: &str = "examples/caisses-armor.toml";

fn run(args: &[&str]) -> Output {
    let binary = env!("CARGO_BIN_EXE_apricotlug");
    let root = env!("CARGO_MANIFEST_DIR");
    Command::new(binary)
        .current_dir(root)
        .args(args)
        .output()
        .unwrap()
}

fn text(bytes: &[u8]) -> &str {
    str::from_utf8(bytes).unwrap()
}

/// Writes the example bundle with one text replaced.
fn edited(name: &str, from: &str, to: &str) -> PathBuf {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join(EXAMPLE);
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let content = fs::read_to_string(example).unwrap();
    assert!(content.contains(from));
    fs::write(&file, content.replacen(from, to, 1)).unwrap();
    file
}

#[test]
fn example_bundles_pass_the_check() {
    for file in [EXAMPLE, "examples/novak.toml"] {
        let output = run(&["bundle", "check", file]);
        assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    }
}

#[test]
fn a_refused_bundle_gives_exit_code_2_and_the_place() {
    let file = edited("refused.toml", "cap_percent = 80", "cap_percent = 180");
    let output = run(&["bundle", "check", file.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    let place = format!("{}:10:37: error[OutOfRange]", file.display());
    assert!(
        text(&output.stderr).contains(&place),
        "{}",
        text(&output.stderr)
    );
}

#[test]
fn a_missing_file_gives_exit_code_1_and_its_name() {
    let output = run(&["bundle", "check", "no-such-file.toml"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("no-such-file.toml"));
}

#[test]
fn the_difference_of_two_files_is_listed() {
    let file = edited("changed.toml", "rate = 400", "rate = 450");
    let output = run(&["bundle", "diff", EXAMPLE, file.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(
        text(&output.stdout),
        "~ client account armor-depots: rate 400 -> 450\n"
    );
}

#[test]
fn the_row_of_a_new_key_passes_the_check() {
    let output = run(&["key", "new", "armor-depots-2"]);
    let row = text(&output.stdout)
        .lines()
        .find_map(|line| line.split_once("bundle: "))
        .unwrap()
        .1;
    let first = "keys = [\n";
    let file = edited(
        "with-key.toml",
        first,
        &format!("{first}    {},\n", row.trim()),
    );
    let output = run(&["bundle", "check", file.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    assert_eq!(run(&["key", "new", "a.b"]).status.code(), Some(1));
}
