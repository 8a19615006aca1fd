//! The list of tests that are known to fail, as `.ci/run` reads it.

use std::{path::Path, process::Command};

/// Reads a list with the script. Returns the names of the tests to pass over, or the script's
/// error.
fn read(list: &str) -> Result<Vec<String>, String> {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("list");
    std::fs::write(&path, list).unwrap();
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/known-red");
    let command = "set -euo pipefail; source \"$0\"; known_red_read \"$1\"; \
                   printf '%s\\n' \"${known_red_tests[@]}\"";
    let output = Command::new("bash")
        .args(["-c", command])
        .arg(script)
        .arg(path)
        .output()
        .unwrap();
    if !output.status.success() {
        return Err(String::from_utf8(output.stderr).unwrap());
    }
    let names = String::from_utf8(output.stdout).unwrap();
    let names = names.lines().filter(|name| !name.is_empty());
    Ok(names.map(str::to_owned).collect())
}

#[test]
fn listed_tests_are_passed_over_by_their_whole_name() {
    let list = "# comment\n\nfeed::one | a voter is silent | 29\nload::two|slow|30\n";
    assert_eq!(read(list).unwrap(), ["feed::one", "load::two"]);
    assert_eq!(read("").unwrap(), [""; 0]);
}

#[test]
fn a_list_that_is_too_long_or_unclear_is_refused() {
    let unclear = read("feed::one | no issue\n").unwrap_err();
    assert!(unclear.contains("is not TEST | CAUSE | ISSUE"), "{unclear}");
    let long = read(&"feed::one | cause | 1\n".repeat(5)).unwrap_err();
    assert!(long.contains("it lists 5 tests; 4 are the most"), "{long}");
}
