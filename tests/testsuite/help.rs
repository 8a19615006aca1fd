//! The help text of each command, and the errors on wrong usage, as operators see them.

use std::process::Command;

use crate::support::deploy;

fn run(program: &str, args: &[&str]) -> String {
    let output = Command::new(deploy::programs().join(program))
        .args(args)
        .env_remove("SCALEWOOD_TOKEN")
        .output()
        .unwrap();
    format!(
        "exit code {}\n{}{}",
        output.status.code().unwrap(),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

#[test]
fn help_of_the_daemons() {
    for (name, program, args) in [
        ("entry", "scalewood-entry", &["--help"][..]),
        ("control", "scalewood-control", &["--help"]),
        ("control_init", "scalewood-control", &["init", "--help"]),
        ("control_join", "scalewood-control", &["join", "--help"]),
        ("control_run", "scalewood-control", &["run", "--help"]),
    ] {
        insta::assert_snapshot!(format!("help_{name}"), run(program, args));
    }
}

#[test]
fn help_of_the_operators_commands() {
    let commands = [
        "",
        "check",
        "status",
        "token",
        "config",
        "config show",
        "config history",
        "config apply",
        "config diff",
        "voter",
        "voter list",
        "voter add",
        "voter remove",
        "held-back",
        "held-back list",
        "held-back pardon",
        "zone",
        "zone cordon",
        "zone uncordon",
        "zone list",
        "policy try",
    ];
    let kinds = ["box", "service", "class", "team", "endpoint", "policy"];
    let verbs = ["", " list", " set", " remove"];
    let items = kinds
        .iter()
        .flat_map(|kind| verbs.map(|verb| format!("{kind}{verb}")));
    for command in commands.map(str::to_owned).into_iter().chain(items) {
        let args: Vec<_> = command.split_whitespace().chain(["--help"]).collect();
        let name = format!("help_scalewood_{}", command.replace(' ', "_"));
        insta::assert_snapshot!(name, run("scalewood", &args));
    }
}

#[test]
fn errors_of_wrong_usage() {
    for (name, args) in [
        ("no_command", &[][..]),
        ("unknown_command", &["frobnicate"]),
        ("no_token", &["status"]),
        (
            "bad_class",
            &["class", "set", "lm", "{}", "--why", "a test"],
        ),
        (
            "bad_item",
            &[
                "service",
                "set",
                "lm",
                "{\"kind\": \"odd\"}",
                "--why",
                "a test",
            ],
        ),
        ("no_why", &["service", "remove", "lm"]),
        ("bad_voter", &["voter", "remove", "c1"]),
    ] {
        insta::assert_snapshot!(format!("usage_{name}"), run("scalewood", args));
    }
}

#[test]
fn an_unreachable_voter_has_an_exit_code_of_its_own() {
    let output = Command::new(deploy::programs().join("scalewood"))
        .args(["status", "--admin", "127.0.0.1:1"])
        .env("SCALEWOOD_TOKEN", "x")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(5));
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stderr), @"error: no voter could be reached; name one that runs with --admin");
}

#[test]
fn a_policy_is_tried_offline() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("night.rhai");
    std::fs::write(
        &file,
        r#"if hour < 6 { #{ class: "bulk", spill: false } } else { #{} }"#,
    )
    .unwrap();
    let file = file.to_str().unwrap();
    insta::assert_snapshot!(
        "policy_night",
        run("scalewood", &["policy", "try", file, "--hour", "3"])
    );
    insta::assert_snapshot!(
        "policy_day",
        run("scalewood", &["policy", "try", file, "--hour", "9"])
    );
    std::fs::write(file, "loop {}").unwrap();
    insta::assert_snapshot!("policy_endless", run("scalewood", &["policy", "try", file]));
}

#[test]
fn a_token_is_made_with_its_hash() {
    let output = run("scalewood", &["token", "--output", "json"]);
    let json = output.lines().nth(1).unwrap();
    let made: serde_json::Value = serde_json::from_str(json).unwrap();
    let hash = scalewood::core::secret::Hash::of(made["token"].as_str().unwrap());
    assert_eq!(made["token_hash"], hash.to_string());
    assert_ne!(run("scalewood", &["token"]), run("scalewood", &["token"]));
}
