//! Guards against statements that run on a replica or on a shared connection although they must not.

use rstest::rstest;
use sql::Binding::{Copy, Hold, Library, Listen, Lock, Parameter, Prepared, Sequence, Temporary};
use sql::Kind::{self, Commit, Empty, Read, Rollback, SessionBound, Write};
use sql::classify;

const BEGIN: Kind = Kind::Begin { read_only: false };
const BEGIN_READ_ONLY: Kind = Kind::Begin { read_only: true };

fn kind_of(text: &str) -> Kind {
    classify(text).kind
}

fn set(name: &str, value: &str, local: bool) -> Kind {
    let (name, value) = (name.to_owned(), value.to_owned());
    Kind::Set { name, value, local }
}

#[rstest]
#[case::plain("SELECT * FROM plots WHERE id = $1")]
#[case::values("VALUES (1), (2)")]
#[case::parentheses("(SELECT 1) UNION ALL (SELECT 2)")]
#[case::cte("WITH a (x) AS (SELECT id FROM boxes) SELECT count(*) FROM a")]
#[case::later_cte(
    "WITH a AS (SELECT 1), b (x, y) AS NOT MATERIALIZED (SELECT 1, 2) SELECT x FROM b"
)]
#[case::join("SELECT * FROM a JOIN (SELECT 1 AS id) b USING (id) WHERE a.k IN (1, 2)")]
#[case::window("SELECT rank() OVER (PARTITION BY a ORDER BY (b)) FROM t")]
#[case::filter("SELECT count(*) FILTER (WHERE a) FROM t GROUP BY GROUPING SETS ((a), (b))")]
#[case::catalog("SELECT pg_catalog.count(*) FROM t")]
#[case::cast("SELECT a::numeric(10, 2), CAST(b AS varchar(5)) FROM t")]
#[case::keyword_in_string("SELECT 'DELETE FROM t; FOR UPDATE', 'it''s nextval(1)'")]
#[case::keyword_in_dollar_string("SELECT $q$ ; INSERT INTO t $q$")]
#[case::keyword_in_comment("SELECT 1 /* ; DELETE FROM t /* nested */ INTO */ -- FOR UPDATE")]
#[case::quoted_column(r#"SELECT "update", "into" FROM "delete""#)]
#[case::substring("SELECT substring(a FROM 1 FOR 3) FROM t")]
fn provable_read_is_a_read(#[case] text: &str) {
    assert_eq!(kind_of(text), Read);
}

#[rstest]
#[case::insert("INSERT INTO t VALUES (1)")]
#[case::update_in_cte("WITH x AS (UPDATE t SET a = 1 RETURNING *) SELECT * FROM x")]
#[case::insert_in_cte("with x as (insert into t values (1) returning id) select id from x")]
#[case::delete_in_nested_cte("SELECT * FROM (WITH x AS (DELETE FROM t RETURNING 1) TABLE x) y")]
#[case::merge("WITH x AS (MERGE INTO t USING s ON true WHEN MATCHED THEN DELETE) SELECT 1")]
#[case::for_update("SELECT * FROM t FOR UPDATE SKIP LOCKED")]
#[case::for_share("SELECT * FROM t FOR\n--\nSHARE")]
#[case::for_key_share("SELECT * FROM t FOR KEY SHARE")]
#[case::for_no_key_update("SELECT * FROM (SELECT * FROM t FOR NO KEY UPDATE) x")]
#[case::select_into("SELECT * INTO copy_of_t FROM t")]
#[case::nextval("SELECT nextval('boxes_id_seq')")]
#[case::unknown_function("SELECT book_order(7)")]
#[case::function_after_comment("SELECT book_order/* */(7)")]
#[case::function_in_from("SELECT * FROM book_order(7) AS t(a)")]
#[case::function_in_limit("SELECT 1 LIMIT (SELECT book_order(1))")]
#[case::quoted_function(r#"SELECT "book_order"(7)"#)]
#[case::quoted_namesake(r#"SELECT "COUNT"(a) FROM t"#)]
#[case::foreign_schema("SELECT farm.count(1)")]
#[case::foreign_catalog("SELECT x.pg_catalog.count(1)")]
#[case::function_named_filter("SELECT filter(1)")]
#[case::foreign_keyword("SELECT farm.values(1)")]
#[case::function_named_cube("SELECT cube(1)")]
#[case::function_named_keyword(r#"SELECT "in"(1)"#)]
#[case::function_with_columns("SELECT * FROM a, book_order(x) AS (y int)")]
#[case::function_named_join("SELECT join(1)")]
#[case::transaction_lock("SELECT pg_advisory_xact_lock(1)")]
#[case::terminate("SELECT pg_terminate_backend(1)")]
#[case::large_object("SELECT lo_unlink(16400)")]
#[case::explain_analyze("EXPLAIN ANALYZE DELETE FROM t")]
#[case::explain_options("EXPLAIN (ANALYZE, BUFFERS) UPDATE t SET a = 1")]
#[case::custom_operator("SELECT a <~~!> b FROM t")]
#[case::carriage_return("SELECT 1 --\rFROM book_order(1)")]
#[case::wide_space("SELECT count\u{a0}(1)")]
#[case::does_not_parse("SELECT FROM WHERE ((")]
#[case::open_string("SELECT 'abc")]
#[case::random_bytes("\u{1}\u{2}(((")]
#[case::call("CALL billing_run()")]
#[case::do_block("DO $$ BEGIN PERFORM 1; END $$")]
#[case::truncate("TRUNCATE t")]
#[case::lock("LOCK TABLE t")]
#[case::table("TABLE plots")]
#[case::notify("NOTIFY boxes, 'new'")]
#[case::cursor("DECLARE c CURSOR FOR SELECT 1")]
#[case::savepoint("SAVEPOINT a")]
#[case::rollback_to("ROLLBACK TRANSACTION TO SAVEPOINT a")]
#[case::two_phase("PREPARE TRANSACTION 'a'")]
#[case::commit_prepared("COMMIT PREPARED 'a'")]
#[case::set_transaction("SET TRANSACTION READ ONLY")]
#[case::local_config("SELECT set_config('a.b', 'c', true)")]
#[case::too_deep(&format!("SELECT {}1{}", "(".repeat(3000), ")".repeat(3000)))]
fn statement_that_is_not_provably_a_read_is_a_write(#[case] text: &str) {
    assert_eq!(kind_of(text), Write);
}

#[rstest]
#[case::listen("LISTEN boxes", Listen)]
#[case::unlisten("UNLISTEN *", Listen)]
#[case::copy("COPY t FROM STDIN", Copy)]
#[case::temp_table("CREATE TEMP TABLE x (a int)", Temporary)]
#[case::temporary_view("create or replace temporary view x as select 1", Temporary)]
#[case::local_temp("CREATE LOCAL TEMPORARY TABLE x (a int)", Temporary)]
#[case::into_temp("SELECT 1 INTO TEMP x", Temporary)]
#[case::into_local_temp("SELECT 1 INTO LOCAL TEMPORARY x", Temporary)]
#[case::advisory_lock("SELECT pg_advisory_lock(1)", Lock)]
#[case::hidden_lock("INSERT INTO t SELECT PG_TRY_ADVISORY_LOCK (1)", Lock)]
#[case::quoted_lock(r#"SELECT pg_catalog."pg_advisory_lock"(1)"#, Lock)]
#[case::holdable_cursor("DECLARE c CURSOR WITH HOLD FOR SELECT 1", Hold)]
#[case::unknown_set("SET search_path TO farm", Parameter)]
#[case::session_set("SET SESSION statement_timeout = 0", Parameter)]
#[case::role("SET ROLE admin", Parameter)]
#[case::characteristics("SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY", Parameter)]
#[case::reset_all("RESET ALL", Parameter)]
#[case::config("SELECT set_config('search_path', f(true), false)", Parameter)]
#[case::config_by_expression("SELECT set_config('a', 'b', not true)", Parameter)]
#[case::prepare("PREPARE a AS SELECT 1", Prepared)]
#[case::discard("DISCARD ALL", Prepared)]
#[case::sequence("SELECT lastval()", Sequence)]
#[case::library("LOAD 'auto_explain'", Library)]
fn statement_with_connection_state_is_session_bound(
    #[case] text: &str,
    #[case] binding: sql::Binding,
) {
    assert_eq!(kind_of(text), SessionBound(binding));
}

#[rstest]
#[case("", Empty)]
#[case(" ;; -- nothing\n", Empty)]
#[case("BEGIN", BEGIN)]
#[case(
    "START TRANSACTION ISOLATION LEVEL SERIALIZABLE, READ ONLY",
    BEGIN_READ_ONLY
)]
#[case("begin read only, read write", BEGIN)]
#[case("BEGIN READ WRITE", BEGIN)]
#[case("COMMIT AND CHAIN", Commit)]
#[case("END", Commit)]
#[case("ABORT", Rollback)]
#[case("ROLLBACK WORK;", Rollback)]
#[case(
    "SET limpettally.session = 'AbC-_'",
    set("limpettally.session", "AbC-_", false)
)]
#[case(
    "SET LOCAL limpettally.request_id TO 'a1'",
    set("limpettally.request_id", "a1", true)
)]
#[case(
    "set Limpettally.Max_Age_MS=-5",
    set("limpettally.max_age_ms", "-5", false)
)]
#[case("RESET limpettally.session", set("limpettally.session", "", false))]
#[case("SET SESSION TIME ZONE 'UTC'", set("timezone", "UTC", false))]
#[case("SET DateStyle TO ISO, DMY", set("datestyle", "ISO,DMY", false))]
#[case("SET LOCAL search_path = farm", set("search_path", "farm", true))]
#[case("SHOW limpettally.session", Kind::Show { name: "limpettally.session".into() })]
#[case("show TIME ZONE", Kind::Show { name: "timezone".into() })]
fn transaction_and_parameter_statements_are_recognized(#[case] text: &str, #[case] expected: Kind) {
    assert_eq!(kind_of(text), expected);
}

#[rstest]
#[case::reads("SELECT 1; SELECT 2", Read, 2)]
#[case::write_after_read("SELECT 1; DELETE FROM t", Write, 2)]
#[case::write_after_comment("SELECT 1 --\n; DELETE FROM t", Write, 2)]
#[case::session_bound_last(
    "INSERT INTO t VALUES (1); SELECT 1; LISTEN a",
    SessionBound(Listen),
    3
)]
#[case::transaction("BEGIN; SELECT 1; COMMIT;", Write, 3)]
#[case::empty_statements(";; SELECT 1 ;;", Read, 0)]
#[case::rule(
    "CREATE RULE r AS ON INSERT TO t DO ALSO (SELECT 1; SELECT 2)",
    Write,
    0
)]
#[case::function_body("CREATE FUNCTION f() BEGIN ATOMIC SELECT 1; SELECT 2; END", Write, 0)]
fn strictest_of_several_statements_determines_the_kind(
    #[case] text: &str,
    #[case] expected: Kind,
    #[case] count: usize,
) {
    let classification = classify(text);
    assert_eq!(
        (classification.kind, classification.statements.len()),
        (expected, count)
    );
}
