//! `dusk-comparison`: the co-operative at dusk. A server does 3 slots / 10 ms = 300 statements/s,
//! and is loaded to less than a half, so that waiting comes from long work alone.

use serde_json::json;

use super::{Crowd, Draft, Span, databases, places};

const DOMAINS: [&str; 3] = ["nz-north-a", "nz-north-b", "nz-north-c"];
const DATABASES: [&str; 3] = ["readings", "blocks", "seasons"];
/// Callers of one database: growers first, then crews, then the office.
const CALLERS: u32 = 100;
const GROWERS: u32 = 30;
const OFFICE: u32 = 10;
/// Comparisons per second and database, each of 300 ms.
const COMPARISONS: f64 = 3.0;

const SECOND: u64 = 1_000_000;
const SUMMARIES: Span = Span(5 * SECOND / 2, 4 * SECOND);
const READINGS: Span = Span(4 * SECOND, 11 * SECOND / 2);
const LODGING: Span = Span(11 * SECOND / 2, 9 * SECOND);
const COMPARING: Span = Span(19 * SECOND / 2, 13 * SECOND);
const OFFICE_ALONE: Span = Span(14 * SECOND, 16 * SECOND);
const LATE: Span = Span(33 * SECOND / 2, 19 * SECOND);
const KILL: u64 = 17 * SECOND;

pub(super) fn write(draft: &mut Draft) {
    system(draft);
    draft.window("summaries", SUMMARIES);
    draft.window("readings", READINGS);
    draft.window("lodging", LODGING);
    draft.window("comparisons", COMPARING);
    draft.window("office-alone", OFFICE_ALONE);
    draft.window("late", LATE);
    for (i, database) in (0..).zip(DATABASES) {
        let first = i * CALLERS;
        draft.arrive(
            database,
            first,
            CALLERS,
            Span(u64::from(i) * 3_000, 3 * SECOND / 2),
        );
        draft.work("summary", growers(first), 150.0, SUMMARIES);
        draft.work("reading", crews(first), 30.0, SUMMARIES);
        draft.write_and_read(["reading", "plot"], crews(first), 60.0, READINGS, 25_000);
        mix(draft, first, LODGING);
        mix(draft, first, COMPARING);
        draft.work("comparison", office(first), COMPARISONS, COMPARING);
        draft.work("comparison", office(first), COMPARISONS, OFFICE_ALONE);
        mix(draft, first, LATE);
    }
    for crew in 0..20 {
        let at_us = 7 * SECOND + u64::from(crew) * 50_000;
        let entry = format!("entry-{}", (crew + 1) % 3);
        draft
            .line(&json!({ "move": { "at_us": at_us, "caller": GROWERS + crew, "entry": entry } }));
    }
    draft.line(&json!({ "fault": { "at_us": KILL, "action": "kill", "process": "entry-2" } }));
    outcomes(draft);
}

fn system(draft: &mut Draft) {
    let shape = |name, kind| json!({ "name": name, "kind": kind, "service_us": 10_000 });
    draft.line(&json!({ "system": {
        "name": "dusk-comparison", "service": "girth-records", "region": "nz-north",
        "statement_us": 10_000, "slots": 3, "connections": 40, "open_ms": 30, "lag_ms": 5,
        "callers_us": 1000, "domains_us": 500,
        "controls": places("control", DOMAINS, 0), "entries": places("entry", DOMAINS, 0),
        "databases": databases(DATABASES, DOMAINS),
        "shapes": [
            shape("summary", "read"), shape("plot", "read"),
            shape("reading", "write"), shape("transect", "pair"),
            { "name": "comparison", "kind": "long", "service_us": 300_000 },
        ],
    } }));
}

fn growers(first: u32) -> Crowd {
    Crowd {
        first,
        count: GROWERS,
        max_age_ms: Some(2000),
        batch: false,
    }
}

fn crews(first: u32) -> Crowd {
    let count = CALLERS - GROWERS - OFFICE;
    Crowd {
        first: first + GROWERS,
        count,
        max_age_ms: None,
        batch: false,
    }
}

fn office(first: u32) -> Crowd {
    let first = first + CALLERS - OFFICE;
    Crowd {
        first,
        count: OFFICE,
        max_age_ms: Some(2000),
        batch: true,
    }
}

/// Crews lodge readings and look at them; growers browse summaries.
fn mix(draft: &mut Draft, first: u32, span: Span) {
    draft.work("summary", growers(first), 150.0, span);
    draft.work("plot", crews(first), 60.0, span);
    draft.work("reading", crews(first), 30.0, span);
    draft.work("transect", crews(first), 15.0, span);
}

fn outcomes(draft: &mut Draft) {
    draft.outcome(&json!({ "measure": "history", "max": 0 }));
    draft.outcome(&json!({ "measure": "replica_reads", "window": "summaries", "min": 0.95 }));
    draft.outcome(&json!({ "measure": "replica_reads", "window": "readings", "min": 0.6 }));
    let against = |measure, window, base, max| json!({ "measure": measure, "window": window, "base": base, "max": max });
    draft.outcome(&against("short_p99", "comparisons", "lodging", 1.5));
    draft.outcome(&against("long_p50", "comparisons", "office-alone", 1.3));
    draft.outcome(&json!({ "measure": "read_gap_ms", "max": 1500 }));
    draft.outcome(&json!({ "measure": "write_gap_ms", "max": 1500 }));
}
