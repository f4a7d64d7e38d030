//! Routes by host and path prefix.

use std::{collections::HashMap, rc::Rc};

use crate::configuration::Route;

/// Routes by host and path prefix. A lookup takes as many steps as the path has segments, however many routes there are.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Routes of each host, sorted by their prefixes.
    hosts: HashMap<Box<str>, Vec<Rc<Route>>>,
}

impl FromIterator<Rc<Route>> for RouteTable {
    /// Of several routes with the same host and prefix, the last one is kept.
    fn from_iter<I: IntoIterator<Item = Rc<Route>>>(routes: I) -> Self {
        let mut hosts: HashMap<Box<str>, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            match hosts.get_mut(&route.host) {
                Some(known) => known.push(route),
                None => {
                    hosts.insert(route.host.clone(), vec![route]);
                }
            }
        }
        for routes in hosts.values_mut() {
            routes.sort_by(|a, b| a.path_prefix.cmp(&b.path_prefix));
            routes.dedup_by(|later, kept| {
                let is_same = later.path_prefix == kept.path_prefix;
                if is_same {
                    std::mem::swap(later, kept);
                }
                is_same
            });
        }
        Self { hosts }
    }
}

impl RouteTable {
    /// The route of a request: of the routes of its host, the one with the longest prefix of its path. Prefixes end with a
    /// slash.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let is_lowercase = !host.bytes().any(|byte| byte.is_ascii_uppercase());
        let routes = if is_lowercase {
            self.hosts.get(host)?
        } else {
            self.hosts.get(host.to_ascii_lowercase().as_str())?
        };
        let slashes = path.rmatch_indices('/');
        let mut prefixes = slashes.map(|(index, _)| &path[..=index]);
        prefixes.find_map(|prefix| find_prefix(routes, prefix))
    }

    /// The route with exactly this host and prefix.
    pub(crate) fn get(&self, host: &str, path_prefix: &str) -> Option<&Rc<Route>> {
        find_prefix(self.hosts.get(host)?, path_prefix)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.hosts.values().flatten()
    }
}

fn find_prefix<'a>(routes: &'a [Rc<Route>], path_prefix: &str) -> Option<&'a Rc<Route>> {
    let found = routes.binary_search_by(|route| (*route.path_prefix).cmp(path_prefix));
    found.ok().map(|index| &routes[index])
}
