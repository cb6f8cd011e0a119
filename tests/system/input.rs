//! Invalid input on the callers' port.

use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::caller::eventually;
use crate::harness::{System, TIMEOUT};
use crate::load::{Load, Outcome};
use crate::run;
use crate::settings::Options;

/// Number of connections that send nothing.
const HALF_OPEN_CONNECTIONS: usize = 1000;
const RNG_SEED: u64 = 7;

/// Sends bytes and returns everything that the entry sends until it closes the connection.
async fn send_and_read_all(system: &System, bytes: &[u8], shutdown: bool) -> Vec<u8> {
    let mut socket = TcpStream::connect(system.address("entry", 0))
        .await
        .unwrap();
    // The entry may close the connection before everything is sent.
    let _sent = socket.write_all(bytes).await;
    if shutdown {
        let _shut_down = socket.shutdown().await;
    }
    let mut answer = Vec::new();
    let read = timeout(TIMEOUT, socket.read_to_end(&mut answer)).await;
    // A reset also closes the connection.
    let _closed = read.expect("the entry closes the connection");
    answer
}

fn startup_message(version: i32, body: &[u8]) -> Vec<u8> {
    let length = i32::try_from(8 + body.len()).unwrap();
    [&length.to_be_bytes(), &version.to_be_bytes(), body].concat()
}

async fn start_refusals(system: &System) -> u64 {
    let mut sum = 0;
    for reason in [
        "start_timeout",
        "start_closed",
        "start_protocol",
        "start_version",
    ] {
        sum += system.count(0, "refusals", reason).await;
    }
    sum
}

/// Guards against invalid input that is not counted, hangs the connection or disturbs other
/// callers.
#[test]
fn invalid_input_does_not_disturb_other_callers() {
    run(async {
        let options = Options {
            start_timeout_ms: 1000,
            ..Options::default()
        };
        let system = System::start(options).await;
        let load = Load::start(&system, &[0]).await;
        let mut expected = start_refusals(&system).await;

        let mut rng = SmallRng::seed_from_u64(RNG_SEED);
        let mut inputs = vec![
            (startup_message(2 << 16, b"user\0demo\0\0"), false),
            (startup_message(4 << 16, b"user\0demo\0\0"), false),
            // A truncated start-up message.
            (
                startup_message(196_608, b"user\0demo\0\0")[..9].to_vec(),
                true,
            ),
            (startup_message(196_608, b"user\0demo"), false),
            // An oversized start-up message, and a length below the shortest one.
            (vec![0x7F, 0xFF, 0xFF, 0xFF, 0, 3, 0, 0], false),
            (vec![0, 0, 0, 3, 0, 3, 0, 0], false),
        ];
        for _ in 0..50 {
            let length = rng.random_range(1..200);
            inputs.push(((0..length).map(|_| rng.random()).collect(), true));
        }
        for (bytes, shutdown) in &inputs {
            send_and_read_all(&system, bytes, *shutdown).await;
            expected += 1;
        }
        eventually("a refusal counted for each input", TIMEOUT, async || {
            (start_refusals(&system).await >= expected).then_some(())
        })
        .await;

        for frame in [
            &b"Q\x7F\xFF\xFF\xFF"[..],
            b"Q\0\0\0\x01",
            b"@\0\0\0\x04",
            b"Q\0\0\0\x08abcd",
        ] {
            let before = system.count(0, "refusals", "invalid_frame").await;
            let answer = send_after_login(&system, frame).await;
            assert!(
                answer.windows(6).any(|w| w == b"C08P01"),
                "frame {frame:?}: {answer:?}"
            );
            assert_eq!(
                system.count(0, "refusals", "invalid_frame").await,
                before + 1
            );
        }

        let mut half_open = Vec::new();
        for _ in 0..HALF_OPEN_CONNECTIONS {
            half_open.push(
                TcpStream::connect(system.address("entry", 0))
                    .await
                    .unwrap(),
            );
        }
        load.progress("writes beside half-open connections", &[0], 50, TIMEOUT)
            .await;
        let caller = system
            .connect(0, None)
            .await
            .expect("a new caller can connect");
        caller
            .batch_execute("INSERT INTO log VALUES (-1, 'new')")
            .await
            .unwrap();
        eventually("the start-up deadline", TIMEOUT, async || {
            let timeouts = system.count(0, "refusals", "start_timeout").await;
            (timeouts >= HALF_OPEN_CONNECTIONS as u64).then_some(())
        })
        .await;
        for mut socket in half_open {
            let closed = timeout(TIMEOUT, socket.read(&mut [0; 64])).await;
            // A reset also closes the connection.
            let _closed = closed.expect("the entry closes a half-open connection");
        }
        let outcomes = load.stop().await;
        let failed = outcomes.values().find(|outcome| **outcome != Outcome::Done);
        assert_eq!(failed, None, "writes of other callers");
    });
}

/// Like [`send_and_read_all`], after a login.
async fn send_after_login(system: &System, frame: &[u8]) -> Vec<u8> {
    let mut socket = crate::raw::Raw::login(system.address("entry", 0))
        .await
        .socket;
    let _sent = socket.write_all(frame).await;
    let mut answer = Vec::new();
    let read = timeout(TIMEOUT, socket.read_to_end(&mut answer)).await;
    let _closed = read.expect("the entry closes the connection");
    answer
}
