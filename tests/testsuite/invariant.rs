//! A broken invariant is counted, exported as a metric and logged; in debug builds the check also
//! panics.

use std::{
    panic::catch_unwind,
    sync::{Arc, Mutex},
    time::Duration,
};

use scalewood::{
    core::invariant::{self, Rule},
    ops::breach,
    util::metric::Metrics,
};

/// Records the key-value pairs of the events that are logged.
#[derive(Clone, Default)]
struct Recorder(Arc<Mutex<Vec<String>>>);

impl slog::Drain for Recorder {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record<'_>, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        let mut text = String::new();
        let mut keep = |key: slog::Key, value: std::fmt::Arguments<'_>| {
            text.push_str(&format!("{key}={value} "));
            Ok(())
        };
        // Appending to a string can't fail.
        let _ = slog::KV::serialize(&record.kv(), record, &mut Pairs(&mut keep));
        self.0.lock().unwrap().push(text);
        Ok(())
    }
}

/// A serializer that passes each pair to a function.
struct Pairs<'a>(&'a mut dyn FnMut(slog::Key, std::fmt::Arguments<'_>) -> slog::Result);

impl slog::Serializer for Pairs<'_> {
    fn emit_arguments(&mut self, key: slog::Key, value: &std::fmt::Arguments<'_>) -> slog::Result {
        (self.0)(key, *value)
    }
}

#[tokio::test]
async fn a_breach_is_counted_shown_and_logged() {
    invariant::check(true, Rule::OneAnswer, || "holds".into());
    assert_eq!(invariant::breaches(Rule::OneAnswer), 0);
    let broken = catch_unwind(|| {
        invariant::check(false, Rule::OneAnswer, || "a test breaks it".into());
    });
    assert_eq!(broken.is_err(), cfg!(debug_assertions));
    assert_eq!(invariant::breaches(Rule::OneAnswer), 1);
    let text = Metrics::default().render();
    assert!(
        text.contains("scalewood_invariant_breaches{rule=\"one-answer\"} 1"),
        "{text}"
    );
    let recorder = Recorder::default();
    let log = slog::Logger::root(recorder.clone(), slog::o!());
    let watch = tokio::spawn(breach::watch(log));
    tokio::time::sleep(Duration::from_millis(100)).await;
    watch.abort();
    let logged = recorder.0.lock().unwrap().concat();
    assert!(
        logged.contains("event=1004") && logged.contains("rule=one-answer"),
        "{logged}"
    );
}
