//! Lists the requests and prompt parts during which endpoints crashed, and releases one.

use std::fmt::{self, Display};

use hinge_schema::messages::{AskSuspects, SuspectRecord, SuspectRecords};
use serde::Serialize;

use crate::args::SuspectsOptions;
use crate::control_config::ControlConfig;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::format;
use crate::output::Output;

#[derive(Serialize)]
struct SuspectsAnswer {
    #[serde(flatten)]
    records: SuspectRecords,
}

/// Runs `suspects`.
pub(crate) async fn run(
    options: &SuspectsOptions,
    control: &ControlConfig,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    let query = AskSuspects {
        release: options.release.as_deref().map(Box::from),
    };
    let records = control
        .client()?
        .suspects(&query)
        .await
        .map_err(|no_answer| {
            no_answer.into_failure("a release may safely be repeated: run the same command again")
        })?;
    output.show(&SuspectsAnswer { records })?;
    Ok(Exit::Ok)
}

impl Display for SuspectsAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let suspects = &self.records.suspects;
        if suspects.is_empty() {
            return f.write_str(
                "no endpoint has crashed during a request that has not completed since",
            );
        }
        let rows: Vec<_> = suspects.iter().map(row).collect();
        f.write_str(&format::table(&["REQUEST", "ENDS", "STATE", "PART"], &rows))
    }
}

fn row(suspect: &SuspectRecord) -> Vec<String> {
    let state = if suspect.held { "held" } else { "suspected" };
    vec![
        suspect.request.to_string(),
        suspect.ends.to_string(),
        state.to_owned(),
        suspect.part.as_deref().unwrap_or("-").to_owned(),
    ]
}
