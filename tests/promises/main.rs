//! Replays recorded traces against the decisions that keep the promises of `docs/promises.md`.

mod backend;
mod cluster;
mod entry;
mod event;
mod world;

use std::path::Path;

use rstest::rstest;

/// Replays a trace and returns the outcomes that differ.
fn replay(path: &Path) -> Vec<String> {
    let text = std::fs::read_to_string(path).unwrap();
    let (mut world, mut last, mut wrong) = (world::World::new(), 0, Vec::new());
    let (mut stated, place) = (0, path.file_name().unwrap().display());
    for (index, event) in event::read(&text).iter().enumerate() {
        let (line, name) = (index + 1, &event.event);
        assert!(
            last <= event.at,
            "{place}, line {line}: not in order of time"
        );
        last = event.at;
        let got = world.on_event(event);
        stated += usize::from(event.expect.is_some());
        if let Some(expected) = event.expect.as_ref().filter(|expected| **expected != got) {
            wrong.push(format!(
                "{place}, line {line}, {name}: \"{got}\" instead of \"{expected}\""
            ));
        }
    }
    assert!(stated > 0, "{place} states no outcome");
    wrong
}

/// Replays the traces of a promise in `folder`.
fn check(folder: &str, promise: u32) {
    let prefix = format!("p{promise}-");
    let files = std::fs::read_dir(folder).unwrap();
    let paths = files.map(|file| file.unwrap().path());
    let is_own = |path: &Path| {
        path.file_name()
            .unwrap()
            .to_str()
            .unwrap()
            .starts_with(&prefix)
    };
    let mut own: Vec<_> = paths.filter(|path| is_own(path)).collect();
    own.sort();
    assert!(!own.is_empty(), "no trace");
    let wrong: Vec<_> = own.iter().flat_map(|path| replay(path)).collect();
    assert!(wrong.is_empty(), "\n{}", wrong.join("\n"));
}

/// Guards against a decision that breaks the promise, and against a promise without a trace.
#[rstest]
fn traces_of_a_promise_have_their_outcomes(#[values(1, 2, 3, 4, 5, 6, 7, 8, 9)] promise: u32) {
    check("traces/promises", promise);
}
