//! Replays recorded traces against the code that keeps the promises of `docs/promises.md`.

mod backend;
mod cluster;
mod entry;
mod event;
mod simulation;

use std::path::Path;

use rstest::rstest;

/// Replays a trace and returns the outcomes that differ from the expected ones.
fn replay(path: &Path) -> Vec<String> {
    let text = std::fs::read_to_string(path).unwrap();
    let (mut simulation, mut last_at, mut differences) =
        (simulation::Simulation::new(), 0, Vec::new());
    let (mut expectations, file_name) = (0, path.file_name().unwrap().display());
    for (index, event) in event::read(&text).iter().enumerate() {
        let (line, name) = (index + 1, &event.event);
        assert!(
            last_at <= event.at,
            "{file_name}, line {line}: events are not in order of time"
        );
        last_at = event.at;
        let outcome = simulation.on_event(event);
        expectations += usize::from(event.expect.is_some());
        if let Some(expected) = event
            .expect
            .as_ref()
            .filter(|expected| **expected != outcome)
        {
            differences.push(format!(
                "{file_name}, line {line}, {name}: \"{outcome}\" instead of \"{expected}\""
            ));
        }
    }
    assert!(expectations > 0, "{file_name} expects no outcome");
    differences
}

/// Replays the traces of a promise in `folder`.
fn check(folder: &str, promise: u32) {
    let prefix = format!("p{promise}-");
    let files = std::fs::read_dir(folder).unwrap();
    let paths = files.map(|file| file.unwrap().path());
    let belongs_to_promise = |path: &Path| {
        path.file_name()
            .unwrap()
            .to_str()
            .unwrap()
            .starts_with(&prefix)
    };
    let mut traces: Vec<_> = paths.filter(|path| belongs_to_promise(path)).collect();
    traces.sort();
    assert!(!traces.is_empty(), "promise {promise} has no trace");
    let differences: Vec<_> = traces.iter().flat_map(|path| replay(path)).collect();
    assert!(differences.is_empty(), "\n{}", differences.join("\n"));
}

/// Guards against decisions that break a promise, and against promises without a trace.
#[rstest]
fn traces_of_a_promise_have_the_expected_outcomes(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9)] promise: u32,
) {
    check("traces/promises", promise);
}
