//! Endpoint daemons that reported to this entry that they are leaving, by address. The published list shows it later.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// How long a report counts; an endpoint daemon that did not leave is then offered work again.
const REPORT_LIFETIME: Duration = Duration::from_secs(30);

/// Endpoint daemons that are leaving.
#[derive(Default)]
pub(crate) struct LeavingEndpoints(RefCell<BTreeMap<SocketAddr, Instant>>);

impl LeavingEndpoints {
    /// Notes that an endpoint daemon takes no new work.
    pub(crate) fn note(&self, address: SocketAddr) {
        let now = Instant::now();
        let mut leaving = self.0.borrow_mut();
        leaving.retain(|_, reported_at| now < *reported_at + REPORT_LIFETIME);
        leaving.insert(address, now);
    }

    /// Whether the endpoint daemon reported recently that it is leaving.
    pub(crate) fn contains(&self, address: SocketAddr) -> bool {
        let reported_at = self.0.borrow().get(&address).copied();
        reported_at.is_some_and(|reported_at| Instant::now() < reported_at + REPORT_LIFETIME)
    }
}
