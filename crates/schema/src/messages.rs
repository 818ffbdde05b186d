//! The messages between the fleet's processes.

#![expect(
    missing_docs,
    reason = "the generator leaves out the docs of plain variants"
)]

include!("generated/messages.rs");
