//! Decides whether a request may be served: route, API key and contract.

use std::time::Instant;

use camphorwall::{
    Contract, KeyDigest, Problem, ProblemKind, Published, RequestId, Reserve, Route, Tokens,
};
use http::{HeaderMap, header::AUTHORIZATION};

use super::model::milliseconds_until;
use crate::entry::Entry;

/// Scheme in the `Authorization` header, with the blank that separates it from the API key.
const SCHEME: &str = "Bearer ";

/// A request that may be served if its team's budget covers it.
#[derive(Clone, Debug)]
pub(crate) struct Admission {
    /// Matching route.
    pub(crate) route: Route,
    /// Contract whose budget is charged; absent on open routes.
    pub(crate) contract: Option<Contract>,
    /// Digest of the API key that came with the request; absent on open routes.
    pub(crate) key: Option<KeyDigest>,
}

impl Admission {
    /// Builds a reservation for work without tokens that may wait for a slot until the deadline.
    pub(crate) fn reserve(
        &self,
        entry: &Entry,
        request_id: RequestId,
        attempt: u32,
        deadline: Instant,
    ) -> Reserve {
        let contract = self.contract.as_ref();
        let priority = contract.map(|contract| contract.priority);
        Reserve {
            request_id,
            attempt,
            entry: entry.settings.instance.clone(),
            data_centre: entry.settings.data_centre.clone(),
            team: contract.map(|contract| contract.team.clone()),
            priority: priority.unwrap_or_default(),
            weight: contract.map_or(1, |contract| contract.weight),
            route: self.route.route.clone(),
            service: self.route.service.clone(),
            prompt_tokens: Tokens(0),
            max_output_tokens: Tokens(0),
            wait_limit_ms: milliseconds_until(deadline),
            deadline_ms: milliseconds_until(deadline),
            fingerprint: 0,
            engine_role: None,
            setup: None,
            pieces: Vec::new(),
        }
    }
}

/// Finds the route and the contract whose budget is charged.
pub(crate) fn admit(
    published: &Published,
    method: &str,
    path: &str,
    headers: &HeaderMap,
) -> Result<Admission, Problem> {
    let refuse_route = |detail: String| Problem::not_run(ProblemKind::RouteUnknown, detail);
    let Some(route) = published.route(method, path) else {
        return Err(refuse_route(format!(
            "no route serves {method} {path}; check method and path"
        )));
    };
    if route.open {
        return Ok(Admission {
            route: route.clone(),
            contract: None,
            key: None,
        });
    }
    let refuse_key = |detail: &str| Problem::not_run(ProblemKind::KeyUnknown, detail);
    let value = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let Some(key) = value.and_then(|value| value.strip_prefix(SCHEME)) else {
        return Err(refuse_key("send your key as 'Authorization: Bearer KEY'"));
    };
    let digest = KeyDigest::of_key(key.trim());
    let Some(contract) = published
        .keys
        .get(&digest)
        .and_then(|team| published.contracts.get(team))
    else {
        return Err(refuse_key(
            "the key is unknown or was withdrawn; ask your operator for a new one",
        ));
    };
    if !contract.routes.contains(&route.route) {
        return Err(refuse_route(format!(
            "your contract does not include route {}",
            route.route
        )));
    }
    Ok(Admission {
        route: route.clone(),
        contract: Some(contract.clone()),
        key: Some(digest),
    })
}
