//! `dusk-comparison`: long reads beside short statements. A server runs 3 slots / 10 ms = 300
//! statements/s and is loaded to less than half of that, so that only long reads cause waiting.

use serde_json::json;

use super::{Cohort, Draft, Span, databases, processes};

const DOMAINS: [&str; 3] = ["nz-north-a", "nz-north-b", "nz-north-c"];
const DATABASES: [&str; 3] = ["readings", "blocks", "seasons"];
/// Callers are numbered by group: growers first, then crews, then the office.
const CALLERS_PER_DATABASE: u32 = 100;
const GROWER_COUNT: u32 = 30;
const OFFICE_COUNT: u32 = 10;
/// Per database; each comparison takes 300 ms.
const COMPARISON_RATE_PER_S: f64 = 3.0;

const SECOND_US: u64 = 1_000_000;
const SUMMARIES_SPAN: Span = Span(5 * SECOND_US / 2, 4 * SECOND_US);
const READINGS_SPAN: Span = Span(4 * SECOND_US, 11 * SECOND_US / 2);
const LODGING_SPAN: Span = Span(11 * SECOND_US / 2, 9 * SECOND_US);
const COMPARISONS_SPAN: Span = Span(19 * SECOND_US / 2, 13 * SECOND_US);
const OFFICE_ALONE_SPAN: Span = Span(14 * SECOND_US, 16 * SECOND_US);
const LATE_SPAN: Span = Span(33 * SECOND_US / 2, 19 * SECOND_US);
const KILL_AT_US: u64 = 17 * SECOND_US;

pub(super) fn write(draft: &mut Draft) {
    push_system(draft);
    draft.push_window("summaries", SUMMARIES_SPAN);
    draft.push_window("readings", READINGS_SPAN);
    draft.push_window("lodging", LODGING_SPAN);
    draft.push_window("comparisons", COMPARISONS_SPAN);
    draft.push_window("office-alone", OFFICE_ALONE_SPAN);
    draft.push_window("late", LATE_SPAN);
    for (i, database) in (0..).zip(DATABASES) {
        let first = i * CALLERS_PER_DATABASE;
        draft.push_arrivals(
            database,
            first,
            CALLERS_PER_DATABASE,
            Span(u64::from(i) * 3_000, 3 * SECOND_US / 2),
        );
        draft.push_statements("summary", growers(first), 150.0, SUMMARIES_SPAN);
        draft.push_statements("reading", crews(first), 30.0, SUMMARIES_SPAN);
        draft.push_writes_and_reads(
            ["reading", "plot"],
            crews(first),
            60.0,
            READINGS_SPAN,
            25_000,
        );
        push_mixed_load(draft, first, LODGING_SPAN);
        push_mixed_load(draft, first, COMPARISONS_SPAN);
        draft.push_statements(
            "comparison",
            office(first),
            COMPARISON_RATE_PER_S,
            COMPARISONS_SPAN,
        );
        draft.push_statements(
            "comparison",
            office(first),
            COMPARISON_RATE_PER_S,
            OFFICE_ALONE_SPAN,
        );
        push_mixed_load(draft, first, LATE_SPAN);
    }
    for crew in 0..20 {
        let at_us = 7 * SECOND_US + u64::from(crew) * 50_000;
        let entry = format!("entry-{}", (crew + 1) % 3);
        draft.push_line(
            &json!({ "move": { "at_us": at_us, "caller": GROWER_COUNT + crew, "entry": entry } }),
        );
    }
    draft.push_line(
        &json!({ "fault": { "at_us": KILL_AT_US, "action": "kill", "process": "entry-2" } }),
    );
    push_outcomes(draft);
}

fn push_system(draft: &mut Draft) {
    let shape = |name, kind| json!({ "name": name, "kind": kind, "service_us": 10_000 });
    draft.push_line(&json!({ "system": {
        "name": "dusk-comparison", "service": "girth-records", "region": "nz-north",
        "statement_us": 10_000, "slots": 3, "connections": 40, "open_ms": 30, "lag_ms": 5,
        "callers_us": 1000, "domains_us": 500,
        "controls": processes("control", DOMAINS, 0), "entries": processes("entry", DOMAINS, 0),
        "databases": databases(DATABASES, DOMAINS),
        "shapes": [
            shape("summary", "read"), shape("plot", "read"),
            shape("reading", "write"), shape("transect", "pair"),
            { "name": "comparison", "kind": "long", "service_us": 300_000 },
        ],
    } }));
}

fn growers(first: u32) -> Cohort {
    Cohort {
        first,
        count: GROWER_COUNT,
        max_age_ms: Some(2000),
        batch: false,
    }
}

fn crews(first: u32) -> Cohort {
    let count = CALLERS_PER_DATABASE - GROWER_COUNT - OFFICE_COUNT;
    Cohort {
        first: first + GROWER_COUNT,
        count,
        max_age_ms: None,
        batch: false,
    }
}

fn office(first: u32) -> Cohort {
    let first = first + CALLERS_PER_DATABASE - OFFICE_COUNT;
    Cohort {
        first,
        count: OFFICE_COUNT,
        max_age_ms: Some(2000),
        batch: true,
    }
}

/// Adds the short statements: crews write readings and read plots, growers read summaries.
fn push_mixed_load(draft: &mut Draft, first: u32, span: Span) {
    draft.push_statements("summary", growers(first), 150.0, span);
    draft.push_statements("plot", crews(first), 60.0, span);
    draft.push_statements("reading", crews(first), 30.0, span);
    draft.push_statements("transect", crews(first), 15.0, span);
}

fn push_outcomes(draft: &mut Draft) {
    draft.push_outcome(&json!({ "measure": "history", "max": 0 }));
    draft.push_outcome(&json!({ "measure": "replica_reads", "window": "summaries", "min": 0.95 }));
    draft.push_outcome(&json!({ "measure": "replica_reads", "window": "readings", "min": 0.6 }));
    let ratio = |measure, window, base, max| json!({ "measure": measure, "window": window, "base": base, "max": max });
    draft.push_outcome(&ratio("short_p99", "comparisons", "lodging", 1.5));
    draft.push_outcome(&ratio("long_p50", "comparisons", "office-alone", 1.3));
    draft.push_outcome(&json!({ "measure": "read_gap_ms", "max": 1500 }));
    draft.push_outcome(&json!({ "measure": "write_gap_ms", "max": 1500 }));
}
