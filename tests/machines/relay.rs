//! A loopback proxy in front of a server that delays connections, blocks them in one direction or
//! both, or resets them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::sleep;

/// Fault of all connections of a relay.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Fault {
    /// Delay of each chunk of data.
    pub delay: Duration,
    /// Nothing is forwarded to the server.
    pub blocks_requests: bool,
    /// Nothing is forwarded from the server.
    pub blocks_answers: bool,
}

#[derive(Clone, Debug)]
pub struct Relay {
    pub address: SocketAddr,
    pub fault: Rc<RefCell<Fault>>,
    connections: Rc<RefCell<Vec<AbortHandle>>>,
}

impl Relay {
    /// Starts a relay in front of `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let relay = Self {
            address: listener.local_addr().unwrap(),
            fault: Rc::default(),
            connections: Rc::default(),
        };
        let accepting = relay.clone();
        spawn_local(async move {
            while let Ok((inner, _)) = listener.accept().await {
                let fault = Rc::clone(&accepting.fault);
                let task = spawn_local(async move {
                    let Ok(outer) = TcpStream::connect(target).await else {
                        return;
                    };
                    let ((from_caller, to_caller), (from_server, to_server)) =
                        (inner.into_split(), outer.into_split());
                    let to_server_task = forward(from_caller, to_server, &fault, |fault| {
                        fault.blocks_requests
                    });
                    let to_caller_task =
                        forward(from_server, to_caller, &fault, |fault| fault.blocks_answers);
                    // The connection ends as soon as either direction ends.
                    tokio::select! {
                        () = to_server_task => {}
                        () = to_caller_task => {}
                    }
                });
                accepting.connections.borrow_mut().push(task.abort_handle());
            }
        });
        relay
    }

    /// Closes all connections.
    pub fn reset(&self) {
        for task in self.connections.borrow_mut().drain(..) {
            task.abort();
        }
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    fault: &RefCell<Fault>,
    is_cut: impl Fn(&Fault) -> bool,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(read @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        let current_fault = *fault.borrow();
        sleep(current_fault.delay).await;
        // Blocked bytes arrive after the fault, as on a real network.
        while is_cut(&fault.borrow()) {
            sleep(Duration::from_millis(20)).await;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
