//! Settings files of a trace's system.

use std::collections::HashSet;
use std::fs;
use std::path::Path;

use replay::{Addresses, NAMES, Trace, generate, prepare};
use settings::{Control, Entry, Kind, Standin, load};

fn loads<T: Kind>(path: &Path) {
    if let Err(report) = load::<T>(path) {
        panic!("{report}");
    }
}

/// A file that its process refuses would end a replay before it starts, and a port that two of
/// them name would end one of the two processes.
#[test]
fn processes_accept_their_settings() {
    for name in NAMES {
        let trace = Trace::parse(&generate(name).unwrap()).unwrap();
        let folder = tempfile::tempdir().unwrap();
        prepare(&trace, folder.path()).unwrap();
        let processes = fs::read_to_string(folder.path().join("processes")).unwrap();
        let mut listens = HashSet::new();
        for line in processes.lines() {
            let (process, program) = line.split_once(' ').unwrap();
            let path = folder.path().join(format!("{process}.json"));
            match program {
                "limpettally-control" => loads::<Control>(&path),
                "limpettally-entry" => loads::<Entry>(&path),
                "limpettally-standin" => loads::<Standin>(&path),
                other => panic!("{other}"),
            }
            let file: serde_json::Value =
                serde_json::from_str(&fs::read_to_string(&path).unwrap()).unwrap();
            for key in ["listen", "link", "http"] {
                if let Some(address) = file[key].as_str() {
                    assert!(
                        listens.insert(address.to_owned()),
                        "{process}: {address} again"
                    );
                }
            }
        }
        assert_eq!(processes.lines().count(), 15);
        let text = fs::read_to_string(folder.path().join("addresses.json")).unwrap();
        let addresses: Addresses = serde_json::from_str(&text).unwrap();
        for entry in &addresses.entries {
            assert!(listens.contains(&entry.listen.to_string()));
            assert!(listens.contains(&entry.http.to_string()));
        }
    }
}
