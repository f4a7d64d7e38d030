//! Tracks the requests in progress at this entry: their leases at endpoint daemons and the API keys they came with.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Instant,
};

use camphorwall::{KeyDigest, Published, RequestId, Stop, StopHandle, TaskGroup, stop_pair};

use super::renewals::{Renewer, RequestsByEndpoint};
use crate::published::instance_at;

struct ActiveRequest {
    key: Option<KeyDigest>,
    endpoints: BTreeSet<SocketAddr>,
    withdrawn: StopHandle,
}

/// Requests in progress; clones share the same map.
#[derive(Clone, Default)]
pub(crate) struct ActiveRequests(Rc<RefCell<BTreeMap<RequestId, ActiveRequest>>>);

/// Registration of one request in progress; removed on drop.
pub(crate) struct ActiveGuard {
    active: ActiveRequests,
    request_id: RequestId,
    /// Triggered when the request's API key is withdrawn.
    pub(crate) withdrawn: Stop,
}

impl ActiveGuard {
    /// Adds an endpoint daemon at which the request's lease must be renewed.
    pub(crate) fn add_endpoint(&self, address: SocketAddr) {
        if let Some(request) = self.active.0.borrow_mut().get_mut(&self.request_id) {
            request.endpoints.insert(address);
        }
    }
}

impl ActiveGuard {
    /// Stops renewing the lease at an endpoint daemon where the request's work has ended.
    pub(crate) fn remove_endpoint(&self, address: SocketAddr) {
        if let Some(request) = self.active.0.borrow_mut().get_mut(&self.request_id) {
            request.endpoints.remove(&address);
        }
    }

    /// Stops renewing all leases, because the attempts that hold them were given up.
    pub(crate) fn forget_endpoints(&self) {
        if let Some(request) = self.active.0.borrow_mut().get_mut(&self.request_id) {
            request.endpoints.clear();
        }
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.active.0.borrow_mut().remove(&self.request_id);
    }
}

impl ActiveRequests {
    pub(crate) fn add(&self, request_id: RequestId, key: Option<KeyDigest>) -> ActiveGuard {
        let (withdrawn_handle, withdrawn) = stop_pair();
        let request = ActiveRequest {
            key,
            endpoints: BTreeSet::new(),
            withdrawn: withdrawn_handle,
        };
        self.0.borrow_mut().insert(request_id, request);
        ActiveGuard {
            active: self.clone(),
            request_id,
            withdrawn,
        }
    }

    /// Number of requests in progress.
    pub(crate) fn count(&self) -> u64 {
        self.0.borrow().len() as u64
    }

    /// Interrupts the requests whose API key is no longer published.
    pub(crate) fn interrupt_withdrawn(&self, published: &Published) {
        for request in self.0.borrow().values() {
            if request
                .key
                .is_some_and(|key| !published.keys.contains_key(&key))
            {
                request.withdrawn.stop();
            }
        }
    }

    /// Renews the leases that are due, in one task for each endpoint daemon, so that a slow daemon delays no other.
    pub(crate) fn renew_leases(
        &self,
        renewer: &Rc<Renewer>,
        published: &Published,
        tasks: &TaskGroup,
        now: Instant,
    ) {
        let mut active = RequestsByEndpoint::new();
        for (request_id, request) in self.0.borrow().iter() {
            for endpoint in &request.endpoints {
                active.entry(*endpoint).or_default().push(*request_id);
            }
        }
        let due = renewer.times.borrow_mut().due(active, now);
        for (endpoint, requests) in due {
            let receiver = instance_at(published, endpoint);
            let renewer = Rc::clone(renewer);
            tasks.spawn(async move { renewer.renew(endpoint, receiver, requests).await });
        }
    }
}
