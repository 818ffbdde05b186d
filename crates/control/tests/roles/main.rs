//! Tests control instances and relays in one process, over sockets and folders.

mod control;
mod diskless;
mod evacuations;
mod fleet;
mod partition;
mod relay;
mod tables;
