//! A TCP relay in front of a control instance that can be cut for single peers: their connections
//! stay open but forward nothing, as behind a failed network switch.
//!
//! Control redirects entries to the address in its member list, which is the relay's. All peers
//! connect to the same address, so they are identified by the name in their first message.

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

/// Names of all processes that connect to control instances.
const PROCESSES: [Name; 6] = [
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
    /// Address to use instead of the peer's.
    pub address: SocketAddr,
    cut: watch::Sender<BTreeSet<Name>>,
}

impl Link {
    /// Starts a relay to `peer` on a thread of its own, as leases would expire if it had to wait
    /// for the test's callers.
    pub fn start(peer: SocketAddr) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        let (cut, cut_names) = watch::channel(BTreeSet::new());
        std::thread::spawn(move || {
            crate::run(async move {
                accept(TcpListener::from_std(listener).unwrap(), peer, cut_names).await;
            });
        });
        Self { address, cut }
    }

    /// Cuts or restores the link for one process. Connections that were cut do not recover.
    pub fn cut(&self, name: &str, cut: bool) {
        let name = PROCESSES.into_iter().find(|known| *known == name).unwrap();
        self.cut.send_modify(|names| {
            if cut {
                names.insert(name);
            } else {
                names.remove(name);
            }
        });
    }
}

async fn accept(
    listener: TcpListener,
    peer: SocketAddr,
    cut_names: watch::Receiver<BTreeSet<Name>>,
) {
    let mut ended = cut_names.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((socket, _)) = accepted {
                    spawn_local(relay(socket, peer, cut_names.clone()));
                }
            }
            changed = ended.changed() => if changed.is_err() { return },
        }
    }
}

async fn relay(mut near: TcpStream, peer: SocketAddr, cut_names: watch::Receiver<BTreeSet<Name>>) {
    let Ok(mut far) = TcpStream::connect(peer).await else {
        return;
    };
    let _set = (near.set_nodelay(true), far.set_nodelay(true));
    let (mut near_in, mut near_out) = near.split();
    let (mut far_in, mut far_out) = far.split();
    let name = Cell::new(None);
    let is_cut = |names: &BTreeSet<Name>| name.get().is_some_and(|name| names.contains(name));
    let mut cut_changes = cut_names.clone();
    let ended = tokio::select! {
        biased;
        changed = cut_changes.wait_for(is_cut) => changed.is_err(),
        identified = identify(&mut near_in, &mut far_out, &name, &cut_names) => identified.is_err(),
        _ended = copy(&mut far_in, &mut near_out) => true,
    };
    if ended {
        return;
    }
    // Both ends stay open without data until the link is restored.
    let _healed = cut_changes.wait_for(|names| !is_cut(names)).await;
}

/// Forwards a peer's bytes and finds out its name. Returns `Ok` if the peer turns out to be cut.
async fn identify(
    from: &mut ReadHalf<'_>,
    to: &mut WriteHalf<'_>,
    name: &Cell<Option<Name>>,
    cut_names: &watch::Receiver<BTreeSet<Name>>,
) -> io::Result<()> {
    let mut received = Vec::new();
    let mut forwarded = 0;
    while name.get().is_none() {
        if from.read_buf(&mut received).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let contains_name =
            |name: &Name| received.windows(name.len()).any(|w| w == name.as_bytes());
        name.set(PROCESSES.into_iter().find(contains_name));
        if name
            .get()
            .is_some_and(|name| cut_names.borrow().contains(name))
        {
            return Ok(());
        }
        to.write_all(&received[forwarded..]).await?;
        forwarded = received.len();
    }
    copy(from, to).await?;
    Err(io::ErrorKind::UnexpectedEof.into())
}
