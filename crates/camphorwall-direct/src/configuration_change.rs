//! Difference between two configurations, as one entry passes it to another.

use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
};

use serde::{Deserialize, Serialize};

use crate::configuration::{CallerLimits, Configuration, Route, Service, Team, UnreadableParts};
use crate::names::ServiceName;

/// What turns one configuration into another. Routes are sent only if they differ, since there are thousands of them.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct ConfigurationChange {
    version: u64,
    /// Host and prefix of the routes that the new configuration lacks.
    removed_routes: Vec<(Box<str>, Box<str>)>,
    /// Routes that are new or differ.
    routes: Vec<Route>,
    services: Vec<(ServiceName, Service)>,
    has_teams: bool,
    /// Teams with their keys; `None` if they are the same.
    teams: Option<Vec<(Team, Vec<Box<str>>)>>,
    limits: CallerLimits,
    unreadable: UnreadableParts,
}

impl ConfigurationChange {
    /// The change from one configuration to another.
    pub(crate) fn between(base: &Configuration, new: &Configuration) -> Self {
        let is_changed = |route: &&Rc<Route>| {
            let known = base.routes.get(&route.host, &route.path_prefix);
            known.is_none_or(|known| !Rc::ptr_eq(known, route) && known != *route)
        };
        let is_removed =
            |route: &&Rc<Route>| new.routes.get(&route.host, &route.path_prefix).is_none();
        let name = |route: &Rc<Route>| (route.host.clone(), route.path_prefix.clone());
        let routes = new.routes.iter().filter(is_changed);
        let services = new.services.iter();
        Self {
            version: new.version,
            removed_routes: base.routes.iter().filter(is_removed).map(name).collect(),
            routes: routes.map(|route| Route::clone(route)).collect(),
            services: services
                .map(|(name, service)| (name.clone(), service.clone()))
                .collect(),
            has_teams: new.has_teams,
            teams: (base.keys != new.keys).then(|| teams(&new.keys)),
            limits: new.limits,
            unreadable: new.unreadable.clone(),
        }
    }

    /// Applies the change to the configuration that it starts from.
    pub(crate) fn apply(self, base: &Configuration) -> Configuration {
        let removed = self.removed_routes.iter();
        let removed: HashSet<(&str, &str)> =
            removed.map(|(host, prefix)| (&**host, &**prefix)).collect();
        let is_kept = |route: &&Rc<Route>| !removed.contains(&(&*route.host, &*route.path_prefix));
        let kept = base.routes.iter().filter(is_kept).cloned();
        let routes = kept.chain(self.routes.into_iter().map(Rc::new)).collect();
        Configuration {
            version: self.version,
            routes,
            services: self.services.into_iter().collect(),
            has_teams: self.has_teams,
            keys: self.teams.map_or_else(|| base.keys.clone(), keys),
            limits: self.limits,
            unreadable: self.unreadable,
        }
    }
}

/// Teams with their keys.
fn teams(keys: &HashMap<Box<str>, Rc<Team>>) -> Vec<(Team, Vec<Box<str>>)> {
    let mut teams: HashMap<*const Team, (Team, Vec<Box<str>>)> = HashMap::new();
    for (key, team) in keys {
        let empty = || (Team::clone(team), Vec::new());
        let (_, keys) = teams.entry(Rc::as_ptr(team)).or_insert_with(empty);
        keys.push(key.clone());
    }
    teams.into_values().collect()
}

/// Team of each key.
fn keys(teams: Vec<(Team, Vec<Box<str>>)>) -> HashMap<Box<str>, Rc<Team>> {
    let mut all = HashMap::new();
    for (team, keys) in teams {
        let team = Rc::new(team);
        all.extend(keys.into_iter().map(|key| (key, Rc::clone(&team))));
    }
    all
}
