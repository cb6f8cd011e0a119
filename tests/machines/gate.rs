//! A loopback proxy in front of a server that delays, cuts one way, silences or resets connections.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::sleep;

/// What the gate does with what passes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Fault {
    /// Time that each part is held up.
    pub delay: Duration,
    /// Nothing passes towards the server.
    pub deaf: bool,
    /// Nothing passes from the server.
    pub mute: bool,
}

/// The gate.
#[derive(Clone, Debug)]
pub struct Gate {
    pub address: SocketAddr,
    pub fault: Rc<RefCell<Fault>>,
    connections: Rc<RefCell<Vec<AbortHandle>>>,
}

impl Gate {
    /// Starts a gate before `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let gate = Self {
            address: listener.local_addr().unwrap(),
            fault: Rc::default(),
            connections: Rc::default(),
        };
        let own = gate.clone();
        spawn_local(async move {
            while let Ok((inner, _)) = listener.accept().await {
                let fault = Rc::clone(&own.fault);
                let task = spawn_local(async move {
                    let Ok(outer) = TcpStream::connect(target).await else {
                        return;
                    };
                    let ((from_caller, to_caller), (from_server, to_server)) =
                        (inner.into_split(), outer.into_split());
                    let there = pass(from_caller, to_server, &fault, |fault| fault.deaf);
                    let back = pass(from_server, to_caller, &fault, |fault| fault.mute);
                    // The end of either direction ends the connection.
                    tokio::select! {
                        () = there => {}
                        () = back => {}
                    }
                });
                own.connections.borrow_mut().push(task.abort_handle());
            }
        });
        gate
    }

    /// Ends all connections.
    pub fn reset(&self) {
        for task in self.connections.borrow_mut().drain(..) {
            task.abort();
        }
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    fault: &RefCell<Fault>,
    is_cut: impl Fn(&Fault) -> bool,
) {
    let mut part = vec![0; 16 << 10];
    loop {
        let Ok(read @ 1..) = from.read(&mut part).await else {
            return;
        };
        let present = *fault.borrow();
        sleep(present.delay).await;
        // Bytes that are held up by a cut arrive after it, as on a real network.
        while is_cut(&fault.borrow()) {
            sleep(Duration::from_millis(20)).await;
        }
        if to.write_all(&part[..read]).await.is_err() {
            return;
        }
    }
}
