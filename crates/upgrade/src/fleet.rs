//! The input of a decision.

use std::collections::{BTreeMap, BTreeSet};

use hinge_config::effective::Effective;
use hinge_schema::messages::{DrainRecord, OrderRecord, Role};
use hinge_state::{InstanceName, OrderId, Upgrades, WallMs};

/// A live instance as it announces itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Endpoint<'a> {
    /// Name of the instance.
    pub instance: &'a str,
    /// Number that the process drew when it started.
    pub incarnation: u64,
    /// Role; only sidecars represent endpoints.
    pub role: Role,
    /// Data centre.
    pub data_center: &'a str,
    /// Pool; empty unless it is a sidecar.
    pub pool: &'a str,
    /// Version of the model that it serves.
    pub model_version: &'a str,
    /// Whether it announced that it takes no new work.
    pub is_leaving: bool,
    /// Whether it is known to be ejected.
    pub is_ejected: bool,
    /// Requests that run there; none if it isn't known.
    pub running: Option<u32>,
}

/// A snapshot of the log's records, the folder and the announcements.
#[derive(Debug, Clone)]
pub struct Fleet<'a> {
    /// Time of the log: the later of the leader's clock and the newest command.
    pub now_ms: WallMs,
    /// Version of the folder.
    pub config_version: u64,
    /// Folder in force.
    pub effective: &'a Effective,
    /// Live instances.
    pub endpoints: BTreeMap<&'a str, Endpoint<'a>>,
    /// Upgrades and stops in progress.
    pub upgrades: &'a Upgrades,
    /// Orders of the upgrades in progress.
    pub orders: &'a BTreeMap<OrderId, OrderRecord>,
    /// Instances drained by an operator, a plan or a stop.
    pub drained: BTreeSet<&'a str>,
}

impl<'a> Fleet<'a> {
    /// Returns the names of the drained instances.
    #[must_use]
    pub fn drained_names(drains: &'a [DrainRecord]) -> BTreeSet<&'a str> {
        drains.iter().map(|drain| &*drain.instance).collect()
    }

    /// Yields the live endpoints of a pool, by name.
    pub(crate) fn pool(&self, pool: &str) -> impl Iterator<Item = &Endpoint<'a>> {
        let endpoints = self.endpoints.values();
        endpoints.filter(move |endpoint| endpoint.role == Role::Sidecar && endpoint.pool == pool)
    }

    /// Returns whether an endpoint takes work now.
    pub(crate) fn is_in_service(&self, endpoint: &Endpoint<'_>) -> bool {
        let in_progress = self.upgrades.in_progress();
        let progress: Option<_> = in_progress.get(endpoint.instance);
        let is_upgrading = progress.is_some_and(|progress| progress.step.is_out_of_service());
        !(endpoint.is_leaving
            || endpoint.is_ejected
            || is_upgrading
            || self.drained.contains(endpoint.instance))
    }

    /// Returns an order of an upgrade in progress, if the log still has it.
    pub(crate) fn order(&self, order_id: OrderId) -> Option<&OrderRecord> {
        self.orders.get(&order_id)
    }

    /// Converts an instance's name to the log's type.
    pub(crate) fn instance_name(instance: &str) -> InstanceName {
        instance.into()
    }
}
