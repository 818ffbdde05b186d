//! Shows the progress of upgrades and planned stops, as known to the control leader.

use std::fmt::{self, Display};

use hinge_schema::messages::{AskUpgrades, StopStatus, UpgradeStatus, Upgrades};
use serde::Serialize;

use crate::args::{UpgradeCommand, UpgradeOptions};
use crate::control_config::ControlConfig;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::format;
use crate::output::Output;

#[derive(Serialize)]
struct UpgradesAnswer {
    #[serde(flatten)]
    upgrades: Upgrades,
}

/// Runs `upgrade status`.
pub(crate) async fn run(
    options: &UpgradeOptions,
    control: &ControlConfig,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    let Some(UpgradeCommand::Status(options)) = &options.command else {
        return Err(Failure::invalid(
            "which question? allowed is `sequoiactl upgrade status`",
        ));
    };
    let name = options.name.as_deref().unwrap_or_default();
    let query = AskUpgrades { name: name.into() };
    let upgrades = control.client()?.upgrades(&query).await?;
    if !name.is_empty() && upgrades.plans.is_empty() && upgrades.stops.is_empty() {
        return Err(Failure::invalid(format!(
            "no upgrade or planned stop is named {name}; `sequoiactl upgrade status` lists them"
        )));
    }
    output.show(&UpgradesAnswer { upgrades })?;
    Ok(Exit::Ok)
}

impl Display for UpgradesAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Upgrades { plans, stops } = &self.upgrades;
        if plans.is_empty() && stops.is_empty() {
            return f.write_str("no upgrade or stop is planned");
        }
        if !plans.is_empty() {
            let head = ["UPGRADE", "POOL", "VERSION", "STATE", "DONE", "WAITS FOR"];
            let rows: Vec<_> = plans.iter().map(plan_row).collect();
            writeln!(f, "{}", format::table(&head, &rows))?;
        }
        if !stops.is_empty() {
            let head = ["STOP", "STATE", "DONE", "DRAINING", "WAITS FOR"];
            let rows: Vec<_> = stops.iter().map(stop_row).collect();
            writeln!(f, "{}", format::table(&head, &rows))?;
        }
        for stop in stops {
            write_warnings(f, stop)?;
        }
        Ok(())
    }
}

fn plan_row(plan: &UpgradeStatus) -> Vec<String> {
    let mut waits_for = plan.detail.to_string();
    if plan.until_ms > 0 {
        waits_for = format!("{waits_for}, until {}", format::time(plan.until_ms));
    }
    vec![
        plan.plan.to_string(),
        plan.pool.to_string(),
        plan.version.to_string(),
        plan.state.to_string(),
        format!("{} of {}", plan.done, plan.total),
        or_dash(waits_for),
    ]
}

fn stop_row(stop: &StopStatus) -> Vec<String> {
    vec![
        stop.stop.to_string(),
        stop.state.to_string(),
        format!("{} of {}", stop.done, stop.total),
        stop.draining.to_string(),
        or_dash(stop.detail.to_string()),
    ]
}

fn write_warnings(f: &mut fmt::Formatter<'_>, stop: &StopStatus) -> fmt::Result {
    if !stop.late.is_empty() {
        let late = format::join_names(&stop.late);
        writeln!(f, "{}: past the deadline: {late}", stop.stop)?;
    }
    if !stop.below_floor.is_empty() {
        let pools = format::join_names(&stop.below_floor);
        writeln!(f, "{}: below the floor: {pools}", stop.stop)?;
    }
    Ok(())
}

fn or_dash(text: String) -> String {
    if text.is_empty() { "-".into() } else { text }
}
