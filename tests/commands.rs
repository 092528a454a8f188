//! Commands over the administration API: what they print, and their exit codes under failure.

mod support;

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
    time::Duration,
};

use apricotlug_config::datetime::rfc3339;
use apricotlug_model::UnixTime;
use apricotlug_standins::platform::{Outage, PlatformConfig, PlatformStandIn};
use async_std::task::block_on;
use serde_json::Value;
use support::{SIGNER, World, wait_until};

const VIEWER: &str = "armor-viewer.try-armor-viewer";
const RESPONDER: &str = "armor-responder.try-armor-responder";

fn spawn(args: &[&str], key: &str) -> Child {
    Command::new(env!("CARGO_BIN_EXE_apricotlug"))
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .args(args)
        .env("APRICOTLUG_KEY", key)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

fn run(args: &[&str], key: &str) -> Output {
    spawn(args, key).wait_with_output().unwrap()
}

/// Returns what a command printed, which must have ended with success.
fn printed(args: &[&str], key: &str) -> String {
    let output = run(args, key);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{args:?}: {errors}");
    String::from_utf8(output.stdout).unwrap()
}

/// Checks the exit code, and that the errors hold a text and no secret.
fn assert_fails(args: &[&str], key: &str, code: i32, words: &str) {
    let output = run(args, key);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{args:?}: {errors}");
    assert!(errors.contains(words), "{args:?}: {errors}");
    assert!(errors.contains("help: "), "{args:?}: {errors}");
    assert!(!errors.contains("try-"), "{args:?}: {errors}");
    assert_eq!(output.stdout, b"", "{args:?}");
}

/// Writes the world's bundle under another version, with an operator's change.
fn bundle_file(world: &World, name: &str, version: u64, rate: u32) -> PathBuf {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let text = world
        .text
        .replacen("version = 1\n", &format!("version = {version}\n"), 1)
        .replacen("rate = 400", &format!("rate = {rate}"), 1);
    assert_ne!(text, world.text);
    fs::write(&file, text).unwrap();
    file
}

fn with_move(text: String) -> String {
    let deadline = rfc3339(UnixTime::now().after(Duration::from_secs(600)));
    let old = "{ id = \"1\", service = \"stock\" },";
    let new = format!(
        "{old} {{ id = \"2\", service = \"stock\", move = {{ from = \"1\", \
         deadline = {deadline}, stages = [100, 1000] }} }},"
    );
    let endpoint = "{ id = \"new-1\", addr = \"127.0.0.1:22001\", site = \"brest-1\", \
                    service = \"stock\", version = \"2\", slots = 4 },";
    assert!(text.contains(old));
    text.replace(old, &new)
        .replacen("endpoint = [\n", &format!("endpoint = [\n{endpoint}\n"), 1)
}

#[test]
fn commands_show_tables_and_json() {
    let world = World::start(|text| text);
    let entries = world.fleet(&["brest"]);
    let via = entries[0].admin.to_string();
    let cases: [(&[&str], &str, &str); 4] = [
        (&["status", &via], "instance", "instance"),
        (&["fleet", "--via", &via], "brest-0", "instances"),
        (
            &["bundle", "history", "--via", &via],
            "armor-signer",
            "versions",
        ),
        (&["key", "list", "--via", &via], "armor-web-1", "keys"),
    ];
    for (args, word, field) in cases {
        assert!(printed(args, VIEWER).contains(word), "{args:?}");
        let json = printed(&[args, &["--json"]].concat(), VIEWER);
        let json: Value = serde_json::from_str(&json).unwrap();
        assert!(!json[field].is_null(), "{args:?}: {json}");
    }
    let by_option = printed(&["fleet", "--via", &via, "--key", VIEWER], "");
    assert!(by_option.contains("brest-0"));
    assert!(printed(&["status", &via, "--metrics"], "").contains("apricotlug"));
    let why = ["why", "--client", "10.29.0.1", "--via", &via];
    assert!(printed(&why, VIEWER).contains("data centre brest"));
}

#[test]
fn refused_calls_have_the_exit_code_of_their_problem_and_show_no_key() {
    let world = World::start(|text| text);
    let entries = world.fleet(&["brest"]);
    let via = entries[0].admin.to_string();
    let file = bundle_file(&world, "refused.toml", 2, 401);
    let file = file.to_str().unwrap();
    let wrong = "armor-viewer.try-another";
    let client = support::CALLER;
    let cases: [(&[&str], &str, i32, &str); 10] = [
        (&["status", &via], wrong, 4, "error[Unauthorised]"),
        (&["fleet", "--via", &via], wrong, 4, "error[Unauthorised]"),
        (&["fleet", "--via", &via], client, 4, "error[Unauthorised]"),
        (&["fleet", "--via", &via], "", 4, "error[Unauthorised]"),
        (
            &["fleet", "--via", &via],
            "try-a\r\nx: y",
            4,
            "no operator's key",
        ),
        (
            &["key", "withdraw", "armor-web-1", "--via", &via],
            VIEWER,
            4,
            "error[Forbidden]",
        ),
        (
            &["bundle", "sign-off", file, "--via", &via],
            RESPONDER,
            4,
            "error[Forbidden]",
        ),
        (
            &["key", "withdraw", "nobody", "--via", &via],
            RESPONDER,
            1,
            "error[NotFound]",
        ),
        (
            &["key", "withdraw", "a/../b", "--via", &via],
            RESPONDER,
            1,
            "error[NotFound]",
        ),
        (
            &["move", "pause", "stock", "--via", &via],
            RESPONDER,
            1,
            "error[NotFound]",
        ),
    ];
    for (args, key, code, words) in cases {
        assert_fails(args, key, code, words);
    }
    assert_eq!(entries[0].bundle_version(), 1);
}

#[test]
fn of_two_operators_who_sign_off_at_once_one_is_told_who_was_first() {
    let world = World::start(|text| text);
    let entries = world.fleet(&["brest", "quimper"]);
    let files = [401, 402].map(|rate| bundle_file(&world, &format!("race-{rate}.toml"), 2, rate));
    let signers: Vec<Child> = files
        .iter()
        .zip(&entries)
        .map(|(file, entry)| {
            let via = entry.admin.to_string();
            spawn(
                &["bundle", "sign-off", file.to_str().unwrap(), "--via", &via],
                SIGNER,
            )
        })
        .collect();
    let outputs = signers
        .into_iter()
        .map(|signer| signer.wait_with_output().unwrap());
    let mut outputs: Vec<Output> = outputs.collect();
    outputs.sort_by_key(|output| output.status.code());
    let codes: Vec<_> = outputs.iter().map(|output| output.status.code()).collect();
    assert_eq!(codes, [Some(0), Some(3)]);
    let told = String::from_utf8_lossy(&outputs[1].stderr);
    assert!(
        told.contains("version 2, signed off by armor-signer"),
        "{told}"
    );
    let via = entries[0].admin.to_string();
    wait_until("the history has both versions", || {
        let history = printed(&["bundle", "history", "--via", &via, "--json"], VIEWER);
        let history: Value = serde_json::from_str(&history).unwrap();
        history["versions"].as_array().unwrap().len() == 2
    });
}

#[test]
fn findings_are_reported_with_the_files_name_and_nothing_is_sent() {
    let world = World::start(|text| text);
    let file = bundle_file(&world, "findings.toml", 2, 0);
    let nobody = "127.0.0.1:1";
    let args = [
        "bundle",
        "sign-off",
        file.to_str().unwrap(),
        "--via",
        nobody,
    ];
    assert_fails(&args, SIGNER, 2, "findings.toml:");
}

#[test]
fn a_closed_platform_has_an_exit_code_of_its_own() {
    let world = World::start(|text| text);
    let entries = world.fleet(&["brest"]);
    let via = entries[0].admin.to_string();
    let file = bundle_file(&world, "closed.toml", 2, 401);
    let file = file.to_str().unwrap();
    world
        .platform
        .set_faults(|faults| faults.outage = Outage::Close);
    let words = "error[PlatformUnavailable]";
    assert_fails(&["bundle", "history", "--via", &via], VIEWER, 5, words);
    assert_fails(
        &["bundle", "sign-off", file, "--via", &via],
        SIGNER,
        5,
        words,
    );
    let withdraw = ["key", "withdraw", "armor-web-1", "--via", &via];
    assert!(printed(&withdraw, RESPONDER).contains("the platform may not hold"));
    let keys = printed(&["key", "list", "--via", &via], VIEWER);
    let row = keys.lines().find(|row| row.starts_with("armor-web-1 "));
    assert!(row.unwrap().contains("withdrawn"), "{keys}");
}

#[test]
fn the_very_first_bundle_is_signed_off_at_the_platform_by_one_of_its_signers() {
    let platform = block_on(PlatformStandIn::start(PlatformConfig::default())).unwrap();
    let addr: SocketAddr = platform.addr();
    let addr = addr.to_string();
    let args = [
        "bundle",
        "sign-off",
        "examples/caisses-armor.toml",
        "--platform",
        &addr,
    ];
    assert_fails(&args, "armor-signer.try-x", 4, "error[Unauthorised]");
    assert_fails(&args, RESPONDER, 4, "error[Forbidden]");
    let show = ["bundle", "show", "--platform", &addr];
    assert!(printed(&show, "").contains("no bundle was signed off yet"));
    assert!(printed(&args, SIGNER).contains("signed off by armor-signer"));
    assert_fails(&args, SIGNER, 3, "with --via");
}

#[test]
fn an_operator_pauses_resumes_and_takes_back_a_move() {
    let world = World::start(with_move);
    let entries = world.fleet(&["brest"]);
    let via = entries[0].admin.to_string();
    let change = |verb| run(&["move", verb, "stock", "--via", &via], RESPONDER);
    wait_until("the move is paused", || change("pause").status.success());
    for (verb, stage) in [("resume", "running"), ("take-back", "taken back")] {
        let output = change(verb);
        assert!(output.status.success(), "{verb}");
        wait_until("the list shows the stage", || {
            printed(&["move", "list", "--via", &via], VIEWER).contains(stage)
        });
    }
    let again = ["move", "resume", "stock", "--via", &via];
    assert_fails(&again, RESPONDER, 3, "error[Conflict]");
}
