//! Routes, services, teams and endpoints, and the messages that carry them.

#![expect(
    missing_docs,
    reason = "the generator leaves out the docs of plain variants"
)]

include!("generated/routing.rs");
