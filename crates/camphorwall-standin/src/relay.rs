//! A TCP relay that can go silent in either direction, as a middle does that has lost track of a connection.

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

/// Bytes that are passed on at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// What a relay does with the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RelayMode {
    /// Passes them on.
    #[default]
    Open,
    /// Accepts them and passes nothing on.
    Silent,
    /// Keeps them until the direction is open again.
    Held,
}

/// What a relay does in both directions.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RelayModes {
    /// From the side that connects to the side that listens.
    pub to_target: RelayMode,
    /// From the side that listens to the side that connects.
    pub to_client: RelayMode,
}

struct State {
    target: Cell<SocketAddr>,
    /// For connections that are made from now on.
    fresh: Cell<RelayModes>,
    connections: RefCell<Vec<Rc<Connection>>>,
}

struct Connection {
    passages: Cell<RelayModes>,
    wakers: RefCell<Vec<futures_channel::oneshot::Sender<()>>>,
}

impl Connection {
    fn set(&self, passages: RelayModes) {
        self.passages.set(passages);
        for waker in self.wakers.take() {
            // The direction may be closed.
            let _ = waker.send(());
        }
    }

    async fn released(&self, direction: impl Fn(RelayModes) -> RelayMode) {
        while direction(self.passages.get()) == RelayMode::Held {
            let (sender, receiver) = futures_channel::oneshot::channel();
            self.wakers.borrow_mut().push(sender);
            // The sender goes only when the passages change.
            let _ = receiver.await;
        }
    }
}

/// The relay. Dropping it cuts its connections.
pub struct SilentLink {
    /// Bound address.
    pub address: SocketAddr,
    state: Rc<State>,
    tasks: TaskGroup,
    _stop: StopHandle,
}

impl Drop for SilentLink {
    fn drop(&mut self) {
        self.tasks.abort();
    }
}

impl SilentLink {
    /// Starts a relay to a target.
    ///
    /// # Errors
    /// When no port is free.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(crate::any_port()).await?;
        let address = listener.local_addr()?;
        let state = Rc::new(State {
            target: Cell::new(target),
            fresh: Cell::default(),
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

    /// Sends new connections to another target.
    pub fn set_target(&self, target: SocketAddr) {
        self.state.target.set(target);
    }

    /// Changes the connections that are open now; new ones stay as they are.
    pub fn set_open_connections(&self, passages: RelayModes) {
        for connection in self.state.connections.borrow().iter() {
            connection.set(passages);
        }
    }

    /// Changes all connections, open and new ones.
    pub fn set_all_connections(&self, passages: RelayModes) {
        self.state.fresh.set(passages);
        self.set_open_connections(passages);
    }
}

async fn accept(listener: TcpListener, state: Rc<State>, tasks: TaskGroup) {
    let mut incoming = listener.incoming();
    while let Some(Ok(near)) = incoming.next().await {
        let connection = Rc::new(Connection {
            passages: Cell::new(state.fresh.get()),
            wakers: RefCell::default(),
        });
        let mut connections = state.connections.borrow_mut();
        connections.retain(|open| Rc::strong_count(open) > 1);
        connections.push(Rc::clone(&connection));
        let target = state.target.get();
        tasks.spawn(async move {
            if let Ok(far) = TcpStream::connect(target).await {
                relay(near, far, &connection).await;
            }
        });
    }
}

async fn relay(near: TcpStream, far: TcpStream, connection: &Connection) {
    // Nagle's algorithm would hold single tokens back.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let forth = pass(near_read, far_write, connection, |passages| {
        passages.to_target
    });
    let back = pass(far_read, near_write, connection, |passages| {
        passages.to_client
    });
    join(forth, back).await;
}

/// Passes bytes on until the sender closes; a close is passed on like bytes.
async fn pass(
    mut from: impl AsyncRead,
    mut to: impl AsyncWrite,
    connection: &Connection,
    direction: impl Fn(RelayModes) -> RelayMode,
) {
    loop {
        let BufResult(read, buffer) = from.read(Vec::with_capacity(CHUNK_BYTES)).await;
        connection.released(&direction).await;
        let is_end = !matches!(read, Ok(1..));
        match direction(connection.passages.get()) {
            RelayMode::Silent if is_end => return std::future::pending().await,
            RelayMode::Silent => {}
            _ if is_end => break,
            _ if to.write_all(buffer).await.0.is_err() => break,
            _ => {}
        }
    }
    // The other side may be gone.
    let _ = to.shutdown().await;
}
