//! Tests of a sidecar between a client that acts as the entry and a stand-in endpoint, over real connections.

mod answers;
mod faults;
mod grants;
mod orders;
mod stops;
mod support;
