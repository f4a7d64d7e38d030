//! Renews the leases of this entry's requests at endpoint daemons, by one datagram each way or by a call.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use camphorwall::{
    DatagramAsk, DatagramReply, InstanceId, MAX_RENEWED, METHOD_RENEW, Renew, RenewReply,
    RequestId, RequestShortName, RpcClient,
};

use super::LeavingEndpoints;
use crate::datagrams::{QueryClient, RetryPolicy};

/// How often the leases at one endpoint daemon are renewed.
///
/// A reservation's lease of 3 s survives one lost datagram, the lease of 5 s of running work two and the time of a
/// call.
const RENEWAL_PERIOD: Duration = Duration::from_millis(2_200);

/// How often is looked for what is due.
pub(crate) const LOOK_PERIOD: Duration = Duration::from_millis(200);

/// Datagrams that are sent before a call is made.
const PATIENCE: RetryPolicy = RetryPolicy {
    tries: 3,
    timeout: Duration::from_millis(250),
};

/// How long a renewal by a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Requests to renew, by address of their endpoint daemon.
pub(super) type ByEndpoint = BTreeMap<SocketAddr, Vec<RequestId>>;

/// When the leases at each endpoint daemon are due.
#[derive(Default)]
pub(super) struct RenewalTimes {
    due_at: BTreeMap<SocketAddr, Instant>,
}

impl RenewalTimes {
    /// Those that are due. Work that has just begun has a whole lease, so its endpoint daemon is due a period later.
    pub(super) fn due(&mut self, active: ByEndpoint, now: Instant) -> ByEndpoint {
        self.due_at
            .retain(|endpoint, _| active.contains_key(endpoint));
        let mut is_due = |endpoint: &SocketAddr| {
            let next = now + RENEWAL_PERIOD;
            let due_at = self.due_at.entry(*endpoint).or_insert(next);
            let is_due = *due_at <= now;
            if is_due {
                *due_at = next;
            }
            is_due
        };
        let mut due = active;
        due.retain(|endpoint, _| is_due(endpoint));
        due
    }
}

/// Sends the renewals.
pub(crate) struct Renewer {
    pub(crate) entry: InstanceId,
    pub(crate) client: RpcClient,
    pub(crate) query_client: Rc<QueryClient>,
    pub(crate) leaving: Rc<LeavingEndpoints>,
    pub(super) times: RefCell<RenewalTimes>,
}

impl Renewer {
    pub(crate) fn new(
        entry: InstanceId,
        client: RpcClient,
        query_client: Rc<QueryClient>,
        leaving: Rc<LeavingEndpoints>,
    ) -> Self {
        Self {
            entry,
            client,
            query_client,
            leaving,
            times: RefCell::default(),
        }
    }

    /// Renews at one endpoint daemon, in as many datagrams as the requests take.
    pub(crate) async fn renew(
        &self,
        endpoint: SocketAddr,
        receiver: Option<InstanceId>,
        requests: Vec<RequestId>,
    ) {
        for requests in requests.chunks(MAX_RENEWED) {
            let is_asked = match &receiver {
                Some(receiver) => self.ask(endpoint, receiver, requests).await,
                // The published list does not name it yet.
                None => false,
            };
            if !is_asked {
                self.call(endpoint, requests.to_vec()).await;
            }
        }
    }

    async fn ask(
        &self,
        endpoint: SocketAddr,
        receiver: &InstanceId,
        requests: &[RequestId],
    ) -> bool {
        let names = requests.iter().copied().map(RequestShortName::of);
        let ask = DatagramAsk::Renew(names.collect());
        let reply = self
            .query_client
            .query(receiver, endpoint, ask, PATIENCE)
            .await;
        let Some(DatagramReply::Renewed {
            unknown, leaving, ..
        }) = reply
        else {
            return false;
        };
        if !unknown.is_empty() {
            tracing::debug!(event = "renewal_unknown", %endpoint, requests = unknown.len());
        }
        if leaving {
            self.leaving.note(endpoint);
        }
        true
    }

    async fn call(&self, endpoint: SocketAddr, requests: Vec<RequestId>) {
        let renew = Renew {
            entry: self.entry.clone(),
            requests,
        };
        let call = self
            .client
            .call(endpoint, METHOD_RENEW, &renew, CALL_TIMEOUT);
        let reply: Result<RenewReply, _> = call.await;
        match reply {
            Ok(reply) => {
                self.query_client.note_blocked(endpoint, Instant::now());
                if reply.leaving {
                    self.leaving.note(endpoint);
                }
            }
            Err(error) => tracing::warn!(event = "renewal_failed", %error),
        }
    }
}

#[cfg(test)]
#[path = "renewals_tests.rs"]
mod tests;
