//! Shows the state of the fleet, as known to the control leader.

use std::collections::BTreeMap;
use std::fmt::{self, Display};

use hinge_schema::messages::{AskStatus, ControlInstance, Member, Status};
use serde::Serialize;

use crate::args::StatusOptions;
use crate::control_config::ControlConfig;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::format;
use crate::output::Output;

/// Most processes that are listed one by one without `--all`; more are counted by role, pool and data centre.
const MAX_LISTED: usize = 40;

/// Contact time that control reports for an instance that it has not heard from within an election timeout.
const NEVER_HEARD: u64 = u64::MAX;

#[derive(Serialize)]
struct StatusAnswer {
    #[serde(flatten)]
    status: Status,
    #[serde(skip)]
    lists_all: bool,
}

/// Runs `status`.
pub(crate) async fn run(
    options: &StatusOptions,
    control: &ControlConfig,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    let query = AskStatus {
        wait_version: 0,
        wait_ms: 0,
    };
    let status = control.client()?.status(&query).await?;
    let lists_all = options.all || status.members.len() <= MAX_LISTED;
    output.show(&StatusAnswer { status, lists_all })?;
    Ok(Exit::Ok)
}

impl Display for StatusAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let status = &self.status;
        writeln!(
            f,
            "version {}, term {}, commit {}",
            status.config_version, status.term, status.commit_index
        )?;
        let control: Vec<_> = status
            .control
            .iter()
            .map(|instance| control_row(instance, status.commit_index))
            .collect();
        let head = ["CONTROL", "ROLE", "BEHIND", "HEARD"];
        write!(f, "\n{}", format::table(&head, &control))?;
        if self.lists_all {
            write!(f, "\n{}", members_table(&status.members))?;
        } else {
            write!(f, "\n{}", counts_table(&status.members))?;
        }
        write_lacking(f, status)?;
        write_drains(f, status)
    }
}

fn control_row(instance: &ControlInstance, commit_index: u64) -> Vec<String> {
    let role = match (instance.leader, instance.voter) {
        (true, _) => "leader",
        (false, true) => "voter",
        (false, false) => "joining",
    };
    let behind = commit_index.saturating_sub(instance.matched_index);
    let heard = match instance.last_contact_ms {
        NEVER_HEARD => "not heard".to_owned(),
        0 => "now".to_owned(),
        ago_ms => format!("{} ago", format::span(ago_ms)),
    };
    vec![
        or_dash(&instance.instance),
        role.to_owned(),
        behind.to_string(),
        heard,
    ]
}

fn members_table(members: &[Member]) -> String {
    let head = [
        "PROCESS",
        "ROLE",
        "POOL",
        "DATA CENTRE",
        "VERSION",
        "SLOTS",
        "SERVES",
        "STATE",
    ];
    let rows: Vec<_> = members.iter().map(member_row).collect();
    format::table(&head, &rows)
}

fn member_row(member: &Member) -> Vec<String> {
    let state = if member.leaving { "leaving" } else { "ready" };
    vec![
        member.instance.to_string(),
        member.role.to_string(),
        or_dash(&member.pool),
        member.data_center.to_string(),
        member.config_version.to_string(),
        member.slots.to_string(),
        or_dash(&member.model_version),
        state.to_owned(),
    ]
}

fn or_dash(text: &str) -> String {
    if text.is_empty() { "-" } else { text }.to_owned()
}

#[derive(Default)]
struct Count {
    processes: usize,
    leaving: usize,
    slots: u64,
}

fn counts_table(members: &[Member]) -> String {
    let mut counts: BTreeMap<(String, String, &str), Count> = BTreeMap::new();
    for member in members {
        let key = (
            member.role.to_string(),
            or_dash(&member.pool),
            &*member.data_center,
        );
        let count = counts.entry(key).or_default();
        count.processes += 1;
        count.leaving += usize::from(member.leaving);
        count.slots += u64::from(member.slots);
    }
    let rows: Vec<_> = counts
        .into_iter()
        .map(|((role, pool, data_center), count)| {
            vec![
                role,
                pool,
                data_center.to_owned(),
                count.processes.to_string(),
                count.leaving.to_string(),
                count.slots.to_string(),
            ]
        })
        .collect();
    let head = [
        "ROLE",
        "POOL",
        "DATA CENTRE",
        "PROCESSES",
        "LEAVING",
        "SLOTS",
    ];
    format::table(&head, &rows)
}

fn write_lacking(f: &mut fmt::Formatter<'_>, status: &Status) -> fmt::Result {
    let version = status.config_version;
    if status.lacking.is_empty() {
        return writeln!(f, "\nversion {version} is in force everywhere");
    }
    let (count, names) = (status.lacking.len(), format::join_names(&status.lacking));
    writeln!(f, "\n{count} processes lack version {version}: {names}")
}

fn write_drains(f: &mut fmt::Formatter<'_>, status: &Status) -> fmt::Result {
    if status.drains.is_empty() {
        return Ok(());
    }
    write!(f, "\n{}", super::drain::drains_table(&status.drains))
}
