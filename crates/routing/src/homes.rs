//! The regions in which a request may be handled.

use std::collections::BTreeMap;

use hinge_schema::routing::RouteTable;
use smallvec::SmallVec;

/// The data centres of the fleet, each with its region.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DataCenters {
    regions: BTreeMap<Box<str>, Box<str>>,
}

impl DataCenters {
    /// Creates a list from the names of the data centres and their regions.
    #[must_use]
    pub fn new(regions: impl IntoIterator<Item = (Box<str>, Box<str>)>) -> Self {
        Self {
            regions: regions.into_iter().collect(),
        }
    }

    /// Returns whether no data centre is known, so that no region can be checked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.regions.is_empty()
    }

    /// Returns the region of a data centre.
    #[must_use]
    pub fn region(&self, data_center: &str) -> Option<&str> {
        self.regions.get(data_center).map(|region| &**region)
    }

    /// Returns whether a data centre is in this region.
    #[must_use]
    pub fn has_region(&self, region: &str) -> bool {
        self.regions.values().any(|known| **known == *region)
    }
}

/// The regions in which a request may be handled: those that both its route and its team allow.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Homes {
    /// `None` for all regions.
    regions: Option<SmallVec<[Box<str>; 2]>>,
}

impl Homes {
    /// Returns the regions that two lists allow; an empty list allows all.
    #[must_use]
    pub fn of(route: &[Box<str>], team: &[Box<str>]) -> Self {
        let regions = match (route.is_empty(), team.is_empty()) {
            (true, true) => None,
            (true, false) => Some(team.iter().cloned().collect()),
            (false, true) => Some(route.iter().cloned().collect()),
            (false, false) => {
                let both = route.iter().filter(|region| team.contains(region));
                Some(both.cloned().collect())
            }
        };
        Self { regions }
    }

    /// Returns whether the request may be handled in a data centre; one of unknown region is allowed to unbound requests only.
    #[must_use]
    pub fn allow(&self, data_centers: &DataCenters, data_center: &str) -> bool {
        let Some(regions) = &self.regions else {
            return true;
        };
        let region = data_centers.region(data_center);
        region.is_some_and(|region| regions.iter().any(|allowed| **allowed == *region))
    }

    /// Returns whether any region is excluded.
    #[must_use]
    pub fn is_bound(&self) -> bool {
        self.regions.is_some()
    }
}

/// Returns whether a route or a team of a table has homes.
#[must_use]
pub fn has_homes(table: &RouteTable) -> bool {
    let routes = table.routes.iter().map(|route| &route.allowed_regions);
    let teams = table.teams.iter().map(|team| &team.allowed_regions);
    routes.chain(teams).any(|regions| !regions.is_empty())
}
