//! Routes, services, teams and endpoints, and the messages that carry them.

#![expect(
    missing_docs,
    reason = "the generator leaves out the docs of plain variants"
)]

include!("generated/routing.rs");

impl RoutesUpdate {
    /// Returns whether the update carries anything that its receiver did not have.
    #[must_use]
    pub fn has_changes(&self) -> bool {
        self.table.is_some()
            || !self.table_patches.is_empty()
            || self.endpoints.is_some()
            || self.suspects.is_some()
            || self.evacuations.is_some()
    }
}
