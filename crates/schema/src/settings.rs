//! The settings of a process.

#![expect(
    missing_docs,
    reason = "the generator leaves out the docs of plain variants"
)]

include!("generated/settings.rs");

/// Schema of the settings, which `hinge-config` reads for ranges, formats and defaults.
pub const SCHEMA: &str = include_str!("../schema/settings.json");
