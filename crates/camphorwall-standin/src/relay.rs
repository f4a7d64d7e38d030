//! A TCP relay that can stop forwarding in either direction without closing, like a middlebox that has lost the state
//! of a connection.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
};

use camphorwall::{StopHandle, TaskGroup, stop_pair};
use compio::{
    BufResult,
    io::{AsyncRead, AsyncWrite, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};
use futures_util::{
    FutureExt as _, StreamExt as _,
    future::{join, select},
};

/// Maximum number of bytes that are forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// What a relay does with bytes in one direction.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RelayMode {
    /// Forwards them.
    #[default]
    Open,
    /// Accepts them and forwards nothing.
    Silent,
    /// Keeps them until the mode changes.
    Held,
}

/// What a relay does in both directions.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RelayModes {
    /// From the client to the relay's target.
    pub to_target: RelayMode,
    /// From the relay's target to the client.
    pub to_client: RelayMode,
}

struct State {
    target: Cell<SocketAddr>,
    /// Modes of connections that are accepted from now on.
    new_modes: Cell<RelayModes>,
    connections: RefCell<Vec<Rc<Connection>>>,
}

struct Connection {
    modes: Cell<RelayModes>,
    waiters: RefCell<Vec<futures_channel::oneshot::Sender<()>>>,
}

impl Connection {
    fn set_modes(&self, modes: RelayModes) {
        self.modes.set(modes);
        for waiter in self.waiters.take() {
            // The direction may have been closed.
            let _ = waiter.send(());
        }
    }

    async fn wait_while_held(&self, direction: impl Fn(RelayModes) -> RelayMode) {
        while direction(self.modes.get()) == RelayMode::Held {
            let (sender, receiver) = futures_channel::oneshot::channel();
            self.waiters.borrow_mut().push(sender);
            // The sender is used or dropped only when the modes change.
            let _ = receiver.await;
        }
    }
}

/// A running relay. Dropping it closes its connections.
pub struct TcpRelay {
    /// Bound address.
    pub address: SocketAddr,
    state: Rc<State>,
    tasks: TaskGroup,
    _stop: StopHandle,
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.tasks.abort();
    }
}

impl TcpRelay {
    /// Starts a relay to a target.
    ///
    /// # Errors
    /// When no port is free.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(crate::any_port()).await?;
        let address = listener.local_addr()?;
        let state = Rc::new(State {
            target: Cell::new(target),
            new_modes: Cell::default(),
            connections: RefCell::default(),
        });
        let tasks = TaskGroup::default();
        let (stop_handle, stop) = stop_pair();
        let (accepting, group) = (Rc::clone(&state), tasks.clone());
        tasks.spawn(async move {
            let accept = accept(listener, accepting, group).boxed_local();
            select(accept, stop.called().boxed_local()).await;
        });
        Ok(Self {
            address,
            state,
            tasks,
            _stop: stop_handle,
        })
    }

    /// Connects new connections to another target.
    pub fn set_target(&self, target: SocketAddr) {
        self.state.target.set(target);
    }

    /// Changes the modes of the connections that are open now, but not those of new ones.
    pub fn set_open_connections(&self, modes: RelayModes) {
        for connection in self.state.connections.borrow().iter() {
            connection.set_modes(modes);
        }
    }

    /// Changes the modes of all connections, open and new ones.
    pub fn set_all_connections(&self, modes: RelayModes) {
        self.state.new_modes.set(modes);
        self.set_open_connections(modes);
    }
}

async fn accept(listener: TcpListener, state: Rc<State>, tasks: TaskGroup) {
    let mut incoming = listener.incoming();
    while let Some(Ok(client)) = incoming.next().await {
        let connection = Rc::new(Connection {
            modes: Cell::new(state.new_modes.get()),
            waiters: RefCell::default(),
        });
        let mut connections = state.connections.borrow_mut();
        connections.retain(|open| Rc::strong_count(open) > 1);
        connections.push(Rc::clone(&connection));
        let target = state.target.get();
        tasks.spawn(async move {
            if let Ok(target_stream) = TcpStream::connect(target).await {
                relay(client, target_stream, &connection).await;
            }
        });
    }
}

async fn relay(client: TcpStream, target_stream: TcpStream, connection: &Connection) {
    // Nagle's algorithm would delay single tokens.
    let _ = (client.set_nodelay(true), target_stream.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = target_stream.into_split();
    let to_target = forward(client_read, target_write, connection, |modes| {
        modes.to_target
    });
    let to_client = forward(target_read, client_write, connection, |modes| {
        modes.to_client
    });
    join(to_target, to_client).await;
}

/// Forwards bytes until the sender closes, then forwards the close.
async fn forward(
    mut from: impl AsyncRead,
    mut to: impl AsyncWrite,
    connection: &Connection,
    direction: impl Fn(RelayModes) -> RelayMode,
) {
    loop {
        let BufResult(read, buffer) = from.read(Vec::with_capacity(CHUNK_BYTES)).await;
        connection.wait_while_held(&direction).await;
        let is_end = !matches!(read, Ok(1..));
        match direction(connection.modes.get()) {
            RelayMode::Silent if is_end => return std::future::pending().await,
            RelayMode::Silent => {}
            _ if is_end => break,
            _ if to.write_all(buffer).await.0.is_err() => break,
            _ => {}
        }
    }
    // The receiver may have closed the connection.
    let _ = to.shutdown().await;
}
