//! Estimates the memory of a route table.

use hinge_schema::routing::{Route, RouteTable, Service, Target, TeamKeys};

/// Returns the approximate bytes of a route table in memory: its texts, its document and the fixed parts of its entries.
#[must_use]
pub fn table_bytes(table: &RouteTable) -> usize {
    let routes: usize = table.routes.iter().map(route_bytes).sum();
    let teams: usize = table.teams.iter().map(team_bytes).sum();
    let services: usize = table.services.iter().map(service_bytes).sum();
    size_of::<RouteTable>() + routes + teams + services + table.document.len()
}

pub(crate) fn route_bytes(route: &Route) -> usize {
    let targets = route.targets.iter();
    let targets: usize = targets
        .map(|target| size_of::<Target>() + target.service.len())
        .sum();
    size_of::<Route>()
        + route.name.len()
        + route.host.len()
        + route.path_prefix.len()
        + targets
        + texts_bytes(&route.allowed_regions)
}

pub(crate) fn team_bytes(team: &TeamKeys) -> usize {
    size_of::<TeamKeys>()
        + team.name.len()
        + texts_bytes(&team.keys)
        + texts_bytes(&team.allowed_regions)
}

pub(crate) fn service_bytes(service: &Service) -> usize {
    size_of::<Service>() + service.name.len() + service.health_path.len()
}

fn texts_bytes(texts: &[Box<str>]) -> usize {
    let texts = texts.iter();
    texts.map(|text| size_of::<Box<str>>() + text.len()).sum()
}
