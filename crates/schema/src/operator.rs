//! The files of the operators' folder.

#![expect(
    missing_docs,
    reason = "the generator leaves out the docs of plain variants"
)]

include!("generated/operator.rs");

/// Schema of the operators' files, which `hinge-config` reads for ranges, formats and defaults.
pub const SCHEMA: &str = include_str!("../schema/operator.json");
