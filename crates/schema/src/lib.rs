//! The fleet's messages and settings, generated from the JSON Schema files in `schema/`.
//!
//! On the wire each message is a map with named fields, so that an older process skips fields that it does not know. After a change
//! to a schema file run `cargo run -p hinge-codegen --example generate`; CI compares the result with the committed code.

pub mod messages;
pub mod operator;
pub mod routing;
pub mod settings;
pub mod units;
