//! Admits one caller's request and hands it to the handler for its kind of route.

use std::{pin::pin, rc::Rc, time::Duration};

use camphorwall::{BoxedBody, RequestBody, RequestEnd};
use futures_util::future::{self, Either};
use http::{HeaderValue, Method, Request, StatusCode, Uri, Version, header};
use hyper::Response;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    balance::placement::QueueRank,
    blocks::Blocks,
    clock::Moment,
    configuration::{Configuration, Endpoint, Route, RouteKind, Service, Stage, Team},
    contract::{charge::Charge, homes::RequestHomes},
    dialect::{ForwardingFacts, KvHandle, RequestFacts},
    endpoints::{
        poison::{Block, Content, Fingerprint},
        stall::Pauses,
        trials::{Trial, retry_after},
    },
    entry::{ActiveGuard, Entry},
    memory_pool::MemoryShare,
    names::ServiceName,
    request_body::{self, BodyFault, ReceivedBody},
    request_log::RequestLog,
    serve::{outcome::closed, plain, refusal::Refusal, stream},
};

/// Retry-After of a refusal whose cause is expected to pass soon.
pub(crate) const TRANSIENT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request that passed admission.
pub(crate) struct Admitted {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Blocks,
    pub(crate) facts: RequestFacts,
    pub(crate) route: Rc<Route>,
    pub(crate) service: ServiceName,
    pub(crate) service_facts: Service,
    pub(crate) team: Option<Rc<Team>>,
    pub(crate) content: Rc<Content>,
    pub(crate) homes: Rc<RequestHomes>,
    pub(crate) arrived_at: Moment,
    pub(crate) ends_at: Moment,
    /// Last moment at which an endpoint can begin the request while its caller still waits.
    pub(crate) start_by: Moment,
    pub(crate) request_log: Rc<RequestLog>,
    pub(crate) charge: Charge,
    /// The trial that the request is, if others like it have crashed endpoints.
    pub(crate) trial: Option<Trial>,
    _memory: [MemoryShare; 2],
    /// Keeps a stopping entry alive until the answer has ended.
    _active: ActiveGuard,
}

impl Admitted {
    /// Time left until the request's deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.ends_at.since(Moment::now())
    }

    /// Priority of the request: the team's, or else the route's.
    pub(crate) fn priority(&self) -> u32 {
        let team_priority = self.team.as_ref().and_then(|team| team.priority);
        team_priority.unwrap_or(self.route.priority)
    }

    /// Moment from which a stream with these pauses counts as stalled. Continuing it elsewhere takes up to the target, and
    /// must end before the caller leaves.
    pub(crate) fn stalled_at(&self, pauses: &Pauses) -> Moment {
        let wait_limit = Duration::from_millis(self.route.wait_limit_ms);
        let target = Duration::from_millis(self.route.target_ms);
        pauses.stalled_at(wait_limit, target.min(wait_limit / 2))
    }

    /// Order in which the request gets a placement. Late requests are ordered by their deadlines, so that a caller that
    /// retries after a refusal goes before those that arrived later.
    pub(crate) fn rank(&self, is_late: bool) -> QueueRank {
        let since = if is_late {
            self.ends_at - self.route.time_limit(None)
        } else {
            self.arrived_at
        };
        QueueRank {
            needs_prefill: true,
            is_late,
            priority: self.priority(),
            since,
        }
    }

    /// The request as it is sent to an endpoint.
    pub(crate) fn endpoint_request(
        &self,
        entry: &Entry,
        endpoint: &Endpoint,
        stage: Stage,
        kv_source: Option<(std::net::SocketAddr, KvHandle)>,
        last_event_id: Option<u64>,
    ) -> Request<Blocks> {
        let forwarding = ForwardingFacts {
            endpoint: endpoint.id.clone(),
            team: self.team.as_ref().map(|team| team.name.clone()),
            time_left: Some(self.time_left()),
            stage,
            kv_source,
            last_event_id: last_event_id.or(self.facts.last_event_id),
        };
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = (entry.dialect.endpoint_headers)(&self.headers, &forwarding);
        request
    }

    /// Records how many attempts may have run so far; the tokens of a request that may have run stay charged.
    pub(crate) fn note_runs(&self, runs: u32) {
        self.request_log.runs.set(runs);
        self.charge.set_may_have_run(runs > 0);
    }

    pub(crate) fn prompt_tokens(&self) -> u32 {
        let tokens = self.facts.prompt_tokens.unwrap_or(0);
        u32::try_from(tokens).unwrap_or(u32::MAX / 4)
    }

    /// Why the request must not be sent at present; `None` if it may be.
    pub(crate) fn block(&self, entry: &Entry) -> Option<Block> {
        let block = entry.poison.borrow().block(&self.content);
        // A trial ends with the next crash.
        block.filter(|block| self.trial.is_none() || block.is_in_force(Moment::now()))
    }

    /// Stage of the endpoints that answer the caller.
    pub(crate) fn stage(&self) -> Stage {
        if self.service_facts.engine.is_some() {
            Stage::Decode
        } else {
            Stage::Whole
        }
    }

    /// Request id for logs.
    pub(crate) fn id(&self) -> &str {
        self.facts.request_id.as_deref().unwrap_or("none")
    }
}

/// Answers one request.
pub(crate) async fn answer(entry: Rc<Entry>, request: Request<RequestBody>) -> Response<BoxedBody> {
    let arrived_at = Moment::now();
    let (parts, body) = request.into_parts();
    let facts = (entry.dialect.request_facts)(&parts);
    let id = facts.request_id.as_deref().unwrap_or("none");
    let request_log = Rc::new(RequestLog::new(&entry, id, arrived_at));
    let serving = pin!(serve(&entry, parts, body, facts, &request_log));
    let ending = pin!(entry.ending.called());
    let answered = match future::select(serving, ending).await {
        Either::Left((answered, _)) => answered,
        // The process ends before the answer of the endpoint.
        Either::Right(_) if request_log.runs.get() > 0 => {
            Err(Refusal::may_have_run(RequestEnd::Stopping))
        }
        Either::Right(_) => Err(Refusal::not_run(RequestEnd::Stopping, Duration::ZERO)),
    };
    let is_refused = answered.is_err();
    let mut response = answered.unwrap_or_else(|refusal| {
        request_log.end(refusal.status.as_u16(), refusal.reason, 0);
        refusal.response()
    });
    // Close the connection of a refused caller: it retries over another one, and an idle one only costs memory.
    if is_refused || entry.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn serve(
    entry: &Rc<Entry>,
    parts: http::request::Parts,
    mut body: RequestBody,
    facts: RequestFacts,
    request_log: &Rc<RequestLog>,
) -> Result<Response<BoxedBody>, Refusal> {
    let active = entry.begin_request();
    let received = match admit_head(entry, &parts, &facts, request_log) {
        Ok(head) => receive_body(entry, &mut body, &parts, &facts, head, request_log).await,
        Err(refusal) => Err(refusal),
    };
    let (head, received) = match received {
        Ok(received) => received,
        Err(refusal) => {
            request_body::discard(entry, body, &parts.headers);
            return Err(refusal);
        }
    };
    drop(body);
    let HeadFacts {
        configuration,
        route,
        team,
    } = head;
    let ReceivedBody { body, memory } = received;
    let content = Rc::new(Content {
        fingerprint: fingerprint(&parts.uri, &facts, &body),
        shared_parts: facts.shared_parts.clone(),
    });
    let now = Moment::now();
    check_harmless(entry, &content)?;
    let service = route.service(entry.random()).cloned();
    let service = service
        .ok_or_else(|| Refusal::not_run(RequestEnd::RouteWithoutService, TRANSIENT_RETRY_AFTER))?;
    if configuration.unreadable.services.contains(&service) {
        let reason = RequestEnd::ConfigurationPartUnreadable;
        return Err(Refusal::not_run(reason, TRANSIENT_RETRY_AFTER));
    }
    let key = facts.key.clone().unwrap_or_default();
    let homes = RequestHomes::new(Rc::clone(&route), team.clone().map(|team| (key, team)));
    check_open(entry, &configuration, &service, &homes)?;
    entry.retries.borrow_mut().count_request(&service, now);
    let charging = Charge::take(entry, &facts, &route, team.clone(), request_log);
    let charge = charging.await?;
    RequestLog::add_elapsed(&request_log.quota_wait, now);
    // The key may have been withdrawn while the request waited for its body or for its team's tokens.
    check_keys_fresh(entry, &route, &configuration)?;
    let now = Moment::now();
    let trial = entry.try_blocked(&content, now);
    let trial = trial.map_err(|block| refuse_harmful(&block, now))?;
    let service_facts = configuration.services.get(&service).cloned();
    let admitted = Admitted {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        charge,
        ends_at: request_log.arrived_at + route.time_limit(facts.deadline),
        start_by: request_log.arrived_at + route.start_within(facts.deadline),
        arrived_at: request_log.arrived_at,
        facts,
        route,
        service,
        service_facts: service_facts.unwrap_or(Service {
            engine: None,
            cold: None,
        }),
        team,
        content,
        homes,
        request_log: Rc::clone(request_log),
        trial,
        _memory: memory,
        _active: active,
    };
    match admitted.route.kind {
        RouteKind::Stream { .. } => stream::serve(entry, admitted).await,
        RouteKind::Idempotent | RouteKind::NonIdempotent => plain::serve(entry, admitted).await,
    }
}

/// Refuses a request that evacuations or its homes keep from all endpoints, before its team is charged.
fn check_open(
    entry: &Entry,
    configuration: &Configuration,
    service: &ServiceName,
    homes: &RequestHomes,
) -> Result<(), Refusal> {
    let engine = configuration
        .services
        .get(service)
        .and_then(|facts| facts.engine);
    let stage = engine.map_or(Stage::Whole, |_| Stage::Decode);
    entry
        .closure(service, stage, homes)
        .map_or(Ok(()), |closure| {
            let (reason, retry_after) = closed(closure);
            Err(Refusal::not_run(reason, retry_after))
        })
}

/// Receives the body of a request whose head was admitted.
async fn receive_body(
    entry: &Rc<Entry>,
    body: &mut RequestBody,
    parts: &http::request::Parts,
    facts: &RequestFacts,
    head: HeadFacts,
    request_log: &RequestLog,
) -> Result<(HeadFacts, ReceivedBody), Refusal> {
    let ends_at = request_log.arrived_at + head.route.time_limit(facts.deadline);
    let limits = &head.configuration.limits;
    let received = request_body::receive(entry, body, parts, limits, ends_at).await;
    request_log.note_team(head.team.as_deref());
    match received {
        Ok(received) => Ok((head, received)),
        Err(BodyFault::NoMemory) => Err(Refusal::not_run(
            RequestEnd::BodiesFillMemory,
            TRANSIENT_RETRY_AFTER,
        )),
        Err(BodyFault::Stalled) => Err(Refusal::caller_error(
            StatusCode::REQUEST_TIMEOUT,
            RequestEnd::BodyStalled,
        )),
        Err(BodyFault::TooLargeOrBroken) => Err(refuse_by_configuration(
            entry,
            StatusCode::PAYLOAD_TOO_LARGE,
            RequestEnd::BodyTooLargeOrBroken,
        )),
    }
}

/// Refuses a request with content that crashes endpoints, unless it may be tried.
fn check_harmless(entry: &Entry, content: &Content) -> Result<(), Refusal> {
    let now = Moment::now();
    let block = entry.refusing_block(content, now);
    block.map_or(Ok(()), |block| Err(refuse_harmful(&block, now)))
}

fn refuse_harmful(block: &Block, now: Moment) -> Refusal {
    Refusal::not_run(RequestEnd::CrashesEndpoints, retry_after(block, now))
}

/// Hash of what stays the same when a caller sends a request again: path, key and body.
fn fingerprint(uri: &Uri, facts: &RequestFacts, body: &Blocks) -> Fingerprint {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let key = facts.key.as_deref().unwrap_or_default();
    let mut hash = Xxh3::new();
    for part in [path.as_bytes(), key.as_bytes()] {
        hash.update(&part.len().to_le_bytes());
        hash.update(part);
    }
    hash.update(&body.len().to_le_bytes());
    for block in body.iter() {
        hash.update(block);
    }
    Fingerprint(hash.digest())
}

/// What admission learns from the head alone.
struct HeadFacts {
    configuration: Rc<Configuration>,
    route: Rc<Route>,
    /// Team that the key belongs to.
    team: Option<Rc<Team>>,
}

fn admit_head(
    entry: &Entry,
    parts: &http::request::Parts,
    facts: &RequestFacts,
    request_log: &RequestLog,
) -> Result<HeadFacts, Refusal> {
    if facts.has_two_lengths {
        return Err(Refusal::caller_error(
            StatusCode::BAD_REQUEST,
            RequestEnd::TwoLengths,
        ));
    }
    let registry = entry.registry.borrow();
    // Before the evacuations have been listed once, any data centre may be evacuated.
    let configuration = registry.configuration().cloned();
    let configuration = configuration.filter(|_| registry.evacuations.is_listed());
    let configuration = configuration.ok_or_else(|| {
        Refusal::not_run(RequestEnd::NoConfiguration, entry.retry_elsewhere_after())
    })?;
    if head_bytes(parts) > configuration.limits.max_head_bytes {
        drop(registry);
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(refuse_by_configuration(
            entry,
            status,
            RequestEnd::HeadTooLarge,
        ));
    }
    let route = configuration
        .routes
        .find(&facts.host, parts.uri.path())
        .cloned();
    drop(registry);
    let Some(route) = route else {
        request_log.configuration_version.set(configuration.version);
        if configuration.unreadable.routes > 0 {
            let reason = RequestEnd::ConfigurationPartUnreadable;
            return Err(Refusal::not_run(reason, TRANSIENT_RETRY_AFTER));
        }
        return Err(refuse_by_configuration(
            entry,
            StatusCode::NOT_FOUND,
            RequestEnd::NoRoute,
        ));
    };
    request_log.note_route(&configuration, &route);
    if entry.is_configuration_overdue(Moment::now()) {
        let retry_after = entry.retry_elsewhere_after();
        return Err(Refusal::not_run(
            RequestEnd::ConfigurationOutdated,
            retry_after,
        ));
    }
    if entry.is_refusing(route.kind, facts.output_estimate_tokens) {
        return Err(Refusal::not_run(RequestEnd::Stopping, Duration::ZERO));
    }
    if route.is_open || !configuration.has_teams {
        return Ok(HeadFacts {
            configuration,
            route,
            team: None,
        });
    }
    check_keys_fresh(entry, &route, &configuration)?;
    let key = facts.key.as_deref().unwrap_or_default();
    match configuration.keys.get(key).cloned() {
        Some(team) => Ok(HeadFacts {
            configuration,
            route,
            team: Some(team),
        }),
        None if configuration.unreadable.teams > 0 => Err(Refusal::not_run(
            RequestEnd::ConfigurationPartUnreadable,
            TRANSIENT_RETRY_AFTER,
        )),
        None => Err(refuse_by_configuration(
            entry,
            StatusCode::UNAUTHORIZED,
            RequestEnd::UnknownKey,
        )),
    }
}

/// Refuses a request that the configuration in force doesn't allow. While a newer one may allow it, that is no fault of the
/// caller.
fn refuse_by_configuration(entry: &Entry, status: StatusCode, reason: RequestEnd) -> Refusal {
    if entry.may_be_outdated(Moment::now()) {
        Refusal::not_run(RequestEnd::ConfigurationOutdated, TRANSIENT_RETRY_AFTER)
    } else {
        Refusal::caller_error(status, reason)
    }
}

/// Size of a head as received, each field with its separators.
fn head_bytes(parts: &http::request::Parts) -> usize {
    const SEPARATOR_BYTES: usize = 4;
    let path = parts
        .uri
        .path_and_query()
        .map_or(1, |path| path.as_str().len());
    let fields = parts.headers.iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + SEPARATOR_BYTES);
    path + fields.sum::<usize>()
}

/// Refuses a request that needs a key unless the configuration was proved to be the newest within the bound for
/// withdrawn keys.
fn check_keys_fresh(
    entry: &Entry,
    route: &Route,
    configuration: &Configuration,
) -> Result<(), Refusal> {
    let key_withdrawal = entry.settings().bounds.key_withdrawal();
    let registry = entry.registry.borrow();
    let is_keyed = configuration.has_teams && !route.is_open;
    if is_keyed && !registry.keys_are_fresh(Moment::now(), key_withdrawal) {
        return Err(Refusal::not_run(
            RequestEnd::KeysNotProved,
            entry.retry_elsewhere_after(),
        ));
    }
    Ok(())
}
