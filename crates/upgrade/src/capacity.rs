//! Counts of the endpoints in service in each pool.

use std::collections::BTreeMap;

use hinge_schema::messages::Role;

use crate::fleet::Fleet;

/// Parts per million in a whole.
const PPM: u128 = 1_000_000;

/// The counts of a pool's endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Endpoints, including those that are missing since the pool was counted.
    pub total: u64,
    /// Endpoints that take work.
    pub in_service: u64,
    /// Endpoints that must take work.
    pub needed: u64,
}

impl Capacity {
    /// Returns whether one more endpoint may go out of service.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.in_service > self.needed
    }

    /// Returns whether the floor needs every endpoint, so that none may ever go out of service.
    #[must_use]
    pub fn needs_all(&self) -> bool {
        self.needed >= self.total
    }
}

/// Returns the number of endpoints that a floor requires, rounded up.
#[must_use]
pub fn required_endpoints(floor_ppm: u32, total: u64) -> u64 {
    let needed = (u128::from(floor_ppm) * u128::from(total)).div_ceil(PPM);
    u64::try_from(needed).unwrap_or(u64::MAX)
}

/// The capacity of every pool, less what a decision takes out of service.
#[derive(Debug)]
pub(crate) struct Pools<'a> {
    pools: BTreeMap<&'a str, Capacity>,
}

impl<'a> Pools<'a> {
    pub(crate) fn count(fleet: &Fleet<'a>) -> Self {
        let names = fleet.effective.pools.iter().map(|(name, _)| name);
        let mut pools: BTreeMap<&str, Capacity> =
            names.map(|name| (name, Capacity::default())).collect();
        for endpoint in fleet.endpoints.values() {
            if let Some(capacity) = pools.get_mut(endpoint.pool)
                && endpoint.role == Role::Sidecar
            {
                capacity.total += 1;
                capacity.in_service += u64::from(fleet.is_in_service(endpoint));
            }
        }
        for (name, pool) in fleet.effective.pools.iter() {
            if let Some(capacity) = pools.get_mut(name) {
                let counted = fleet.upgrades.pool_size(name);
                let counted = counted.map_or(0, |size| size.endpoints);
                capacity.total = capacity.total.max(counted);
                capacity.needed = required_endpoints(pool.floor, capacity.total);
            }
        }
        Self { pools }
    }

    pub(crate) fn get(&self, pool: &str) -> Capacity {
        self.pools.get(pool).copied().unwrap_or_default()
    }

    /// Counts an endpoint as out of service; this may take its pool below its floor.
    pub(crate) fn remove_one(&mut self, pool: &str) {
        if let Some(capacity) = self.pools.get_mut(pool) {
            capacity.in_service = capacity.in_service.saturating_sub(1);
        }
    }

    /// Yields the names of pools below their floor.
    pub(crate) fn below_floor(&self) -> impl Iterator<Item = &'a str> {
        let pools = self.pools.iter();
        let below = pools.filter(|(_, capacity)| capacity.in_service < capacity.needed);
        below.map(|(name, _)| *name)
    }
}
