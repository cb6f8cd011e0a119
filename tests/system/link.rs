//! A TCP relay in front of a control instance, which can be cut for named peers: their bytes are
//! neither forwarded nor refused then, as behind a failed switch.
//!
//! Control redirects entries to the address in its member list, which is the relay's. A peer is
//! told by the name in its introduction, as all connect to the same address.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _, copy};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

type Name = &'static str;

/// Every process that connects to control instances.
const NAMES: [Name; 6] = [
    "entry-0",
    "entry-1",
    "entry-2",
    "control-0",
    "control-1",
    "control-2",
];

/// A relay to one address. Dropping it ends its connections.
#[derive(Debug)]
pub struct Link {
    /// Address to use in place of the peer's.
    pub address: SocketAddr,
    cut: watch::Sender<BTreeSet<Name>>,
}

impl Link {
    /// Starts a relay to `peer`, on a thread of its own: leases would run out if it had to wait for
    /// the test's clients.
    pub fn start(peer: SocketAddr) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        let (cut, state) = watch::channel(BTreeSet::new());
        std::thread::spawn(move || {
            crate::run(async move {
                accept(TcpListener::from_std(listener).unwrap(), peer, state).await;
            });
        });
        Self { address, cut }
    }

    /// Cuts or heals the link for one process. Connections that were cut do not come back.
    pub fn cut(&self, name: &str, cut: bool) {
        let name = NAMES.into_iter().find(|known| *known == name).unwrap();
        self.cut.send_modify(|names| {
            if cut {
                names.insert(name);
            } else {
                names.remove(name);
            }
        });
    }
}

async fn accept(listener: TcpListener, peer: SocketAddr, state: watch::Receiver<BTreeSet<Name>>) {
    let mut ended = state.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((socket, _)) = accepted {
                    spawn_local(relay(socket, peer, state.clone()));
                }
            }
            changed = ended.changed() => if changed.is_err() { return },
        }
    }
}

async fn relay(mut near: TcpStream, peer: SocketAddr, state: watch::Receiver<BTreeSet<Name>>) {
    let Ok(mut far) = TcpStream::connect(peer).await else {
        return;
    };
    let _set = (near.set_nodelay(true), far.set_nodelay(true));
    let (mut near_in, mut near_out) = near.split();
    let (mut far_in, mut far_out) = far.split();
    let name = Cell::new(None);
    let is_cut = |names: &BTreeSet<Name>| name.get().is_some_and(|name| names.contains(name));
    let mut changes = state.clone();
    let ended = tokio::select! {
        biased;
        changed = changes.wait_for(is_cut) => changed.is_err(),
        introduced = introduce(&mut near_in, &mut far_out, &name, &state) => introduced.is_err(),
        _ended = copy(&mut far_in, &mut near_out) => true,
    };
    if ended {
        return;
    }
    // Both ends stay silent and open until the link is healed.
    let _healed = changes.wait_for(|names| !is_cut(names)).await;
}

/// Forwards what a peer sends, and learns its name. Ends well when the peer is found to be cut.
async fn introduce(
    from: &mut ReadHalf<'_>,
    to: &mut WriteHalf<'_>,
    name: &Cell<Option<Name>>,
    state: &watch::Receiver<BTreeSet<Name>>,
) -> io::Result<()> {
    let mut seen = Vec::new();
    let mut sent = 0;
    while name.get().is_none() {
        if from.read_buf(&mut seen).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let holds = |name: &Name| seen.windows(name.len()).any(|w| w == name.as_bytes());
        name.set(NAMES.into_iter().find(holds));
        if name.get().is_some_and(|name| state.borrow().contains(name)) {
            return Ok(());
        }
        to.write_all(&seen[sent..]).await?;
        sent = seen.len();
    }
    copy(from, to).await?;
    Err(io::ErrorKind::UnexpectedEof.into())
}
