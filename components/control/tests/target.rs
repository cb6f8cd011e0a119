//! Guards commands to targets that are repeated by the next leader, against stand-in targets.

use std::time::Duration;

use control::target::Target;
use standin::Config;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};
use types::{Lsn, Name, Term};

const LIMIT: Duration = Duration::from_secs(10);

async fn start(primary: Option<std::net::SocketAddr>) -> Target {
    let name = Name::try_from("orders").unwrap();
    let mut config = Config::new(name.clone(), name, "127.0.0.1:0".parse().unwrap());
    config.primary = primary;
    let bound = standin::bind(config).await.unwrap();
    let address = bound.address();
    spawn_local(bound.run(std::future::pending()));
    Target {
        address,
        user: "test".to_owned(),
        database: "orders".to_owned(),
    }
}

/// A replica that has everything the primary has.
async fn replica(primary: &Target) -> (Target, Lsn) {
    let replica = start(Some(primary.address)).await;
    let end = primary.position().await.unwrap().point;
    let follows = async {
        loop {
            match replica.position().await {
                Ok(position) if position.recovering && position.point == end => return end.lsn,
                _ => sleep(Duration::from_millis(5)).await,
            }
        }
    };
    let lsn = timeout(LIMIT, follows).await.unwrap();
    (replica, lsn)
}

/// A leader that dies between the promotion and its commit leaves the next one to find a target
/// that is primary already. It must be able to open the term, or the database stays without a
/// primary.
#[tokio::test(flavor = "current_thread")]
async fn a_promotion_can_be_repeated() {
    let test = async {
        let primary = start(None).await;
        let (replica, lsn) = replica(&primary).await;
        let first = replica.promote(Term(2), lsn).await.unwrap();
        assert_eq!(first, (Term(2), lsn));
        let second = replica.promote(Term(2), lsn).await.unwrap();
        assert_eq!(second, (Term(2), lsn));
    };
    LocalSet::new().run_until(test).await;
}

/// The start of a promotion that is found done must not pass for one that kept the chosen position
/// when the target has less than that.
#[tokio::test(flavor = "current_thread")]
async fn a_target_that_lacks_its_chosen_position_shows_it() {
    let test = async {
        let primary = start(None).await;
        let (replica, lsn) = replica(&primary).await;
        replica.promote(Term(2), lsn).await.unwrap();
        let chosen = Lsn(lsn.0 + 1_000_000);
        let (_, start) = replica.promote(Term(2), chosen).await.unwrap();
        assert!(start < chosen);
    };
    LocalSet::new().run_until(test).await;
}
