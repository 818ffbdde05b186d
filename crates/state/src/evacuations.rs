//! The data centres whose endpoints get no requests.
//!
//! An operator's order carries no number, and is sent again until it is acknowledged. A copy that was held up on its way
//! must not undo a later order, so each order names the revision of the data centre that was current when the order
//! arrived, and takes effect only if it still is.

use std::collections::BTreeMap;

use hinge_schema::routing::{Evacuation, EvacuationList, EvacuationOrder};
use serde::{Deserialize, Serialize};

use crate::WallMs;

/// The name of a data centre.
pub type DataCenter = Box<str>;

/// Log index of the last change of a data centre's evacuation; 0 before the first one.
pub type EvacuationRevision = u64;

/// An operator's order on the evacuation of a data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationCommand {
    /// Data centre.
    pub data_center: DataCenter,
    /// What to do.
    pub order: EvacuationOrder,
    /// Revision that was current when the order arrived.
    pub revision: EvacuationRevision,
    /// Operator who gives the order.
    pub operator: Box<str>,
    /// Time of the leader.
    pub now_ms: WallMs,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    revision: EvacuationRevision,
    evacuation: Option<Evacuation>,
}

/// The evacuations of all data centres.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    records: BTreeMap<DataCenter, Record>,
}

impl Evacuations {
    /// Applies an order at a log index, and returns whether its data centre is in the ordered state now.
    pub(crate) fn apply(&mut self, index: u64, command: EvacuationCommand) -> bool {
        if self.is_done(&command.data_center, command.order) {
            return true;
        }
        if self.revision(&command.data_center) != command.revision {
            return false;
        }
        let evacuation = match command.order {
            EvacuationOrder::Start => Some(Evacuation {
                data_center: command.data_center.clone(),
                operator: command.operator,
                since_unix_ms: command.now_ms,
            }),
            EvacuationOrder::End => None,
        };
        let record = Record {
            revision: index,
            evacuation,
        };
        self.records.insert(command.data_center, record);
        true
    }

    /// Returns whether a data centre is in the state that an order asks for.
    #[must_use]
    pub fn is_done(&self, data_center: &str, order: EvacuationOrder) -> bool {
        let is_evacuated = self.get(data_center).is_some();
        is_evacuated == (order == EvacuationOrder::Start)
    }

    /// Returns the revision of a data centre.
    #[must_use]
    pub fn revision(&self, data_center: &str) -> EvacuationRevision {
        let record = self.records.get(data_center);
        record.map_or(0, |record| record.revision)
    }

    /// Returns the log index of the last change of any data centre; 0 before the first one.
    #[must_use]
    pub fn version(&self) -> u64 {
        let revisions = self.records.values().map(|record| record.revision);
        revisions.max().unwrap_or_default()
    }

    /// Returns the evacuation of a data centre, if it is evacuated.
    #[must_use]
    pub fn get(&self, data_center: &str) -> Option<&Evacuation> {
        self.records.get(data_center)?.evacuation.as_ref()
    }

    /// Returns the evacuations in force.
    pub fn in_force(&self) -> impl Iterator<Item = &Evacuation> {
        let records = self.records.values();
        records.filter_map(|record| record.evacuation.as_ref())
    }

    /// Returns the evacuations in force for the gateways.
    #[must_use]
    pub fn list(&self) -> EvacuationList {
        EvacuationList {
            version: self.version(),
            evacuations: self.in_force().cloned().collect(),
        }
    }
}
