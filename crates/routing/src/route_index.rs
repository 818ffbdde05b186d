//! Finds the route and the team of a request.

use std::collections::HashMap;

use hinge_schema::routing::{Route, RouteTable, Service, Target, TeamKeys};

/// Holds a route table with its indexes.
#[derive(Debug)]
pub struct RouteIndex {
    table: RouteTable,
    /// Places in `table.routes`, longest prefix first.
    by_host: HashMap<Box<str>, Vec<usize>>,
    /// Places in `table.teams`.
    by_key: HashMap<Box<str>, usize>,
    /// Places in `table.services`.
    by_service: HashMap<Box<str>, usize>,
}

impl RouteIndex {
    /// Builds the indexes of a table.
    #[must_use]
    pub fn new(table: RouteTable) -> Self {
        let mut by_host: HashMap<Box<str>, Vec<usize>> = HashMap::new();
        for (place, route) in table.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(place);
        }
        for places in by_host.values_mut() {
            places.sort_by_key(|place| std::cmp::Reverse(table.routes[*place].path_prefix.len()));
        }
        let keys = table.teams.iter().enumerate();
        let by_key = keys
            .flat_map(|(place, team)| team.keys.iter().map(move |key| (key.clone(), place)))
            .collect();
        let services = table.services.iter().enumerate();
        let by_service = services
            .map(|(place, service)| (service.name.clone(), place))
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

    /// Returns the route of a request: of its host's routes, the one with the longest prefix that begins the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let places = match self.by_host.get(host) {
            Some(places) => places,
            None => self.by_host.get(&*host.to_ascii_lowercase())?,
        };
        let routes = places.iter().map(|place| &self.table.routes[*place]);
        routes
            .into_iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns the team that holds a key.
    #[must_use]
    pub fn team(&self, key: &str) -> Option<&TeamKeys> {
        self.by_key.get(key).map(|place| &self.table.teams[*place])
    }

    /// Returns a service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let place = self.by_service.get(name)?;
        Some(&self.table.services[*place])
    }

    /// Returns whether requests of non-public routes need a key.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        !self.table.teams.is_empty()
    }

    /// Returns the target of a route for a draw; draws that are spread evenly give each target its share.
    #[must_use]
    pub fn pick_target(route: &Route, draw: u64) -> Option<&Target> {
        let total: u64 = route
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        let mut rest = draw.checked_rem(total)?;
        route.targets.iter().find(|target| {
            let weight = u64::from(target.weight);
            let is_hit = rest < weight;
            rest = rest.saturating_sub(weight);
            is_hit
        })
    }
}
