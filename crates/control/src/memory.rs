//! Accounts for the memory of a control instance, by kind.

use std::fs;
use std::sync::Weak;

use hinge_link::Traffic;
use hinge_raft::HeldBytes;
use hinge_routing::table_bytes;
use hinge_schema::routing::RouteTable;
use hinge_telemetry::info;
use hinge_telemetry::log::Component;
use hinge_telemetry::metrics::Registry;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;

use crate::core::Core;

/// Size of a page of memory, in bytes.
const PAGE_BYTES: u64 = 4096;

/// Growth of the resident memory after which it is logged again, in parts of what was logged last.
const LOG_GROWTH_PARTS: u64 = 8;

/// Bytes that the log's thread holds.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ThreadBytes {
    pub(crate) node: HeldBytes,
    /// Entries in messages that wait for their receiver or are on the way to it.
    pub(crate) queued_messages: usize,
    /// Entries and snapshots in received messages that wait for the thread.
    pub(crate) queued_inputs: usize,
    /// Decoded route tables: the one in force, and earlier ones that a call still uses.
    pub(crate) tables: usize,
}

/// The route tables that were in force and may still be in memory.
#[derive(Debug, Default)]
pub(crate) struct LiveTables {
    tables: Vec<Weak<RouteTable>>,
}

impl LiveTables {
    pub(crate) fn record(&mut self, table: Weak<RouteTable>) {
        self.tables.retain(|known| known.strong_count() > 0);
        if !self.tables.iter().any(|known| known.ptr_eq(&table)) {
            self.tables.push(table);
        }
    }

    pub(crate) fn held_bytes(&self) -> usize {
        let live = self.tables.iter().filter_map(Weak::upgrade);
        live.map(|table| table_bytes(&table)).sum()
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
}

/// The gauges of a control instance's memory, and the size that was logged last.
#[derive(Debug)]
pub(crate) struct MemoryGauges {
    kinds: Family<KindLabels, Gauge>,
    traffic: Traffic,
    logged_bytes: u64,
}

impl MemoryGauges {
    pub(crate) fn register(registry: &Registry, traffic: Traffic) -> Self {
        Self {
            kinds: registry.gauges(
                "control_memory_bytes",
                "Bytes in memory by kind; resident is the whole process",
            ),
            traffic,
            logged_bytes: 0,
        }
    }

    /// Updates the gauges, and logs them when the resident memory has grown.
    pub(crate) fn update(&mut self, core: &Core) {
        let thread = **core.driver.held_bytes.load();
        let node = thread.node;
        let unsent_calls = self.traffic.unsent_bytes();
        let resident = resident_bytes();
        let kinds = [
            ("covered_entries", node.covered_entries as u64),
            ("applied_entries", node.applied_entries as u64),
            ("unapplied_entries", node.unapplied_entries as u64),
            ("snapshot", node.snapshot as u64),
            ("earlier_snapshots", node.earlier_snapshots as u64),
            ("incoming_snapshot", node.incoming_snapshot as u64),
            ("queued_messages", thread.queued_messages as u64),
            ("queued_inputs", thread.queued_inputs as u64),
            ("unsent_calls", unsent_calls),
            ("tables", thread.tables as u64),
            ("resident", resident),
        ];
        for (kind, bytes) in kinds {
            let gauge = self.kinds.get_or_create(&KindLabels { kind });
            gauge.set(i64::try_from(bytes).unwrap_or(i64::MAX));
        }
        if resident <= self.logged_bytes + self.logged_bytes / LOG_GROWTH_PARTS {
            return;
        }
        self.logged_bytes = resident;
        info!(
            Component::Control,
            "The memory in use has grown.",
            resident = resident,
            covered_entries = node.covered_entries,
            applied_entries = node.applied_entries,
            unapplied_entries = node.unapplied_entries,
            snapshot = node.snapshot,
            earlier_snapshots = node.earlier_snapshots,
            incoming_snapshot = node.incoming_snapshot,
            queued_messages = thread.queued_messages,
            queued_inputs = thread.queued_inputs,
            unsent_calls = unsent_calls,
            tables = thread.tables
        );
    }
}

/// Returns the resident memory of this process in bytes; 0 where the system does not tell.
fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    let pages = pages.and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
