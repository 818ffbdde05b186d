//! Checks a route table before it is accepted.

use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::fmt;

use hinge_schema::routing::{Route, RouteTable};

use crate::homes::DataCenters;

/// The reason why a route table is not valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableError {
    /// A route names a service that the table lacks.
    UnknownService {
        /// Name of the route.
        route: Box<str>,
        /// Name of the service.
        service: Box<str>,
    },
    /// Two routes have the same host and path prefix.
    SameRoute {
        /// Name of the second one.
        route: Box<str>,
    },
    /// The weights of a route add up to zero, or it has no targets.
    NoWeight {
        /// Name of the route.
        route: Box<str>,
    },
    /// A route's timeout is zero.
    NoTimeout {
        /// Name of the route.
        route: Box<str>,
    },
    /// A path prefix does not begin and end with a slash.
    BadPrefix {
        /// Name of the route.
        route: Box<str>,
    },
    /// A route or a team has a home in a region without a data centre.
    UnknownRegion {
        /// Name of the route or team.
        name: Box<str>,
        /// Name of the region.
        region: Box<str>,
    },
    /// Two teams hold the same key.
    SharedKey {
        /// Name of the second team.
        team: Box<str>,
    },
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService { route, service } => {
                write!(
                    f,
                    "route `{route}` names the service `{service}`, which is not listed"
                )
            }
            Self::SameRoute { route } => {
                write!(
                    f,
                    "route `{route}` has the host and path prefix of another route"
                )
            }
            Self::NoWeight { route } => {
                write!(
                    f,
                    "the weights of route `{route}` add up to 0; give one target a weight"
                )
            }
            Self::NoTimeout { route } => write!(f, "the timeout of route `{route}` is 0"),
            Self::BadPrefix { route } => {
                write!(
                    f,
                    "the path prefix of route `{route}` must begin and end with a slash"
                )
            }
            Self::UnknownRegion { name, region } => {
                write!(
                    f,
                    "the allowed regions of `{name}` name `{region}`, which has no data centre"
                )
            }
            Self::SharedKey { team } => write!(f, "a key of team `{team}` is held by another team"),
        }
    }
}

impl Error for TableError {}

/// Checks a route table.
///
/// # Errors
///
/// Returns the first rule that the table breaks.
pub fn check_table(table: &RouteTable) -> Result<(), TableError> {
    let services: BTreeSet<&str> = table
        .services
        .iter()
        .map(|service| &*service.name)
        .collect();
    let mut seen = BTreeSet::new();
    for route in &table.routes {
        check_route(route, &services)?;
        if !seen.insert((&route.host, &route.path_prefix)) {
            return Err(TableError::SameRoute {
                route: route.name.clone(),
            });
        }
    }
    let mut holders: BTreeMap<&str, &str> = BTreeMap::new();
    for team in &table.teams {
        for key in &team.keys {
            let holder = *holders.entry(key).or_insert(&team.name);
            if *holder != *team.name {
                return Err(TableError::SharedKey {
                    team: team.name.clone(),
                });
            }
        }
    }
    Ok(())
}

/// Checks that the homes of a table's routes and teams are regions with data centres.
///
/// # Errors
///
/// Returns the first region that has none. Without known data centres none is checked.
pub fn check_homes(table: &RouteTable, data_centers: &DataCenters) -> Result<(), TableError> {
    if data_centers.is_empty() {
        return Ok(());
    }
    let routes = table.routes.iter();
    let routes = routes.map(|route| (&route.name, &route.allowed_regions));
    let teams = table.teams.iter();
    let teams = teams.map(|team| (&team.name, &team.allowed_regions));
    for (name, regions) in routes.chain(teams) {
        if let Some(region) = regions
            .iter()
            .find(|region| !data_centers.has_region(region))
        {
            return Err(TableError::UnknownRegion {
                name: name.clone(),
                region: region.clone(),
            });
        }
    }
    Ok(())
}

fn check_route(route: &Route, services: &BTreeSet<&str>) -> Result<(), TableError> {
    let name = || route.name.clone();
    if let Some(target) = route
        .targets
        .iter()
        .find(|target| !services.contains(&*target.service))
    {
        return Err(TableError::UnknownService {
            route: name(),
            service: target.service.clone(),
        });
    }
    if route.targets.iter().all(|target| target.weight == 0) {
        return Err(TableError::NoWeight { route: name() });
    }
    if route.timeout_ms == 0 {
        return Err(TableError::NoTimeout { route: name() });
    }
    let prefix = &route.path_prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        return Err(TableError::BadPrefix { route: name() });
    }
    Ok(())
}
