//! Lists the evacuated data centres, and starts or ends an evacuation.

use std::fmt::{self, Display};

use hinge_schema::messages::{AskEvacuations, Evacuations};
use serde::Serialize;

use crate::args::EvacuationsOptions;
use crate::control_config::ControlConfig;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::format;
use crate::output::Output;

#[derive(Serialize)]
struct EvacuationsAnswer {
    #[serde(flatten)]
    evacuations: Evacuations,
}

/// Runs `evacuations`.
pub(crate) async fn run(
    options: &EvacuationsOptions,
    control: &ControlConfig,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    if options.start.is_some() && options.end.is_some() {
        return Err(Failure::invalid(
            "--start and --end exclude each other; give one command for each",
        ));
    }
    let ask = AskEvacuations {
        start: options.start.as_deref().map(Box::from),
        end: options.end.as_deref().map(Box::from),
        force: options.force,
    };
    let answered = control.client()?.evacuations(&ask).await;
    let evacuations = answered.map_err(|no_answer| {
        no_answer.into_failure("an order may safely be repeated: run the same command again")
    })?;
    if let Some(cause) = &evacuations.rejected {
        return Err(Failure::failed(format!(
            "{cause}; nothing was changed\n{}",
            services(&evacuations)
        )));
    }
    output.show(&EvacuationsAnswer { evacuations })?;
    Ok(Exit::Ok)
}

impl Display for EvacuationsAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let evacuated = &self.evacuations.evacuated;
        if evacuated.is_empty() {
            writeln!(f, "no data centre is evacuated")?;
        } else {
            let rows: Vec<_> = evacuated
                .iter()
                .map(|evacuation| {
                    vec![
                        evacuation.data_center.to_string(),
                        evacuation.operator.to_string(),
                        format::time(evacuation.since_unix_ms),
                    ]
                })
                .collect();
            let header = ["EVACUATED", "BY", "SINCE"];
            writeln!(f, "{}", format::table(&header, &rows))?;
        }
        f.write_str(&services(&self.evacuations))
    }
}

fn services(evacuations: &Evacuations) -> String {
    let rows: Vec<_> = evacuations
        .services
        .iter()
        .map(|service| {
            vec![
                service.service.to_string(),
                service.in_use.to_string(),
                service.endpoints.to_string(),
            ]
        })
        .collect();
    format::table(&["SERVICE", "IN USE", "ENDPOINTS"], &rows)
}
