//! Lists accepted changes.

use std::fmt::{self, Display};

use hinge_schema::messages::{AskHistory, History, HistoryEntry};
use serde::Serialize;

use crate::args::HistoryOptions;
use crate::control_config::ControlConfig;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::format;
use crate::output::Output;

#[derive(Serialize)]
struct HistoryAnswer {
    #[serde(flatten)]
    history: History,
}

/// Runs `history`.
pub(crate) async fn run(
    options: &HistoryOptions,
    control: &ControlConfig,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    let query = AskHistory {
        before_version: options.before,
        limit: options.limit,
    };
    let history = control.client()?.history(&query).await?;
    output.show(&HistoryAnswer { history })?;
    Ok(Exit::Ok)
}

impl Display for HistoryAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let entries = &self.history.entries;
        if entries.is_empty() {
            return f.write_str("no change has been accepted yet");
        }
        let rows: Vec<_> = entries.iter().map(row).collect();
        let head = ["VERSION", "ACCEPTED", "OPERATOR", "CHANGE", "FILES", "NOTE"];
        f.write_str(&format::table(&head, &rows))
    }
}

fn row(entry: &HistoryEntry) -> Vec<String> {
    let put = entry.put.iter().map(|name| format!("+{name}"));
    let removed = entry.removed.iter().map(|name| format!("-{name}"));
    let files: Vec<_> = put.chain(removed).collect();
    vec![
        entry.version.to_string(),
        format::time(entry.accepted_at_ms),
        entry.operator.to_string(),
        entry.change_id.to_string(),
        format::join_names(&files),
        entry.note.to_string(),
    ]
}
