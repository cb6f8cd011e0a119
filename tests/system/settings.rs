//! Settings files of the processes.

use serde_json::{Value, json};

use crate::harness::System;

pub const TOKEN: &str = "system-test-token-0123456789";
const DOMAINS: [&str; 3] = ["catania", "ragusa", "enna"];

/// Settings that tests vary.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Replication delay of the targets.
    pub lag_ms: u64,
    /// Deadline for the graceful stop of an entry.
    pub stop_timeout_ms: u64,
    /// Deadline for the start-up of a connection to an entry.
    pub start_timeout_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lag_ms: 2,
            stop_timeout_ms: 10_000,
            start_timeout_ms: 10_000,
        }
    }
}

impl System {
    pub(crate) fn control_settings(&self, i: usize) -> Value {
        let member = |i: usize| json!({"instance": format!("control-{i}"), "address": self.links[i].address});
        json!({
            "instance": format!("control-{i}"), "domain": DOMAINS[i], "token": TOKEN,
            "data": self.folder.path().join(format!("control-{i}.data")),
            "link": self.address("control", i), "http": self.address("control-http", i),
            "members": [member(0), member(1), member(2)],
        })
    }

    pub(crate) fn entry_settings(&self, i: usize, options: Options) -> Value {
        let control: Vec<_> = self.links.iter().map(|link| link.address).collect();
        json!({
            "instance": format!("entry-{i}"), "domain": DOMAINS[i], "token": TOKEN,
            "listen": self.address("entry", i), "http": self.address("entry-http", i),
            "control": control,
            "cache": self.folder.path().join(format!("entry-{i}.catalog")),
            "session_keys": [{"id": 1, "secret": "system-test-secret-0123456789-0123456789"}],
            // The caller's password is "demo".
            "callers": [{
                "user": "demo", "salt": "bGltcGV0dGFsbHktZGVtbw==", "iterations": 4096,
                "hash": "wQavkR/YSZMjLYBvZ6xvqb/4eD0wwZx8Kaz8V0tB50A=",
            }],
            "stop_timeout_ms": options.stop_timeout_ms,
            "start_timeout_ms": options.start_timeout_ms,
        })
    }

    pub(crate) fn target_settings(&self, i: usize, options: Options) -> Value {
        let announce: Vec<_> = (0..3).map(|e| self.address("entry-http", e)).collect();
        let mut settings = json!({
            "target": format!("target-{i}"), "service": "registro-uova", "database": "orders",
            "group": "orders", "region": "sicilia-est", "domain": DOMAINS[i], "token": TOKEN,
            "listen": self.address("target", i), "announce": announce, "ttl_ms": 3000,
            "lag_ms": options.lag_ms,
        });
        if i > 0 {
            settings["primary"] = json!(self.address("target", 0));
        }
        settings
    }
}
