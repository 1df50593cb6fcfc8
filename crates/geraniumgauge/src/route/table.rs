//! Finds the route for a request.

use std::cell;
use std::collections;
use std::rc;

use crate::ids;
use crate::route;

/// The routes of one configuration version, indexed for lookup.
#[derive(Debug)]
pub struct Table {
    version: ids::Generation,
    hosts: collections::HashMap<String, Vec<rc::Rc<Entry>>>,
    services: collections::BTreeMap<ids::Service, route::Service>,
    /// Services that routes to a single upstream use.
    single: collections::HashSet<ids::Service>,
    limits: route::Limits,
    routes: usize,
}

/// A route with state that lasts as long as its configuration version.
#[derive(Debug)]
pub struct Entry {
    /// The route.
    pub route: route::Route,
    /// Distributes the route's requests by weight.
    pub split: cell::RefCell<route::Split>,
}

impl Table {
    /// Creates the lookup table of `config`.
    pub fn new(config: route::Config) -> Self {
        let mut hosts: collections::HashMap<String, Vec<rc::Rc<Entry>>> = Default::default();
        let routes = config.routes.len();
        let targets = config.routes.iter().map(|route| &route.target);
        let single = targets.flat_map(|target| match target {
            route::Target::One(parts) => parts.as_slice(),
            route::Target::Shards(_) => &[],
        });
        let single = single.map(|part| part.service.clone()).collect();
        for route in config.routes {
            let split = cell::RefCell::new(route::Split::of(&route.target));
            let host = route.host.clone();
            let entry = rc::Rc::new(Entry { route, split });
            hosts.entry(host).or_default().push(entry);
        }
        for entries in hosts.values_mut() {
            entries.sort_by_key(|entry| std::cmp::Reverse(entry.route.prefix.len()));
        }
        Self {
            version: config.version,
            hosts,
            services: config.services,
            single,
            limits: config.limits,
            routes,
        }
    }

    /// Returns the route for `host` with the longest prefix of `path`. Ignores
    /// the port and the case of the host, and the query of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&rc::Rc<Entry>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let path = path.split_once('?').map_or(path, |(before, _)| before);
        let entries = match self.hosts.get(host) {
            Some(entries) => entries,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        // Sorted by descending length, so the first match is the longest.
        entries
            .iter()
            .find(|entry| path.starts_with(&entry.route.prefix))
    }

    /// Returns the configuration's version.
    pub fn version(&self) -> ids::Generation {
        self.version
    }

    /// Returns the limits for the requests of callers.
    pub fn limits(&self) -> route::Limits {
        self.limits
    }

    /// Returns whether any route sends requests to a single upstream of
    /// `service`.
    pub fn is_single(&self, service: &ids::Service) -> bool {
        self.single.contains(service)
    }

    /// Returns the limits for calls to `service`.
    pub fn service(&self, service: &ids::Service) -> Option<&route::Service> {
        self.services.get(service)
    }

    /// Returns all routes.
    pub fn entries(&self) -> impl Iterator<Item = &rc::Rc<Entry>> {
        self.hosts.values().flatten()
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes
    }

    /// Returns whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.routes == 0
    }
}
