//! Tests an entry against fake sidecars on loopback. Tests wait for conditions, never for a fixed time.

mod answers;
mod callers;
mod offers;
mod stops;
mod support;
