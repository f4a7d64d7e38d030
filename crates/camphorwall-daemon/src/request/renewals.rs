//! Renews the leases of this entry's requests at endpoint daemons, by one datagram each way or, if none is answered, by
//! a call.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use camphorwall::{
    DatagramQuery, DatagramReply, InstanceId, MAX_RENEWED, METHOD_RENEW, Renew, RenewReply,
    RequestId, RequestIdPrefix, RpcClient,
};

use super::LeavingEndpoints;
use crate::datagrams::{QueryClient, RetryPolicy};

/// Period at which the leases at one endpoint daemon are renewed.
///
/// A reservation's lease of 3 s survives one lost datagram; the lease of 5 s of running work survives two and the time
/// of a call.
const RENEWAL_PERIOD: Duration = Duration::from_millis(2_200);

/// Period at which an entry polls for leases that are due, and for requests whose API key was withdrawn.
pub(crate) const RENEWAL_POLL_PERIOD: Duration = Duration::from_millis(200);

/// Datagrams that are sent before the renewal falls back to a call.
const RENEWAL_RETRY_POLICY: RetryPolicy = RetryPolicy {
    tries: 3,
    timeout: Duration::from_millis(250),
};

/// Time-out of a renewal by a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Requests to renew, by the address of their endpoint daemon.
pub(super) type RequestsByEndpoint = BTreeMap<SocketAddr, Vec<RequestId>>;

/// Times at which the leases at each endpoint daemon are due.
#[derive(Default)]
pub(super) struct RenewalTimes {
    due_at: BTreeMap<SocketAddr, Instant>,
}

impl RenewalTimes {
    /// Keeps the requests whose endpoint daemon is due. A new lease lasts longer than one period, so an endpoint daemon
    /// that has just been added is due one period later.
    pub(super) fn due(&mut self, active: RequestsByEndpoint, now: Instant) -> RequestsByEndpoint {
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

/// Sends renewals, by datagram or by call.
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

    /// Renews the leases at one endpoint daemon, in as many datagrams as the number of requests needs.
    pub(crate) async fn renew(
        &self,
        endpoint: SocketAddr,
        receiver: Option<InstanceId>,
        requests: Vec<RequestId>,
    ) {
        for requests in requests.chunks(MAX_RENEWED) {
            let is_renewed = match &receiver {
                Some(receiver) => self.renew_by_datagram(endpoint, receiver, requests).await,
                // The published list does not have the endpoint daemon yet, and a datagram needs its name.
                None => false,
            };
            if !is_renewed {
                self.renew_by_call(endpoint, requests.to_vec()).await;
            }
        }
    }

    async fn renew_by_datagram(
        &self,
        endpoint: SocketAddr,
        receiver: &InstanceId,
        requests: &[RequestId],
    ) -> bool {
        let prefixes = requests.iter().copied().map(RequestIdPrefix::of);
        let query = DatagramQuery::Renew(prefixes.collect());
        let reply = self
            .query_client
            .query(receiver, endpoint, query, RENEWAL_RETRY_POLICY)
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

    async fn renew_by_call(&self, endpoint: SocketAddr, requests: Vec<RequestId>) {
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
