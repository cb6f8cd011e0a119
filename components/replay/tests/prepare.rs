//! Tests of the prepared settings files.

use std::collections::HashSet;
use std::fs;
use std::path::Path;

use replay::{Addresses, TRACE_NAMES, Trace, generate, prepare};
use settings::{Control, Entry, Kind, Standin, load};

fn assert_loads<T: Kind>(path: &Path) {
    if let Err(report) = load::<T>(path) {
        panic!("{report}");
    }
}

/// Guards against settings that a process rejects, and against a port that two processes share: either
/// ends a replay before it starts.
#[test]
fn processes_accept_prepared_settings() {
    for name in TRACE_NAMES {
        let trace = Trace::parse(&generate(name).unwrap()).unwrap();
        let folder = tempfile::tempdir().unwrap();
        prepare(&trace, folder.path()).unwrap();
        let processes = fs::read_to_string(folder.path().join("processes")).unwrap();
        let mut listening = HashSet::new();
        for line in processes.lines() {
            let (process, program) = line.split_once(' ').unwrap();
            let path = folder.path().join(format!("{process}.json"));
            match program {
                "limpettally-control" => assert_loads::<Control>(&path),
                "limpettally-entry" => assert_loads::<Entry>(&path),
                "limpettally-standin" => assert_loads::<Standin>(&path),
                other => panic!("unknown program {other}"),
            }
            let file: serde_json::Value =
                serde_json::from_str(&fs::read_to_string(&path).unwrap()).unwrap();
            for key in ["listen", "link", "http"] {
                if let Some(address) = file[key].as_str() {
                    assert!(
                        listening.insert(address.to_owned()),
                        "{process}: {address} is already in use"
                    );
                }
            }
        }
        assert_eq!(processes.lines().count(), 15);
        let text = fs::read_to_string(folder.path().join("addresses.json")).unwrap();
        let addresses: Addresses = serde_json::from_str(&text).unwrap();
        for entry in &addresses.entries {
            assert!(listening.contains(&entry.listen.to_string()));
            assert!(listening.contains(&entry.http.to_string()));
        }
    }
}
