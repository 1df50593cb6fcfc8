//! Finds the route of a request.

use std::cell;
use std::collections;
use std::rc;

use crate::ids;
use crate::route;

/// One version's routes, ready for lookups.
#[derive(Debug)]
pub struct Table {
    version: ids::Generation,
    hosts: collections::HashMap<String, Vec<rc::Rc<Entry>>>,
    services: collections::BTreeMap<ids::Service, route::Service>,
    /// Services that routes to a single upstream go to.
    single: collections::HashSet<ids::Service>,
    limits: route::Limits,
    routes: usize,
}

/// A route with the state that lasts as long as its version.
#[derive(Debug)]
pub struct Entry {
    /// The route.
    pub route: route::Route,
    /// Deals the route's requests out by weight.
    pub split: cell::RefCell<route::Split>,
}

impl Table {
    /// The lookup table of `config`.
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

    /// The route for `host` with the longest prefix that begins `path`. A port
    /// behind the host, the host's case and a query behind the path don't count.
    pub fn find(&self, host: &str, path: &str) -> Option<&rc::Rc<Entry>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let path = path.split_once('?').map_or(path, |(before, _)| before);
        let entries = match self.hosts.get(host) {
            Some(entries) => entries,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        // Sorted by falling length: the first that fits is the longest.
        entries
            .iter()
            .find(|entry| path.starts_with(&entry.route.prefix))
    }

    /// The configuration's version.
    pub fn version(&self) -> ids::Generation {
        self.version
    }

    /// What callers may send.
    pub fn limits(&self) -> route::Limits {
        self.limits
    }

    /// Whether a route sends requests to a single upstream of `service`.
    pub fn is_single(&self, service: &ids::Service) -> bool {
        self.single.contains(service)
    }

    /// What holds for calls to `service`.
    pub fn service(&self, service: &ids::Service) -> Option<&route::Service> {
        self.services.get(service)
    }

    /// Every route.
    pub fn entries(&self) -> impl Iterator<Item = &rc::Rc<Entry>> {
        self.hosts.values().flatten()
    }

    /// How many routes there are.
    pub fn len(&self) -> usize {
        self.routes
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes == 0
    }
}
