//! Request ids of callers: a resent request runs at most once, through any entry.

use crate::caller::Caller;
use crate::harness::System;
use crate::load::stored;
use crate::run;
use crate::settings::Options;

const CREATE_REQUEST_TABLE: &str = "CREATE TABLE limpettally_requests (id text PRIMARY KEY)";

/// Begins a transaction under a request id and inserts a row in it.
async fn begin_request(caller: &Caller, request: &str, id: i32) -> Result<(), String> {
    let statements = [
        "BEGIN".to_owned(),
        format!("SET LOCAL limpettally.request_id = '{request}'"),
        format!("INSERT INTO log VALUES ({id}, 'request')"),
    ];
    for statement in statements {
        caller.batch_execute(&statement).await.map_err(|error| {
            error
                .code()
                .map_or_else(|| error.to_string(), |code| code.code().to_owned())
        })?;
    }
    Ok(())
}

/// Guards against a request that runs twice because its caller lost the answer to the COMMIT and
/// resent it, and against the refusal of a resend whose first attempt was rolled back.
#[test]
fn resent_request_runs_once() {
    run(async {
        let mut system = System::start(Options::default()).await;
        let first = system.connect(0, None).await.unwrap();
        first.batch_execute(CREATE_REQUEST_TABLE).await.unwrap();

        begin_request(&first, "it''s-1", 1).await.unwrap();
        first.batch_execute("COMMIT").await.unwrap();
        begin_request(&first, "rolled-back", 2).await.unwrap();
        first.batch_execute("ROLLBACK").await.unwrap();

        // The entry of the first attempts is killed, and its state is lost.
        system.kill("entry-0");
        let second = system.connect(1, None).await.unwrap();
        let result = begin_request(&second, "it''s-1", 3).await;
        assert_eq!(result, Err("23505".to_owned()));
        second.batch_execute("ROLLBACK").await.unwrap();
        begin_request(&second, "rolled-back", 4).await.unwrap();
        second.batch_execute("COMMIT").await.unwrap();

        let stored = stored(&system, 2).await;
        let rows = [1, 2, 3, 4].map(|id| stored.get(&id).copied().unwrap_or(0));
        assert_eq!(rows, [1, 0, 0, 1]);
    });
}

/// Guards against request ids that are accepted but can't be recorded with the writes.
#[test]
fn request_id_that_can_not_be_recorded_is_refused() {
    run(async {
        let system = System::start(Options::default()).await;
        let caller = system.connect(0, None).await.unwrap();
        let set_request_id = "SET LOCAL limpettally.request_id = 'a'";
        let code = |error: tokio_postgres::Error| error.code().unwrap().code().to_owned();
        let outside_error = caller.batch_execute(set_request_id).await.unwrap_err();
        assert_eq!(code(outside_error), "25P01");
        caller.batch_execute("BEGIN").await.unwrap();
        let extended_error = caller.execute(set_request_id, &[]).await.unwrap_err();
        assert_eq!(code(extended_error), "0A000");
        caller.batch_execute("ROLLBACK").await.unwrap();
        let single_batch = format!("BEGIN; {set_request_id}; COMMIT");
        let single_batch = caller.batch_execute(&single_batch).await.unwrap_err();
        assert_eq!(code(single_batch), "0A000");
    });
}
