//! Lists the requests that endpoints ended under, and releases one.

use std::fmt::{self, Display};

use hinge_schema::messages::{AskSuspects, SuspectRecord, SuspectRecords};
use serde::Serialize;

use crate::args::SuspectsOptions;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::link::Link;
use crate::output::Output;
use crate::show;

#[derive(Serialize)]
struct Listed {
    #[serde(flatten)]
    records: SuspectRecords,
}

/// Runs `suspects`.
pub(crate) async fn run(
    options: &SuspectsOptions,
    link: &Link,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    let ask = AskSuspects {
        release: options.release.as_deref().map(Box::from),
    };
    let records = link.open()?.suspects(&ask).await.map_err(|no_answer| {
        no_answer.into_failure("a release may be asked twice: run the same command again")
    })?;
    output.show(&Listed { records })?;
    Ok(Exit::Ok)
}

impl Display for Listed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let suspects = &self.records.suspects;
        if suspects.is_empty() {
            return f
                .write_str("no endpoint has ended under a request that did not complete since");
        }
        let rows: Vec<_> = suspects.iter().map(row).collect();
        f.write_str(&show::table(&["REQUEST", "ENDS", "STATE"], &rows))
    }
}

fn row(suspect: &SuspectRecord) -> Vec<String> {
    let state = if suspect.held { "held" } else { "suspected" };
    vec![
        suspect.request.to_string(),
        suspect.ends.to_string(),
        state.to_owned(),
    ]
}
