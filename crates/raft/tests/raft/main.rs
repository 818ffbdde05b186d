//! Tests of the replicated log, in one binary so that the files share one simulation.

mod codec;
mod fault_schedules;
mod measurements;
mod memory;
mod scenarios;
mod simulation;
mod single_node;
