//! Checks a configuration before it is published.

use std::{
    collections::{BTreeMap, HashSet},
    fmt,
    rc::Rc,
};

use crate::configuration::{CallerLimits, Configuration, Route, Team};
use crate::names::{ServiceName, TeamName};

/// Tokens of the smallest request that states its counts: one of the prompt and one of the answer.
const SMALLEST_REQUEST_TOKENS: f64 = 2.0;

/// A configuration together with the entries of its document that it doesn't keep, because later ones replace them.
#[derive(Debug, Default)]
pub struct ConfigurationDocument {
    /// The configuration as an entry puts it in force.
    pub configuration: Configuration,
    /// All routes that could be read, in the published order.
    pub routes: Vec<Rc<Route>>,
    /// All teams that could be read with their keys, in the published order.
    pub teams: Vec<(Rc<Team>, Vec<Box<str>>)>,
    /// What is wrong with the parts that could not be read, each with its place. Contains no keys.
    pub errors: Vec<String>,
}

/// Whether a finding keeps a document from being published.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// Requests would be refused, or served other than the document says.
    Error,
    /// The document is accepted but hardly meant.
    Warning,
}

/// A fault of a configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationFinding {
    /// A part can't be read.
    Unreadable(String),
    /// Entries ignore the document, since its version is not above the one in force.
    OldVersion {
        /// Version of the document.
        version: u64,
        /// Version in force.
        in_force: u64,
    },
    /// A route gets no requests, since a later one has the same host and path prefix.
    ShadowedRoute {
        /// The route without requests.
        route: RouteLabel,
        /// Name of the route that gets them.
        by: Box<str>,
    },
    /// A route gets no requests, since its path prefix has no slash at one of its ends.
    UnmatchablePrefix(RouteLabel),
    /// A route names no service.
    NoService(RouteLabel),
    /// All services of a route have weight 0; entries send its requests to the last one.
    NoWeight(RouteLabel),
    /// A route's timeout is 0.
    ZeroTimeout(RouteLabel),
    /// A route's target is 0, so that no answer meets it.
    ZeroTarget(RouteLabel),
    /// A route's target is longer than its timeout.
    TargetAboveTimeout {
        /// The route.
        route: RouteLabel,
        /// Its target, in milliseconds.
        target_ms: u64,
        /// Its timeout, in milliseconds.
        timeout_ms: u64,
    },
    /// A route sends requests to a service that the document doesn't have.
    UnknownService {
        /// The route.
        route: RouteLabel,
        /// The service.
        service: ServiceName,
    },
    /// A service gets no requests, since no route sends any there.
    UnusedService(ServiceName),
    /// The rate of cold endpoints is limited, but no time says how long they are cold after a start.
    ColdRateWithoutTime(ServiceName),
    /// Keys of a team belong to a later team too, which gets their requests.
    RepeatedKeys {
        /// The team whose keys don't count.
        team: TeamName,
        /// The team that they count for.
        by: TeamName,
        /// Number of keys.
        count: usize,
    },
    /// The burst of a team with a rate doesn't cover the smallest request.
    BurstBelowRequest {
        /// The team.
        team: TeamName,
        /// Its burst, in tokens.
        burst_tokens: f64,
        /// Cost of the smallest request, in tokens.
        cost_tokens: f64,
    },
    /// A route and a team have no allowed region in common, so that all requests of the team on the route are refused.
    DisjointRegions {
        /// The route.
        route: RouteLabel,
        /// The team.
        team: TeamName,
    },
    /// The maximum size of a request's body is below that of its head.
    BodyBelowHead(CallerLimits),
}

/// What identifies a route in a finding.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteLabel {
    name: Box<str>,
    host: Box<str>,
    path_prefix: Box<str>,
}

impl RouteLabel {
    fn new(route: &Route) -> Self {
        Self {
            name: route.name.clone(),
            host: route.host.clone(),
            path_prefix: route.path_prefix.clone(),
        }
    }
}

impl fmt::Display for RouteLabel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "route {:?} (host {:?}, path {:?})",
            self.name, self.host, self.path_prefix
        )
    }
}

impl ConfigurationFinding {
    /// Whether a document with this finding may be published.
    #[must_use]
    pub fn severity(&self) -> Severity {
        match self {
            Self::Unreadable(_)
            | Self::OldVersion { .. }
            | Self::ShadowedRoute { .. }
            | Self::UnmatchablePrefix(_)
            | Self::NoService(_)
            | Self::NoWeight(_)
            | Self::ZeroTimeout(_)
            | Self::RepeatedKeys { .. }
            | Self::DisjointRegions { .. } => Severity::Error,
            Self::ZeroTarget(_)
            | Self::TargetAboveTimeout { .. }
            | Self::UnknownService { .. }
            | Self::UnusedService(_)
            | Self::ColdRateWithoutTime(_)
            | Self::BurstBelowRequest { .. }
            | Self::BodyBelowHead(_) => Severity::Warning,
        }
    }
}

impl fmt::Display for ConfigurationFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(error) => f.write_str(error),
            Self::OldVersion { version, in_force } => write!(
                f,
                "version {version} is not above {in_force}, which is in force; give it a higher one"
            ),
            Self::ShadowedRoute { route, by } => write!(
                f,
                "{route} gets no requests, since the later route {by:?} has its host and path; remove one"
            ),
            Self::UnmatchablePrefix(route) => write!(
                f,
                "{route} gets no requests; write its path with a slash at both ends"
            ),
            Self::NoService(route) => {
                write!(f, "{route} has no service; name one or remove the route")
            }
            Self::NoWeight(route) => write!(
                f,
                "{route} has no service of positive weight, and the last one gets all requests; give one a weight"
            ),
            Self::ZeroTimeout(route) => write!(f, "{route} has a timeout of 0; give a time"),
            Self::ZeroTarget(route) => write!(f, "{route} has a target of 0; give a time"),
            Self::TargetAboveTimeout {
                route,
                target_ms,
                timeout_ms,
            } => write!(
                f,
                "{route} has a target of {target_ms} ms above its timeout of {timeout_ms} ms; lower the target"
            ),
            Self::UnknownService { route, service } => write!(
                f,
                "{route} sends requests to service {service}, which the document lacks; add or remove it"
            ),
            Self::UnusedService(service) => write!(
                f,
                "service {service} gets no requests from any route; add one or remove the service"
            ),
            Self::ColdRateWithoutTime(service) => write!(
                f,
                "service {service} limits the rate of cold endpoints but gives no time for which they are cold after a start; add it"
            ),
            Self::RepeatedKeys { team, by, count } => write!(
                f,
                "team {team} has keys that count for team {by}, which has them too (keys: {count}); remove them from one"
            ),
            Self::BurstBelowRequest {
                team,
                burst_tokens,
                cost_tokens,
            } => write!(
                f,
                "team {team} has a rate, but its burst of {burst_tokens} is below the {cost_tokens} tokens of its smallest request; raise the burst"
            ),
            Self::DisjointRegions { route, team } => write!(
                f,
                "{route} and team {team} have no allowed region in common; add one to both lists"
            ),
            Self::BodyBelowHead(limits) => write!(
                f,
                "limits: a body may have {} bytes, fewer than the {} of a head; raise the limit of bodies",
                limits.max_body_bytes, limits.max_head_bytes
            ),
        }
    }
}

/// All findings about a document.
#[must_use]
pub fn check_configuration(
    document: &ConfigurationDocument,
    in_force: Option<&ConfigurationDocument>,
) -> Vec<ConfigurationFinding> {
    let errors = document.errors.iter().cloned();
    let mut findings: Vec<_> = errors.map(ConfigurationFinding::Unreadable).collect();
    let version = document.configuration.version;
    let in_force = in_force.map(|document| document.configuration.version);
    if let Some(in_force) = in_force.filter(|in_force| version <= *in_force) {
        findings.push(ConfigurationFinding::OldVersion { version, in_force });
    }
    findings.extend(unmatchable_routes(document));
    findings.extend(document.routes.iter().flat_map(|route| check_route(route)));
    findings.extend(check_services(document));
    findings.extend(repeated_keys(document));
    findings.extend(document.teams.iter().filter_map(|(team, _)| burst(team)));
    findings.extend(disjoint_regions(document));
    let limits = document.configuration.limits;
    if limits.max_body_bytes < limits.max_head_bytes {
        findings.push(ConfigurationFinding::BodyBelowHead(limits));
    }
    findings
}

/// Routes that no request can match.
fn unmatchable_routes(document: &ConfigurationDocument) -> Vec<ConfigurationFinding> {
    let mut findings = Vec::new();
    for route in &document.routes {
        let in_force = document
            .configuration
            .routes
            .get(&route.host, &route.path_prefix);
        if let Some(by) = in_force.filter(|in_force| !Rc::ptr_eq(in_force, route)) {
            findings.push(ConfigurationFinding::ShadowedRoute {
                route: RouteLabel::new(route),
                by: by.name.clone(),
            });
        } else if !(route.path_prefix.starts_with('/') && route.path_prefix.ends_with('/')) {
            let label = RouteLabel::new(route);
            findings.push(ConfigurationFinding::UnmatchablePrefix(label));
        }
    }
    findings
}

/// Limits of a route that contradict each other.
fn check_route(route: &Route) -> Vec<ConfigurationFinding> {
    let label = || RouteLabel::new(route);
    let mut findings = Vec::new();
    if route.services.is_empty() {
        findings.push(ConfigurationFinding::NoService(label()));
    } else if route.services.iter().all(|(_, weight)| *weight == 0) {
        findings.push(ConfigurationFinding::NoWeight(label()));
    }
    if route.timeout_ms == 0 {
        findings.push(ConfigurationFinding::ZeroTimeout(label()));
    } else if route.target_ms == 0 {
        findings.push(ConfigurationFinding::ZeroTarget(label()));
    } else if route.target_ms > route.timeout_ms {
        findings.push(ConfigurationFinding::TargetAboveTimeout {
            route: label(),
            target_ms: route.target_ms,
            timeout_ms: route.timeout_ms,
        });
    }
    findings
}

/// Services without routes, routes without their services, and cold limits that contradict each other.
fn check_services(document: &ConfigurationDocument) -> Vec<ConfigurationFinding> {
    let Configuration {
        services,
        unreadable,
        routes,
        ..
    } = &document.configuration;
    let mut findings = Vec::new();
    for route in &document.routes {
        for (service, _) in &route.services {
            if !services.contains_key(service) && !unreadable.services.contains(service) {
                findings.push(ConfigurationFinding::UnknownService {
                    route: RouteLabel::new(route),
                    service: service.clone(),
                });
            }
        }
    }
    let in_force = routes.iter().flat_map(|route| &route.services);
    let used: HashSet<&ServiceName> = in_force.map(|(service, _)| service).collect();
    let sorted: BTreeMap<_, _> = services.iter().collect();
    for (name, service) in sorted {
        if !used.contains(name) {
            findings.push(ConfigurationFinding::UnusedService(name.clone()));
        }
        if service.cold.is_some_and(|cold| cold.start_ms == 0) {
            findings.push(ConfigurationFinding::ColdRateWithoutTime(name.clone()));
        }
    }
    findings
}

/// Routes and teams without a common region. A list of one alone that is empty counts too.
fn disjoint_regions(document: &ConfigurationDocument) -> Vec<ConfigurationFinding> {
    let keyed = document.routes.iter().filter(|route| !route.is_open);
    let pairs = keyed.flat_map(|route| document.teams.iter().map(move |(team, _)| (route, team)));
    let disjoint = pairs.filter(|(route, team)| {
        let common = route.allowed_regions.intersection(&team.allowed_regions);
        common.is_restricted() && common.listed().next().is_none()
    });
    let finding = |(route, team): (&Rc<Route>, &Rc<Team>)| ConfigurationFinding::DisjointRegions {
        route: RouteLabel::new(route),
        team: team.name.clone(),
    };
    disjoint.map(finding).collect()
}

/// Teams whose keys count for a later team.
fn repeated_keys(document: &ConfigurationDocument) -> Vec<ConfigurationFinding> {
    let mut findings = Vec::new();
    for (team, keys) in &document.teams {
        let mut counts: BTreeMap<&TeamName, usize> = BTreeMap::new();
        for key in keys.iter().collect::<HashSet<_>>() {
            let by = document.configuration.keys.get(key);
            if let Some(by) = by.filter(|by| *by != team) {
                *counts.entry(&by.name).or_default() += 1;
            }
        }
        findings.extend(
            counts
                .into_iter()
                .map(|(by, count)| ConfigurationFinding::RepeatedKeys {
                    team: team.name.clone(),
                    by: by.clone(),
                    count,
                }),
        );
    }
    findings
}

/// A burst that doesn't cover the smallest request. Each request of the team then waits until the bucket is full, so that
/// even two in a row are never served at once.
fn burst(team: &Team) -> Option<ConfigurationFinding> {
    let cost_tokens = SMALLEST_REQUEST_TOKENS.max(team.default_cost);
    (team.counts_tokens && team.rate_per_s.is_some() && team.burst < cost_tokens).then(|| {
        ConfigurationFinding::BurstBelowRequest {
            team: team.name.clone(),
            burst_tokens: team.burst,
            cost_tokens,
        }
    })
}

/// Names of what two configurations have differently, sorted.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// What only the newer configuration has.
    pub added: Vec<String>,
    /// What only the older configuration has.
    pub removed: Vec<String>,
    /// What both have, with different contents.
    pub changed: Vec<String>,
}

/// Numbers of keys that differ between two configurations.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KeyChanges {
    /// Keys that only the newer configuration has.
    pub added: usize,
    /// Keys that only the older configuration has.
    pub removed: usize,
    /// Keys that belong to a team with another name.
    pub moved: usize,
}

/// Differences of a configuration from the one in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigurationDifferences {
    /// Routes, by host and path prefix.
    pub routes: Changes,
    /// Services, by name.
    pub services: Changes,
    /// Teams, by name.
    pub teams: Changes,
    /// Callers' keys.
    pub keys: KeyChanges,
    /// Whether callers need keys, before and after, if it differs.
    pub has_teams: Option<(bool, bool)>,
    /// Limits of callers' requests, before and after, if they differ.
    pub limits: Option<(CallerLimits, CallerLimits)>,
}

/// Compares a document with the one in force.
#[must_use]
pub fn compare_configurations(
    in_force: &ConfigurationDocument,
    document: &ConfigurationDocument,
) -> ConfigurationDifferences {
    let (old, new) = (&in_force.configuration, &document.configuration);
    let routes = |configuration: &Configuration| -> BTreeMap<String, Rc<Route>> {
        let name = |route: &Route| format!("{:?} {:?}", route.host, route.path_prefix);
        let routes = configuration.routes.iter();
        routes
            .map(|route| (name(route), Rc::clone(route)))
            .collect()
    };
    let services = |configuration: &Configuration| -> BTreeMap<String, _> {
        let services = configuration.services.iter();
        let named = services.map(|(name, service)| (name.to_string(), service.clone()));
        named.collect()
    };
    let teams = |document: &ConfigurationDocument| -> BTreeMap<String, Rc<Team>> {
        let teams = document.teams.iter();
        let named = teams.map(|(team, _)| (team.name.to_string(), Rc::clone(team)));
        named.collect()
    };
    ConfigurationDifferences {
        routes: changes(&routes(old), &routes(new)),
        services: changes(&services(old), &services(new)),
        teams: changes(&teams(in_force), &teams(document)),
        keys: key_changes(old, new),
        has_teams: (old.has_teams != new.has_teams).then_some((old.has_teams, new.has_teams)),
        limits: (old.limits != new.limits).then_some((old.limits, new.limits)),
    }
}

fn changes<V: PartialEq>(old: &BTreeMap<String, V>, new: &BTreeMap<String, V>) -> Changes {
    let only_in = |map: &BTreeMap<String, V>, other: &BTreeMap<String, V>| {
        let names = map.keys().filter(|name| !other.contains_key(*name));
        names.cloned().collect()
    };
    let is_changed =
        |(name, value): &(&String, &V)| old.get(*name).is_some_and(|old| old != *value);
    let changed = new.iter().filter(is_changed);
    Changes {
        added: only_in(new, old),
        removed: only_in(old, new),
        changed: changed.map(|(name, _)| name.clone()).collect(),
    }
}

fn key_changes(old: &Configuration, new: &Configuration) -> KeyChanges {
    let mut counts = KeyChanges::default();
    for (key, team) in &new.keys {
        match old.keys.get(key) {
            None => counts.added += 1,
            Some(known) if known.name != team.name => counts.moved += 1,
            Some(_) => {}
        }
    }
    let removed = old.keys.keys().filter(|key| !new.keys.contains_key(*key));
    counts.removed = removed.count();
    counts
}

impl ConfigurationDifferences {
    /// One line for each difference. Contains numbers of keys, but no keys.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        let kinds = [
            ("route", &self.routes),
            ("service", &self.services),
            ("team", &self.teams),
        ];
        let mut lines = Vec::new();
        for (kind, changes) in kinds {
            let verbs = [
                ("added", &changes.added),
                ("removed", &changes.removed),
                ("changed", &changes.changed),
            ];
            for (verb, names) in verbs {
                lines.extend(names.iter().map(|name| format!("{kind} {name} {verb}")));
            }
        }
        let KeyChanges {
            added,
            removed,
            moved,
        } = self.keys;
        if self.keys != KeyChanges::default() {
            lines.push(format!(
                "keys: {added} added, {removed} removed, {moved} moved to another team"
            ));
        }
        if let Some((_, has_teams)) = self.has_teams {
            let need = if has_teams { "need" } else { "no longer need" };
            lines.push(format!("callers {need} keys"));
        }
        if let Some((old, new)) = self.limits {
            lines.push(format!(
                "limits: head {} to {} bytes, body {} to {} bytes",
                old.max_head_bytes, new.max_head_bytes, old.max_body_bytes, new.max_body_bytes
            ));
        }
        lines
    }
}
