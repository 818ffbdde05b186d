//! Tests of the store on fake and real disks.

mod crash;
mod damage;
mod folder;
mod refusal;
mod workload;
