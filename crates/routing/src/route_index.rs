//! Finds the route and the team of a request.

use std::collections::HashMap;

use hinge_schema::routing::{Route, RouteTable, Service, Target, TeamKeys};

/// A route table with indexes for its lookups.
#[derive(Debug)]
pub struct RouteIndex {
    table: RouteTable,
    /// Indexes into `table.routes`, longest path prefix first.
    by_host: HashMap<Box<str>, Vec<usize>>,
    /// Indexes into `table.teams`.
    by_key: HashMap<Box<str>, usize>,
    /// Indexes into `table.services`.
    by_service: HashMap<Box<str>, usize>,
}

impl RouteIndex {
    /// Builds the indexes of a table.
    #[must_use]
    pub fn new(table: RouteTable) -> Self {
        let mut by_host: HashMap<Box<str>, Vec<usize>> = HashMap::new();
        for (index, route) in table.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            indexes.sort_by_key(|index| std::cmp::Reverse(table.routes[*index].path_prefix.len()));
        }
        let keys = table.teams.iter().enumerate();
        let by_key = keys
            .flat_map(|(index, team)| team.keys.iter().map(move |key| (key.clone(), index)))
            .collect();
        let services = table.services.iter().enumerate();
        let by_service = services
            .map(|(index, service)| (service.name.clone(), index))
            .collect();
        Self {
            table,
            by_host,
            by_key,
            by_service,
        }
    }

    /// Returns the table.
    #[must_use]
    pub fn table(&self) -> &RouteTable {
        &self.table
    }

    /// Returns the route of a request: the one of its host with the longest prefix that matches the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let indexes = match self.by_host.get(host) {
            Some(indexes) => indexes,
            None => self.by_host.get(&*host.to_ascii_lowercase())?,
        };
        let routes = indexes.iter().map(|index| &self.table.routes[*index]);
        routes
            .into_iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns the team that holds a key.
    #[must_use]
    pub fn team(&self, key: &str) -> Option<&TeamKeys> {
        self.by_key.get(key).map(|index| &self.table.teams[*index])
    }

    /// Returns a service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self.by_service.get(name)?;
        Some(&self.table.services[*index])
    }

    /// Returns whether requests of non-public routes need a key.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        !self.table.teams.is_empty()
    }

    /// Returns the target of a route for a random number, which gives each target its weight.
    #[must_use]
    pub fn pick_target(route: &Route, draw: u64) -> Option<&Target> {
        let total: u64 = route
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        let mut remaining = draw.checked_rem(total)?;
        route.targets.iter().find(|target| {
            let weight = u64::from(target.weight);
            let is_picked = remaining < weight;
            remaining = remaining.saturating_sub(weight);
            is_picked
        })
    }
}
