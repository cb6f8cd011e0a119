//! `monday-peak`: the egg service on a Monday. A server does 5 slots / 20 ms = 250 statements/s. A
//! third of the work writes and so runs on the primary, and the rest can run on two replicas, which
//! makes 750 statements/s per database.

use serde_json::json;

use super::{Crowd, Draft, Span, databases, places};

const DOMAINS: [&str; 3] = ["catania", "ragusa", "enna"];
const DATABASES: [&str; 3] = ["orders", "routes", "farms"];
/// Callers of one database: vans first, then households and farmers.
const CALLERS: u32 = 320;
const VANS: u32 = 120;
/// Target statements per second and database.
const BASE: f64 = 90.0;
const PEAK: f64 = 10.0 * BASE;
const CAPACITY: f64 = 2250.0;
/// Servers that are left after the kill: 8 of 9.
const CAPACITY_AFTER: f64 = 2000.0;

const SECOND: u64 = 1_000_000;
const RAMP: Span = Span(8 * SECOND, 10 * SECOND);
const STEP: u64 = SECOND / 5;
const PEAK_END: u64 = 31 * SECOND / 2;
const KILL: u64 = 13 * SECOND;
const END: u64 = 39 * SECOND / 2;

pub(super) fn write(draft: &mut Draft) {
    system(draft);
    draft.window("boards", Span(5 * SECOND / 2, 9 * SECOND / 2));
    draft.window("orders", Span(9 * SECOND / 2, 13 * SECOND / 2));
    draft.window("morning", Span(13 * SECOND / 2, 8 * SECOND));
    draft.window("peak", Span(10 * SECOND, KILL));
    draft.window("peak-after-kill", Span(29 * SECOND / 2, PEAK_END));
    draft.window("whole-peak", Span(10 * SECOND, PEAK_END));
    for (i, database) in (0..).zip(DATABASES) {
        // Logging in costs the player processor time, so the callers arrive over two seconds.
        draft.arrive(
            database,
            i * CALLERS,
            CALLERS,
            Span(u64::from(i) * 3_000, 2 * SECOND),
        );
        calm(draft, i * CALLERS);
        day(draft, i * CALLERS);
    }
    for van in 0..20 {
        let at_us = 7 * SECOND + u64::from(van) * 40_000;
        let entry = format!("entry-{}", (van + 1) % 3);
        draft.line(&json!({ "move": { "at_us": at_us, "caller": VANS + van, "entry": entry } }));
    }
    draft.line(&json!({ "fault": { "at_us": KILL, "action": "kill", "process": "orders-0" } }));
    outcomes(draft);
}

fn system(draft: &mut Draft) {
    let shape = |name, kind| json!({ "name": name, "kind": kind, "service_us": 20_000 });
    draft.line(&json!({ "system": {
        "name": "monday-peak", "service": "registro-uova", "region": "sicilia-est",
        "statement_us": 20_000, "slots": 5, "connections": 35, "open_ms": 10, "lag_ms": 2,
        "callers_us": 3000, "domains_us": 500,
        "controls": places("control", DOMAINS, 0), "entries": places("entry", DOMAINS, 0),
        "databases": databases(DATABASES, DOMAINS),
        "shapes": [
            shape("route-board", "read"), shape("box", "read"),
            shape("order", "write"), shape("pause", "pair"),
        ],
    } }));
}

fn vans(first: u32) -> Crowd {
    Crowd {
        first,
        count: VANS,
        max_age_ms: Some(1000),
        batch: false,
    }
}

fn households(first: u32) -> Crowd {
    Crowd {
        first: first + VANS,
        count: CALLERS - VANS,
        max_age_ms: None,
        batch: false,
    }
}

/// Reads that accept an age, and after that reads right after a write, each beside writes: the
/// entries' counters do not tell the two kinds of reads apart.
fn calm(draft: &mut Draft, first: u32) {
    let boards = Span(5 * SECOND / 2, 9 * SECOND / 2);
    draft.work("route-board", vans(first), 60.0, boards);
    draft.work("order", households(first), 20.0, boards);
    let orders = Span(9 * SECOND / 2, 13 * SECOND / 2);
    draft.write_and_read(["order", "box"], households(first), 30.0, orders, 40_000);
}

/// The mix at the base rate, the ramp, the peak and the time after it.
fn day(draft: &mut Draft, first: u32) {
    mix(draft, first, BASE, Span(13 * SECOND / 2, RAMP.0));
    for step in 0..(RAMP.1 - RAMP.0) / STEP {
        let share = (step + 1) as f64 * STEP as f64 / (RAMP.1 - RAMP.0) as f64;
        let from = RAMP.0 + step * STEP;
        mix(
            draft,
            first,
            BASE + (PEAK - BASE) * share,
            Span(from, from + STEP),
        );
    }
    mix(draft, first, PEAK, Span(RAMP.1, PEAK_END));
    mix(draft, first, BASE, Span(PEAK_END, END));
}

/// Two thirds reads, a quarter orders, and the rest pauses of two statements each.
fn mix(draft: &mut Draft, first: u32, per_s: f64, span: Span) {
    draft.work("route-board", vans(first), per_s / 3.0, span);
    draft.work("box", households(first), per_s / 3.0, span);
    draft.work("order", households(first), per_s / 4.0, span);
    draft.work("pause", households(first), per_s / 24.0, span);
}

fn outcomes(draft: &mut Draft) {
    draft.outcome(&json!({ "measure": "history", "max": 0 }));
    draft.outcome(&json!({ "measure": "replica_reads", "window": "boards", "min": 0.95 }));
    draft.outcome(&json!({ "measure": "replica_reads", "window": "orders", "min": 0.6 }));
    draft.outcome(&json!({ "measure": "read_gap_ms", "max": 1500 }));
    draft.outcome(&json!({ "measure": "write_gap_ms", "max": 1500 }));
    let goodput = |window, capacity: f64| json!({ "measure": "goodput", "window": window, "capacity_per_s": capacity, "min": 0.95 });
    draft.outcome(&goodput("peak", CAPACITY));
    draft.outcome(&goodput("peak-after-kill", CAPACITY_AFTER));
    draft.outcome(&json!({
        "measure": "recovery_ms", "window": "whole-peak", "base": "morning", "max": 2000,
    }));
}
