//! Commands to stand-in targets that the next leader repeats.

use std::time::Duration;

use control::target::Connector;
use standin::Config;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};
use types::{Lsn, Name, Term};

const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(10);

async fn start_target(primary: Option<std::net::SocketAddr>) -> Connector {
    let name = Name::try_from("orders").unwrap();
    let mut config = Config::new(name.clone(), name, "127.0.0.1:0".parse().unwrap());
    config.primary = primary;
    let bound = standin::bind(config).await.unwrap();
    let address = bound.address();
    spawn_local(bound.run(std::future::pending()));
    Connector {
        address,
        user: "test".to_owned(),
        database: "orders".to_owned(),
    }
}

/// Starts a replica and waits until it has caught up with the primary. Returns its position.
async fn start_replica(primary: &Connector) -> (Connector, Lsn) {
    let replica = start_target(Some(primary.address)).await;
    let end = primary.position().await.unwrap().point;
    let caught_up = async {
        loop {
            match replica.position().await {
                Ok(position) if position.recovering && position.point == end => return end.lsn,
                _ => sleep(Duration::from_millis(5)).await,
            }
        }
    };
    let lsn = timeout(CATCH_UP_TIMEOUT, caught_up).await.unwrap();
    (replica, lsn)
}

/// Guards against a database that stays without a primary: a leader dies between the promotion and
/// its commit, and the next one finds the target promoted already and has to open the term all the
/// same.
#[tokio::test(flavor = "current_thread")]
async fn a_promotion_can_be_repeated() {
    let test = async {
        let primary = start_target(None).await;
        let (replica, lsn) = start_replica(&primary).await;
        let first = replica.promote(Term(2), lsn).await.unwrap();
        assert_eq!(first, (Term(2), lsn));
        let second = replica.promote(Term(2), lsn).await.unwrap();
        assert_eq!(second, (Term(2), lsn));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against hidden loss of writes: the start of a term that an earlier attempt promoted must
/// not be reported as the chosen position when the target has less than that.
#[tokio::test(flavor = "current_thread")]
async fn promoting_a_target_below_its_chosen_position_returns_the_lower_start() {
    let test = async {
        let primary = start_target(None).await;
        let (replica, lsn) = start_replica(&primary).await;
        replica.promote(Term(2), lsn).await.unwrap();
        let chosen = Lsn(lsn.0 + 1_000_000);
        let (_, start) = replica.promote(Term(2), chosen).await.unwrap();
        assert!(start < chosen);
    };
    LocalSet::new().run_until(test).await;
}
