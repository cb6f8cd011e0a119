//! Request ids of callers: a resend runs at most once, whichever entry it goes to.

use crate::caller::Caller;
use crate::harness::System;
use crate::load::stored;
use crate::run;
use crate::settings::Options;

const TABLE: &str = "CREATE TABLE limpettally_requests (id text PRIMARY KEY)";

/// Begins a transaction under a request id and inserts a row in it.
async fn attempt(client: &Caller, request: &str, id: i32) -> Result<(), String> {
    let statements = [
        "BEGIN".to_owned(),
        format!("SET LOCAL limpettally.request_id = '{request}'"),
        format!("INSERT INTO log VALUES ({id}, 'request')"),
    ];
    for statement in statements {
        client.batch_execute(&statement).await.map_err(|error| {
            error
                .code()
                .map_or_else(|| error.to_string(), |code| code.code().to_owned())
        })?;
    }
    Ok(())
}

/// A caller that lost the answer to its COMMIT and sends the request again must not run it twice,
/// and one whose first attempt was rolled back must not be refused.
#[test]
fn resent_request_runs_once() {
    run(async {
        let mut system = System::start(Options::default()).await;
        let first = system.connect(0, None).await.unwrap();
        first.batch_execute(TABLE).await.unwrap();

        attempt(&first, "it''s-1", 1).await.unwrap();
        first.batch_execute("COMMIT").await.unwrap();
        attempt(&first, "rolled-back", 2).await.unwrap();
        first.batch_execute("ROLLBACK").await.unwrap();

        // The entry that took the first attempts is gone with all that it knew.
        system.kill("entry-0");
        let second = system.connect(1, None).await.unwrap();
        let refused = attempt(&second, "it''s-1", 3).await;
        assert_eq!(refused, Err("23505".to_owned()));
        second.batch_execute("ROLLBACK").await.unwrap();
        attempt(&second, "rolled-back", 4).await.unwrap();
        second.batch_execute("COMMIT").await.unwrap();

        let stored = stored(&system, 2).await;
        let found = [1, 2, 3, 4].map(|id| stored.get(&id).copied().unwrap_or(0));
        assert_eq!(found, [1, 0, 0, 1]);
    });
}

/// A request id that is not recorded with the writes would promise what nothing keeps.
#[test]
fn request_id_that_can_not_be_kept_is_refused() {
    run(async {
        let system = System::start(Options::default()).await;
        let client = system.connect(0, None).await.unwrap();
        let set = "SET LOCAL limpettally.request_id = 'a'";
        let code = |error: tokio_postgres::Error| error.code().unwrap().code().to_owned();
        let outside = client.batch_execute(set).await.unwrap_err();
        assert_eq!(code(outside), "25P01");
        client.batch_execute("BEGIN").await.unwrap();
        let extended = client.execute(set, &[]).await.unwrap_err();
        assert_eq!(code(extended), "0A000");
        client.batch_execute("ROLLBACK").await.unwrap();
        let together = format!("BEGIN; {set}; COMMIT");
        let together = client.batch_execute(&together).await.unwrap_err();
        assert_eq!(code(together), "0A000");
    });
}
