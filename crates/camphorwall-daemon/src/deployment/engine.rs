//! Client of an engine's orders.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use camphorwall::{EngineSetup, Revision, RpcClient, RpcError};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::{decision::EngineState, desired::DesiredEngine};

/// Path of orders and of what the engine runs.
const PATH: &str = "/v1/deployment";

/// How long the engine may take to answer; it loads after its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Status of an engine that takes no orders.
const NOT_FOUND: u16 = 404;

/// Status of an engine that has seen a higher fencing number.
const CONFLICT: u16 = 409;

/// An engine that could not be asked or ordered.
#[derive(Debug, Snafu)]
pub(super) enum OrderError {
    /// The engine can't be reached.
    #[snafu(transparent)]
    Unreachable { source: RpcError },
    /// The engine has no orders.
    #[snafu(display("the engine takes no orders; remove its deployment"))]
    NoOrders,
    /// The engine was given a newer order.
    #[snafu(display("the engine has a newer order; its documents are asked for again"))]
    Outdated,
    /// The engine answered with another status.
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

/// Client of one engine. Its connections are its own, so that a silent one is given up without harm to others.
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

    /// Reads back what the engine runs.
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

    /// Orders the engine to run what is wanted.
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
