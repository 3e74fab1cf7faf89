//! A TCP proxy in front of one process, whose connections can be cut, silenced or slowed.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, DropGuard};

/// How a link treats the bytes of its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes pass in both directions.
    Open,
    /// Bytes are held in both directions and no connection is closed, as in a network partition.
    Silent,
    /// Bytes to the process pass; bytes from it are held.
    Mute,
    /// Bytes of connections made before are held, as by a middlebox that has lost its connection table;
    /// connections made in this state pass.
    Stale,
    /// Open connections are closed, and new ones as soon as they are accepted.
    Cut,
    /// Each block of at most 16 KiB from the process is delayed by this many milliseconds.
    Slow(u64),
}

/// Connections that the operating system queues until they are accepted.
const BACKLOG: u32 = 1_024;

/// Bytes that were held on their way to the process at any time; later forwarding does not remove them.
type HeldBytes = Arc<Mutex<Vec<u8>>>;

/// A running link. Dropping it refuses new connections first, and then closes the open ones.
#[derive(Debug)]
pub struct LabLink {
    /// Address under which the process is reached over this link.
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
    held: HeldBytes,
    _stop: DropGuard,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkDirection {
    ToProcess,
    FromProcess,
}

/// One direction of a connection, to decide whether its bytes pass.
#[derive(Debug, Clone, Copy)]
struct ConnectionFlow {
    direction: LinkDirection,
    /// Whether the connection was made in the state [`LinkState::Stale`].
    is_fresh: bool,
}

impl LabLink {
    /// Starts a link to `target` on a free port; requires a tokio runtime.
    pub fn spawn(target: SocketAddr) -> std::io::Result<Self> {
        Self::spawn_at((Ipv4Addr::LOCALHOST, 0).into(), target)
    }

    /// Starts a link to `target` that listens at `address`, as a restarted process does.
    pub fn spawn_at(address: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        // Binding also succeeds while connections of an earlier listener are still being closed.
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        let (state, link_state) = watch::channel(LinkState::Open);
        let (stop, connections_stop) = (CancellationToken::new(), CancellationToken::new());
        let held = HeldBytes::default();
        // Both keep connections alive: they close when the guard is dropped, and also when no sender of
        // the state is left.
        let connection_guard = (connections_stop.clone().drop_guard(), state.clone());
        let (listener_stop, link_state) = (stop.clone(), (link_state, held.clone()));
        tokio::spawn(async move {
            listener_stop
                .run_until_cancelled(accept_connections(
                    &listener,
                    target,
                    link_state,
                    connections_stop,
                ))
                .await;
            // The listener is shut down before connections close, so that a client that sees its
            // connection break cannot connect again, as with a crashed process. Closing it is not
            // enough: a child process that is being started has inherited the descriptor.
            let _ = rustix::net::shutdown(&listener, rustix::net::Shutdown::Both);
            drop(connection_guard);
        });
        Ok(Self { address, state, held, _stop: stop.drop_guard() })
    }

    /// Whether the bytes held on their way to the process so far contain this text.
    pub fn has_held(&self, text: &str) -> bool {
        let held = self.held.lock().expect("nobody panics under this lock");
        held.windows(text.len()).any(|part| part == text.as_bytes())
    }

    /// Changes the state, for open connections as well.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

async fn accept_connections(
    listener: &TcpListener,
    target: SocketAddr,
    (link_state, held): (watch::Receiver<LinkState>, HeldBytes),
    stop: CancellationToken,
) {
    while let Ok((client, _)) = listener.accept().await {
        let (link_state, held, stop) = (link_state.clone(), held.clone(), stop.clone());
        tokio::spawn(
            stop.run_until_cancelled_owned(proxy_connection(client, target, link_state, held)),
        );
    }
}

/// Forwards bytes between a client and the process until both directions end or the link is cut.
async fn proxy_connection(
    client: TcpStream,
    target: SocketAddr,
    mut link_state: watch::Receiver<LinkState>,
    held: HeldBytes,
) {
    if *link_state.borrow() == LinkState::Cut {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    // Only connections made before the link became stale are affected by it.
    let is_fresh = *link_state.borrow() == LinkState::Stale;
    let to_process = ConnectionFlow { direction: LinkDirection::ToProcess, is_fresh };
    let from_process = ConnectionFlow { direction: LinkDirection::FromProcess, is_fresh };
    let upward = forward(client_read, server_write, to_process, link_state.clone(), Some(held));
    let downward = forward(server_read, client_write, from_process, link_state.clone(), None);
    tokio::select! {
        () = async {
            tokio::join!(upward, downward);
        } => {}
        () = async {
            let _ = link_state.wait_for(|state| *state == LinkState::Cut).await;
        } => {}
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    flow: ConnectionFlow,
    mut link_state: watch::Receiver<LinkState>,
    held: Option<HeldBytes>,
) {
    const BLOCK_BYTES: usize = 16 << 10;
    let mut buffer = vec![0; BLOCK_BYTES];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 {
            break;
        }
        let is_held = !flow.is_open(*link_state.borrow());
        if let Some(held) = held.as_ref().filter(|_| is_held) {
            let mut held = held.lock().expect("nobody panics under this lock");
            held.extend_from_slice(&buffer[..count]);
        }
        let open_state =
            link_state.wait_for(|state| flow.is_open(*state)).await.map(|state| *state);
        let Ok(state) = open_state else { return };
        if let (LinkState::Slow(delay_ms), LinkDirection::FromProcess) = (state, flow.direction) {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}

impl ConnectionFlow {
    fn is_open(self, state: LinkState) -> bool {
        match state {
            LinkState::Open | LinkState::Slow(_) => true,
            LinkState::Mute => self.direction == LinkDirection::ToProcess,
            LinkState::Stale => self.is_fresh,
            LinkState::Silent | LinkState::Cut => false,
        }
    }
}
