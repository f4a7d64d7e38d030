//! Server task of a stand-in, which ends when it is stopped or dropped.

use std::{future::Future, io, net::SocketAddr};

use camphorwall::{BoxedBody, HttpLimits, HttpServer, RequestBody, StopHandle, stop_pair};
use compio::{net::TcpListener, runtime::JoinHandle};
use hyper::{Request, Response};

/// A running server. Dropping it closes its connections, as the death of a process would.
pub struct RunningServer {
    /// Bound address.
    pub address: SocketAddr,
    stop: StopHandle,
    task: JoinHandle<()>,
}

impl RunningServer {
    /// Binds an address and serves it with `handler`.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn start<H, F>(address: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<RequestBody>) -> F + 'static,
        F: Future<Output = Response<BoxedBody>> + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = stop_pair();
        let server = HttpServer {
            listener,
            limits: HttpLimits::default(),
        };
        let task = compio::runtime::spawn(server.serve(handler, stopped));
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    /// Stops the server after its running requests have ended.
    pub async fn stop(self) {
        self.stop.stop();
        // A panic in a handler has been reported already by its own task.
        let _ = self.task.await;
    }
}
