//! `monday-peak`: a load peak of ten times the base rate. A server runs 5 slots / 20 ms = 250
//! statements/s. A third of the statements are writes, which run on the primary; the rest can run on
//! the two replicas. The capacity is 750 statements/s per database.

use serde_json::json;

use super::{Cohort, Draft, Span, databases, processes};

const DOMAINS: [&str; 3] = ["catania", "ragusa", "enna"];
const DATABASES: [&str; 3] = ["orders", "routes", "farms"];
/// Callers are numbered by group: vans first, then households and farmers.
const CALLERS_PER_DATABASE: u32 = 320;
const VAN_COUNT: u32 = 120;
/// Statements on the targets, per database.
const BASE_RATE_PER_S: f64 = 90.0;
const PEAK_RATE_PER_S: f64 = 10.0 * BASE_RATE_PER_S;
const CAPACITY_PER_S: f64 = 2250.0;
/// 8 of 9 servers are left after the kill.
const CAPACITY_AFTER_KILL_PER_S: f64 = 2000.0;

const SECOND_US: u64 = 1_000_000;
const RAMP_SPAN: Span = Span(8 * SECOND_US, 10 * SECOND_US);
const RAMP_STEP_US: u64 = SECOND_US / 5;
const PEAK_END_US: u64 = 31 * SECOND_US / 2;
const KILL_AT_US: u64 = 13 * SECOND_US;
const END_US: u64 = 39 * SECOND_US / 2;

pub(super) fn write(draft: &mut Draft) {
    push_system(draft);
    draft.push_window("boards", Span(5 * SECOND_US / 2, 9 * SECOND_US / 2));
    draft.push_window("orders", Span(9 * SECOND_US / 2, 13 * SECOND_US / 2));
    draft.push_window("morning", Span(13 * SECOND_US / 2, 8 * SECOND_US));
    draft.push_window("peak", Span(10 * SECOND_US, KILL_AT_US));
    draft.push_window("peak-after-kill", Span(29 * SECOND_US / 2, PEAK_END_US));
    draft.push_window("whole-peak", Span(10 * SECOND_US, PEAK_END_US));
    for (i, database) in (0..).zip(DATABASES) {
        // The callers connect over two seconds, as authentication takes processor time of the player.
        draft.push_arrivals(
            database,
            i * CALLERS_PER_DATABASE,
            CALLERS_PER_DATABASE,
            Span(u64::from(i) * 3_000, 2 * SECOND_US),
        );
        push_separate_reads(draft, i * CALLERS_PER_DATABASE);
        push_day(draft, i * CALLERS_PER_DATABASE);
    }
    for van in 0..20 {
        let at_us = 7 * SECOND_US + u64::from(van) * 40_000;
        let entry = format!("entry-{}", (van + 1) % 3);
        draft.push_line(
            &json!({ "move": { "at_us": at_us, "caller": VAN_COUNT + van, "entry": entry } }),
        );
    }
    draft.push_line(
        &json!({ "fault": { "at_us": KILL_AT_US, "action": "kill", "process": "orders-0" } }),
    );
    push_outcomes(draft);
}

fn push_system(draft: &mut Draft) {
    let shape = |name, kind| json!({ "name": name, "kind": kind, "service_us": 20_000 });
    draft.push_line(&json!({ "system": {
        "name": "monday-peak", "service": "registro-uova", "region": "sicilia-est",
        "statement_us": 20_000, "slots": 5, "connections": 35, "open_ms": 10, "lag_ms": 2,
        "callers_us": 3000, "domains_us": 500,
        "controls": processes("control", DOMAINS, 0), "entries": processes("entry", DOMAINS, 0),
        "databases": databases(DATABASES, DOMAINS),
        "shapes": [
            shape("route-board", "read"), shape("box", "read"),
            shape("order", "write"), shape("pause", "pair"),
        ],
    } }));
}

fn vans(first: u32) -> Cohort {
    Cohort {
        first,
        count: VAN_COUNT,
        max_age_ms: Some(1000),
        batch: false,
    }
}

fn households(first: u32) -> Cohort {
    Cohort {
        first: first + VAN_COUNT,
        count: CALLERS_PER_DATABASE - VAN_COUNT,
        max_age_ms: None,
        batch: false,
    }
}

/// Adds reads that accept an age in one window and reads right after a write in the next, both beside
/// writes. They are separate because the entries' counters do not distinguish the two kinds of reads.
fn push_separate_reads(draft: &mut Draft, first: u32) {
    let boards = Span(5 * SECOND_US / 2, 9 * SECOND_US / 2);
    draft.push_statements("route-board", vans(first), 60.0, boards);
    draft.push_statements("order", households(first), 20.0, boards);
    let orders = Span(9 * SECOND_US / 2, 13 * SECOND_US / 2);
    draft.push_writes_and_reads(["order", "box"], households(first), 30.0, orders, 40_000);
}

/// Adds the mixed load at the base rate, through the ramp and the peak, and at the base rate again.
fn push_day(draft: &mut Draft, first: u32) {
    push_mixed_load(
        draft,
        first,
        BASE_RATE_PER_S,
        Span(13 * SECOND_US / 2, RAMP_SPAN.0),
    );
    for step in 0..(RAMP_SPAN.1 - RAMP_SPAN.0) / RAMP_STEP_US {
        let progress = (step + 1) as f64 * RAMP_STEP_US as f64 / (RAMP_SPAN.1 - RAMP_SPAN.0) as f64;
        let step_start = RAMP_SPAN.0 + step * RAMP_STEP_US;
        push_mixed_load(
            draft,
            first,
            BASE_RATE_PER_S + (PEAK_RATE_PER_S - BASE_RATE_PER_S) * progress,
            Span(step_start, step_start + RAMP_STEP_US),
        );
    }
    push_mixed_load(
        draft,
        first,
        PEAK_RATE_PER_S,
        Span(RAMP_SPAN.1, PEAK_END_US),
    );
    push_mixed_load(draft, first, BASE_RATE_PER_S, Span(PEAK_END_US, END_US));
}

/// Adds the mixed load: two thirds reads, a quarter orders, and the rest pauses of two statements each.
fn push_mixed_load(draft: &mut Draft, first: u32, rate_per_s: f64, span: Span) {
    draft.push_statements("route-board", vans(first), rate_per_s / 3.0, span);
    draft.push_statements("box", households(first), rate_per_s / 3.0, span);
    draft.push_statements("order", households(first), rate_per_s / 4.0, span);
    draft.push_statements("pause", households(first), rate_per_s / 24.0, span);
}

fn push_outcomes(draft: &mut Draft) {
    draft.push_outcome(&json!({ "measure": "history", "max": 0 }));
    draft.push_outcome(&json!({ "measure": "replica_reads", "window": "boards", "min": 0.95 }));
    draft.push_outcome(&json!({ "measure": "replica_reads", "window": "orders", "min": 0.6 }));
    draft.push_outcome(&json!({ "measure": "read_gap_ms", "max": 1500 }));
    draft.push_outcome(&json!({ "measure": "write_gap_ms", "max": 1500 }));
    let goodput = |window, capacity: f64| json!({ "measure": "goodput", "window": window, "capacity_per_s": capacity, "min": 0.95 });
    draft.push_outcome(&goodput("peak", CAPACITY_PER_S));
    draft.push_outcome(&goodput("peak-after-kill", CAPACITY_AFTER_KILL_PER_S));
    draft.push_outcome(&json!({
        "measure": "recovery_ms", "window": "whole-peak", "base": "morning", "max": 2000,
    }));
}
