//! Takes instances out of service, and puts them back.

use std::fmt::{self, Display};
use std::time::Duration;

use hinge_schema::messages::{Drain, DrainRecord};
use serde::Serialize;

use crate::args::{DrainOptions, UndrainOptions};
use crate::commands::apply::generate_change_id;
use crate::control_config::ControlConfig;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::format;
use crate::output::Output;

/// Default time for running work to finish; it outlasts a long analysis.
const DEFAULT_DEADLINE: Duration = Duration::from_mins(10);

#[derive(Serialize)]
struct DrainAnswer {
    instance: Box<str>,
    draining: bool,
    drains: Vec<DrainRecord>,
}

/// Runs `drain`.
pub(crate) async fn drain(
    options: &DrainOptions,
    control: &ControlConfig,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    let deadline = options.deadline.unwrap_or(DEFAULT_DEADLINE);
    let drain = Drain {
        change_id: generate_change_id(),
        instance: options.instance.as_str().into(),
        draining: true,
        deadline_ms: u64::try_from(deadline.as_millis()).unwrap_or(u64::MAX),
        note: options.note.as_deref().unwrap_or_default().into(),
    };
    send(drain, control, output).await
}

/// Runs `undrain`.
pub(crate) async fn undrain(
    options: &UndrainOptions,
    control: &ControlConfig,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    let drain = Drain {
        change_id: generate_change_id(),
        instance: options.instance.as_str().into(),
        draining: false,
        deadline_ms: 0,
        note: options.note.as_deref().unwrap_or_default().into(),
    };
    send(drain, control, output).await
}

async fn send(
    drain: Drain,
    control: &ControlConfig,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    let drains = control.client()?.drain(&drain).await.map_err(|no_answer| {
        no_answer.into_failure("a drain may safely be repeated: run the same command again")
    })?;
    output.show(&DrainAnswer {
        instance: drain.instance,
        draining: drain.draining,
        drains: drains.drains,
    })?;
    Ok(Exit::Ok)
}

/// Formats a table of drained instances.
pub(crate) fn drains_table(drains: &[DrainRecord]) -> String {
    let rows: Vec<_> = drains
        .iter()
        .map(|drain| {
            vec![
                drain.instance.to_string(),
                format::time(drain.asked_at_ms),
                format::span(drain.deadline_ms),
                drain.operator.to_string(),
                drain.note.to_string(),
            ]
        })
        .collect();
    let head = ["DRAINED", "SINCE", "DEADLINE", "OPERATOR", "NOTE"];
    format::table(&head, &rows)
}

impl Display for DrainAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let instance = &self.instance;
        if self.draining {
            writeln!(
                f,
                "{instance} takes no new work; `sequoiactl status` shows when it is gone"
            )?;
        } else {
            writeln!(f, "{instance} takes work again")?;
        }
        if self.drains.is_empty() {
            return f.write_str("no instance is drained");
        }
        f.write_str(&drains_table(&self.drains))
    }
}
