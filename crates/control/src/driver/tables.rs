//! Proposes route tables, as patches where every member knows them.

use std::sync::Arc;

use hinge_routing::{diff_tables, is_patch_worthwhile};
use hinge_schema::routing::{RouteTable, TablePatch};
use hinge_state::Command;
use hinge_telemetry::info;
use hinge_telemetry::log::Component;

use super::thread::LogThread;
use crate::table_calls::MIN_PATCH_FORMAT;

impl LogThread {
    /// Encodes a command that puts a table in force: a patch of the newest table in the log, or the whole table.
    ///
    /// The log holds no other table between the two: it is this leader's own, and an entry of it that is lost takes all
    /// later ones of the term with it.
    pub(super) fn encode_table(&self, table: Box<RouteTable>) -> (Box<[u8]>, Arc<RouteTable>) {
        let newest = self.newest_table();
        let patch = newest.map(|newest| {
            if table.number > newest.number {
                diff_tables(newest, &table)
            } else {
                without_effect(&table)
            }
        });
        let patch = patch.filter(|patch| is_patch_worthwhile(patch, &table));
        if let Some(patch) = patch {
            let command = Command::PatchTable(Box::new(patch));
            return (command.encode(), Arc::from(table));
        }
        let command = Command::PutTable(table);
        let payload = command.encode();
        let Command::PutTable(table) = command else {
            unreachable!("the command was just made");
        };
        (payload, Arc::from(table))
    }

    /// Returns the newest table in the log, if this leader knows it and may propose patches.
    fn newest_table(&self) -> Option<&Arc<RouteTable>> {
        let term = self.node.status().term;
        // Once the term is opened, all entries of earlier terms are applied.
        if self.state.format() < MIN_PATCH_FORMAT || self.opened_term != term {
            return None;
        }
        let proposed = self.proposed_table.as_ref();
        let proposed = proposed.filter(|(proposed_in, _)| *proposed_in == term);
        let proposed = proposed.map(|(_, table)| table);
        let in_force = self.state.routing().table();
        let known = in_force.into_iter().chain(proposed);
        known.max_by_key(|table| table.number)
    }

    /// Records the newest table that was proposed, until it is applied.
    pub(super) fn record_proposed_table(&mut self, table: Arc<RouteTable>) {
        if table.number <= self.state.routing().table_number() {
            return;
        }
        let term = self.node.status().term;
        let is_newest = self
            .proposed_table
            .as_ref()
            .is_none_or(|(known_in, known)| *known_in != term || known.number < table.number);
        if is_newest {
            self.proposed_table = Some((term, table));
        }
    }

    /// Updates the recent patches after a command was applied that may have put a table in force.
    pub(super) fn record_applied_table(&mut self, number_before: u64, patch: Option<&TablePatch>) {
        let number = self.state.routing().table_number();
        if number == number_before {
            return;
        }
        info!(
            Component::Control,
            "A route table is applied.",
            number = number,
            before = number_before,
            index = self.applied_index
        );
        match patch {
            Some(patch) => self.recent_patches.record(patch),
            None => self.recent_patches.clear(),
        }
        if let Some((_, proposed)) = &self.proposed_table
            && proposed.number <= number
        {
            self.proposed_table = None;
        }
    }
}

/// Returns a patch that asks for the number in force: the table's own number is not above it.
fn without_effect(table: &RouteTable) -> TablePatch {
    TablePatch {
        base_number: 0,
        number: table.number,
        routes: Vec::new(),
        services: Vec::new(),
        teams: Vec::new(),
        limits: table.limits.clone(),
        tokens_per_s: 0,
        document: Vec::new(),
    }
}
