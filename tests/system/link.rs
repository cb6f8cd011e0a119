//! A TCP relay that can be cut: bytes are neither forwarded nor refused then, as behind a failed
//! switch.

use std::net::SocketAddr;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A relay to one address. Dropping it ends its connections.
#[derive(Debug)]
pub struct Link {
    /// Address to use in place of the peer's.
    pub address: SocketAddr,
    cut: watch::Sender<bool>,
}

impl Link {
    /// Starts a relay to `peer`.
    pub async fn start(peer: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (cut, state) = watch::channel(false);
        tokio::spawn(accept(listener, peer, state));
        Self { address, cut }
    }

    /// Cuts or heals the link. Connections that were cut do not come back.
    pub fn cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

async fn accept(listener: TcpListener, peer: SocketAddr, state: watch::Receiver<bool>) {
    let mut ended = state.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((socket, _)) = accepted {
                    tokio::spawn(relay(socket, peer, state.clone()));
                }
            }
            changed = ended.changed() => if changed.is_err() { return },
        }
    }
}

async fn relay(mut near: TcpStream, peer: SocketAddr, mut state: watch::Receiver<bool>) {
    if *state.borrow_and_update() {
        let _healed = state.wait_for(|cut| !cut).await;
        return;
    }
    let Ok(mut far) = TcpStream::connect(peer).await else {
        return;
    };
    let _set = (near.set_nodelay(true), far.set_nodelay(true));
    tokio::select! {
        _ended = copy_bidirectional(&mut near, &mut far) => return,
        _cut = state.wait_for(|cut| *cut) => {}
    }
    // Both ends stay silent and open until the link is healed.
    let _healed = state.wait_for(|cut| !cut).await;
}
