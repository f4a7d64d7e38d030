//! Client that orders an engine and reads back its state.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use camphorwall::{EngineSetup, Revision, RpcClient, RpcError};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::{decision::EngineState, desired::DesiredEngine};

/// Path to which orders are posted and from which the engine's state is read.
const PATH: &str = "/v1/deployment";

/// How long the engine may take to answer; it answers an order before it loads.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Response status of an engine that takes no orders.
const NOT_FOUND: u16 = 404;

/// Response status of an engine that has seen a higher fencing number.
const CONFLICT: u16 = 409;

/// Failure to read an engine's state or to order it.
#[derive(Debug, Snafu)]
pub(super) enum OrderError {
    /// The engine can't be reached.
    #[snafu(transparent)]
    Unreachable { source: RpcError },
    /// The engine does not support orders.
    #[snafu(display("the engine takes no orders; remove its deployment"))]
    NoOrders,
    /// The engine was given an order with a higher fencing number.
    #[snafu(display("the engine has a newer order; its documents are asked for again"))]
    Outdated,
    /// The engine answered with another error status.
    #[snafu(display("the engine answered with status {status}; look at its own log"))]
    Refused { status: u16 },
    /// The engine did not answer in time.
    #[snafu(display("the engine did not answer in time"))]
    TimedOut,
    /// The engine's answer can't be read.
    #[snafu(display("the engine's answer can't be read: {message}"))]
    Unreadable { message: String },
}

#[derive(Deserialize)]
struct DeploymentReply {
    setup: EngineSetup,
    #[serde(default)]
    fence: Option<Revision>,
    #[serde(default)]
    loading: Option<EngineSetup>,
}

#[derive(Serialize)]
struct Order<'a> {
    fence: Revision,
    #[serde(flatten)]
    setup: &'a EngineSetup,
}

/// Client of one engine. It has its own connection pool, so that abandoning a dead connection affects no other calls.
pub(super) struct OrderClient {
    address: SocketAddr,
    client: RpcClient,
}

impl OrderClient {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: RpcClient::new(),
        }
    }

    /// Reads the engine's state.
    pub(super) async fn read(&self) -> Result<EngineState, OrderError> {
        let call = async { read_body(self.client.get(self.address, PATH).await?).await };
        let bytes = self.with_timeout(call).await?;
        let reply: DeploymentReply =
            serde_json::from_slice(&bytes).map_err(|error| unreadable(&error))?;
        Ok(EngineState {
            setup: reply.setup,
            fence: reply.fence,
            loading: reply.loading,
        })
    }

    /// Orders the engine to run the desired setup.
    pub(super) async fn order(&self, desired: &DesiredEngine) -> Result<(), OrderError> {
        let order = Order {
            fence: desired.revision,
            setup: &desired.setup,
        };
        let body = serde_json::to_vec(&order).map_err(|error| unreadable(&error))?;
        let ordering = async { read_body(self.client.post(self.address, PATH, body).await?).await };
        self.with_timeout(ordering).await?;
        Ok(())
    }

    async fn with_timeout(
        &self,
        call: impl Future<Output = Result<Bytes, OrderError>>,
    ) -> Result<Bytes, OrderError> {
        let answer = compio::time::timeout(ANSWER_TIMEOUT, Box::pin(call)).await;
        answer.unwrap_or_else(|_| {
            self.client.abandon_pool();
            Err(OrderError::TimedOut)
        })
    }
}

fn unreadable(error: &impl ToString) -> OrderError {
    OrderError::Unreadable {
        message: error.to_string(),
    }
}

async fn read_body(response: cyper::Response) -> Result<Bytes, OrderError> {
    match response.status().as_u16() {
        NOT_FOUND => Err(OrderError::NoOrders),
        CONFLICT => Err(OrderError::Outdated),
        200..=299 => response.bytes().await.map_err(|error| unreadable(&error)),
        status => Err(OrderError::Refused { status }),
    }
}
