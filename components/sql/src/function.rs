//! Functions known to the classifier.

use sqlparser::tokenizer::Word;

use crate::class::Binding;

/// Functions that change nothing and whose result does not depend on the connection, and types
/// that take a modifier in parentheses.
const READ_ONLY: &[&str] = &[
    "abs",
    "age",
    "array_agg",
    "array_length",
    "array_to_string",
    "avg",
    "bit_length",
    "bool_and",
    "bool_or",
    "btrim",
    "cardinality",
    "cast",
    "ceil",
    "ceiling",
    "char",
    "char_length",
    "coalesce",
    "concat",
    "concat_ws",
    "count",
    "cume_dist",
    "date_bin",
    "date_part",
    "date_trunc",
    "decimal",
    "dense_rank",
    "every",
    "exp",
    "extract",
    "first_value",
    "floor",
    "format",
    "generate_series",
    "greatest",
    "grouping",
    "initcap",
    "json_agg",
    "json_build_array",
    "json_build_object",
    "jsonb_agg",
    "jsonb_build_array",
    "jsonb_build_object",
    "lag",
    "last_value",
    "lead",
    "least",
    "left",
    "length",
    "ln",
    "log",
    "lower",
    "lpad",
    "ltrim",
    "make_date",
    "make_interval",
    "max",
    "md5",
    "min",
    "mod",
    "now",
    "nth_value",
    "ntile",
    "nullif",
    "numeric",
    "octet_length",
    "overlay",
    "percent_rank",
    "percentile_cont",
    "percentile_disc",
    "pg_is_in_recovery",
    "pg_last_wal_replay_lsn",
    "pg_sleep",
    "position",
    "power",
    "random",
    "rank",
    "regexp_replace",
    "repeat",
    "replace",
    "reverse",
    "right",
    "round",
    "row_number",
    "row_to_json",
    "rpad",
    "rtrim",
    "sign",
    "split_part",
    "sqrt",
    "stddev",
    "string_agg",
    "string_to_array",
    "strpos",
    "substr",
    "substring",
    "sum",
    "timestamp",
    "timestamptz",
    "to_char",
    "to_date",
    "to_json",
    "to_jsonb",
    "to_number",
    "to_timestamp",
    "trim",
    "trunc",
    "unnest",
    "upper",
    "varchar",
    "variance",
    "version",
];

/// Functions that leave something behind on the connection.
const BINDING: &[(&str, Binding)] = &[
    ("currval", Binding::Sequence),
    ("lastval", Binding::Sequence),
    ("pg_advisory_lock", Binding::Lock),
    ("pg_advisory_lock_shared", Binding::Lock),
    ("pg_advisory_unlock", Binding::Lock),
    ("pg_advisory_unlock_all", Binding::Lock),
    ("pg_advisory_unlock_shared", Binding::Lock),
    ("pg_try_advisory_lock", Binding::Lock),
    ("pg_try_advisory_lock_shared", Binding::Lock),
    ("set_config", Binding::Parameter),
];

/// An unquoted name is folded to lower case as the target does; a quoted one is taken as it is.
fn matches(word: &Word, name: &str) -> bool {
    if word.quote_style.is_some() {
        word.value == name
    } else {
        word.value.eq_ignore_ascii_case(name)
    }
}

pub(crate) fn is_read_only(word: &Word) -> bool {
    READ_ONLY.iter().any(|name| matches(word, name))
}

pub(crate) fn binding(word: &Word) -> Option<Binding> {
    BINDING
        .iter()
        .find(|(name, _)| matches(word, name))
        .map(|(_, binding)| *binding)
}
