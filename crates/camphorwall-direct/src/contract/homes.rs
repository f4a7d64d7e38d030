//! Regions in which a route's or a team's requests may be served.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use serde::{Deserialize, Serialize};

use crate::{
    configuration::{Configuration, Route, Team},
    dialect::StoreRevision,
    endpoints::registry::Registry,
    names::RegionName,
};

/// Maximum number of faults of each kind that are reported of one configuration.
const MAX_FAULTS: usize = 8;

/// Regions that are allowed; any region without a list.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AllowedRegions(Option<BTreeSet<RegionName>>);

impl AllowedRegions {
    /// Any region.
    #[must_use]
    pub const fn any() -> Self {
        Self(None)
    }

    /// Only these regions; none at all if the list is empty.
    pub fn only(regions: impl IntoIterator<Item = RegionName>) -> Self {
        Self(Some(regions.into_iter().collect()))
    }

    /// Whether some regions are not allowed.
    pub(crate) const fn is_restricted(&self) -> bool {
        self.0.is_some()
    }

    /// Whether a region is allowed. One that is not known is only if any is.
    pub(crate) fn permits(&self, region: Option<&RegionName>) -> bool {
        match &self.0 {
            None => true,
            Some(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// The regions that both allow.
    pub(crate) fn intersection(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (Some(first), Some(second)) => Self(Some(first & second)),
            (regions, None) | (None, regions) => Self(regions.clone()),
        }
    }

    /// The regions of the list, if there is one.
    pub(crate) fn listed(&self) -> impl Iterator<Item = &RegionName> {
        self.0.iter().flatten()
    }
}

/// Version and revision of a configuration.
type ConfigurationId = (u64, StoreRevision);

/// Homes of one request, as the newest configuration gives them for its route and team.
pub(crate) struct RequestHomes {
    route: Rc<Route>,
    /// The caller's key and its team, on a route that needs one.
    team: Option<(Box<str>, Rc<Team>)>,
    newest: RefCell<Option<(ConfigurationId, Rc<AllowedRegions>)>>,
    is_restricted: Cell<bool>,
}

impl RequestHomes {
    pub(crate) fn new(route: Rc<Route>, team: Option<(Box<str>, Rc<Team>)>) -> Rc<Self> {
        Rc::new(Self {
            route,
            team,
            newest: RefCell::default(),
            is_restricted: Cell::new(false),
        })
    }

    /// Whether the request had homes when they were last looked at.
    pub(crate) fn was_restricted(&self) -> bool {
        self.is_restricted.get()
    }

    /// Regions in which the request may be served by the configuration in force.
    pub(crate) fn allowed(&self, registry: &Registry) -> Rc<AllowedRegions> {
        let configuration = registry.configuration();
        let version = configuration.map_or(0, |configuration| configuration.version);
        let id = (version, registry.configuration_revision());
        if let Some((known, allowed)) = &*self.newest.borrow()
            && *known == id
        {
            return Rc::clone(allowed);
        }
        let allowed = Rc::new(self.by(configuration.map(|configuration| &**configuration)));
        self.is_restricted.set(allowed.is_restricted());
        self.newest.replace(Some((id, Rc::clone(&allowed))));
        allowed
    }

    /// Regions by a configuration. A route or key that it lacks, or a route that can't be read in it, keeps the homes with
    /// which the request was admitted.
    pub(crate) fn by(&self, configuration: Option<&Configuration>) -> AllowedRegions {
        let newest = configuration.and_then(|newest| {
            let Route {
                host, path_prefix, ..
            } = &*self.route;
            newest.routes.get(host, path_prefix)
        });
        let newest = newest.filter(|route| !route.services.is_empty());
        let route = newest.unwrap_or(&self.route);
        let Some((key, admitted)) = &self.team else {
            return route.allowed_regions.clone();
        };
        let newest = configuration.and_then(|newest| newest.keys.get(key));
        let team = newest.unwrap_or(admitted);
        route.allowed_regions.intersection(&team.allowed_regions)
    }
}

/// What is wrong with the homes of a configuration, the first faults of each kind.
#[derive(Debug, Default, Eq, PartialEq)]
pub(crate) struct HomesFaults {
    /// Regions that no data centre is in, with a route or team that names each.
    pub(crate) unknown: Vec<(RegionName, String)>,
    /// A route and a team without a region in common, once for each pair of lists.
    pub(crate) disjoint: Vec<(String, String)>,
}

/// Checks the homes of all routes and teams.
pub(crate) fn check_homes(
    configuration: &Configuration,
    is_known: impl Fn(&RegionName) -> bool,
) -> HomesFaults {
    let mut faults = HomesFaults::default();
    let routes = configuration.routes.iter();
    let homed_routes: BTreeMap<_, _> = routes
        .filter(|route| route.allowed_regions.is_restricted())
        .map(|route| ((&route.allowed_regions, route.is_open), &*route.name))
        .collect();
    let teams = configuration.keys.values();
    let homed_teams: BTreeMap<_, _> = teams
        .filter(|team| team.allowed_regions.is_restricted())
        .map(|team| (&team.allowed_regions, &team.name))
        .collect();
    let by_route = homed_routes.iter();
    let by_route = by_route.map(|((regions, _), name)| (*regions, format!("route {name}")));
    let by_team = homed_teams.iter();
    let by_team = by_team.map(|(regions, name)| (*regions, format!("team {name}")));
    for (regions, holder) in by_route.chain(by_team) {
        for region in regions.listed().filter(|region| !is_known(region)) {
            let is_reported = faults.unknown.iter().any(|(known, _)| known == region);
            if !is_reported && faults.unknown.len() < MAX_FAULTS {
                faults.unknown.push((region.clone(), holder.clone()));
            }
        }
    }
    for ((route_regions, is_open), route) in &homed_routes {
        for (team_regions, team) in &homed_teams {
            let common = route_regions.intersection(team_regions);
            let is_disjoint = !is_open && common.listed().next().is_none();
            if is_disjoint && faults.disjoint.len() < MAX_FAULTS {
                let names = (format!("route {route}"), format!("team {team}"));
                faults.disjoint.push(names);
            }
        }
    }
    faults
}
