//! Settings: all errors are reported at once, each with its line and a remedy.

use scalewood::{
    ops::{control, entry},
    util::settings,
};

const ENTRY: &str = r#"{
  // A box in Cluj.
  "box": "e1", "zone": "cluj",
  "callers": "127.0.0.1:7200", "listen": "127.0.0.1:7201", "health": "127.0.0.1:7202",
  "voters": [{ "address": "127.0.0.1:7100" }], /* one voter */
  "limits": { "body": "2MiB", "silence": "20s" },
}"#;

#[test]
fn good_settings_are_taken() {
    let settings: entry::Settings = settings::parse("entry.json", ENTRY).unwrap();
    assert_eq!(settings.name.as_str(), "e1");
    assert_eq!(settings.limits.max_body.0, 2 << 20);
    assert_eq!(settings.limits.max_silence.as_secs(), 20);
    assert_eq!(
        settings.limits.connect_timeout,
        entry::Limits::default().connect_timeout
    );
}

#[test]
fn all_problems_are_told_at_once() {
    let text = r#"{
  "box": "E1",
  "callers": "127.0.0.1:7200",
  "listen": "127.0.0.1:7200",
  "health": "localhost",
  "voter": [],
  "limits": {
    "body": "2 megabytes",
    "silence": 20,
    "arival": "1s"
  },
  "stop_drain": "10 minutes"
}"#;
    let error = settings::parse::<entry::Settings>("entry.json", text).unwrap_err();
    insta::assert_snapshot!("entry_problems", error.to_string());
}

#[test]
fn a_voter_needs_operators_and_sound_times() {
    let text = r#"{
  "box": "c1", "listen": "127.0.0.1:7100", "admin": "127.0.0.1:7100", "data": "d",
  "election": "300ms", "heartbeat": "200ms", "lease_margin": "1s",
  "operators": [{ "name": "nara", "token_hash": "abc" }]
}"#;
    let error = settings::parse::<control::Settings>("control.json", text).unwrap_err();
    insta::assert_snapshot!("control_problems", error.to_string());
}

#[test]
fn what_is_no_object_is_told() {
    for (name, text) in [
        ("broken", "{\n  \"box\": \n}"),
        ("list", "[]"),
        ("empty", ""),
    ] {
        let error = settings::parse::<entry::Settings>("entry.json", text).unwrap_err();
        insta::assert_snapshot!(format!("not_an_object_{name}"), error.to_string());
    }
}

#[test]
fn a_missing_file_is_told() {
    let error = settings::load::<entry::Settings>("/nowhere/entry.json".as_ref()).unwrap_err();
    assert!(error.to_string().contains("it can't be read"), "{error}");
}

/// Invalid settings of a provider disable its tasks, and the voter starts all the same.
#[test]
fn a_provider_that_makes_no_sense_is_told_and_stops_no_voter() {
    use scalewood::ops::control::{provider::Task, Settings};
    let read = |provider: &str| {
        let text = format!(
            r#"{{ "box": "c1", "listen": "127.0.0.1:7100", "admin": "127.0.0.1:7101",
                "publish": "127.0.0.1:7102", "data": "data", "provider": {provider} }}"#
        );
        let settings = settings::parse::<Settings>("c1.json", &text).unwrap();
        settings.provider.obstacle(Task::Usage).unwrap_or("none")
    };
    let whole = |window: &str, rate: &str| {
        format!(
            r#"{{ "address": "10.0.0.1:80", "caller": "c1", "tasks": "usage,unheard-of",
                "usage_window": "{window}", "rate": "{rate}" }}"#
        )
    };
    assert_eq!(read(&whole("5s", "50")), "none");
    assert!(read(r#"{ "address": "nowhere" }"#).contains("address"));
    assert!(read(&whole("0s", "50")).contains("window"));
    assert!(read(&whole("5s", "0")).contains("rate"));
    assert!(read(r#"{ "address": "10.0.0.1:80" }"#).contains("name"));
}
