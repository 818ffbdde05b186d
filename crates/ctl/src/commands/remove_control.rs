//! Removes a control instance that is gone for good from the quorum.

use std::fmt::{self, Display};

use hinge_schema::messages::{RemoveControl, RemovedControl};
use serde::Serialize;

use crate::args::RemoveControlOptions;
use crate::control_config::ControlConfig;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::output::Output;

#[derive(Serialize)]
struct RemoveControlAnswer {
    instance: Box<str>,
    #[serde(flatten)]
    removed: RemovedControl,
}

/// Runs `remove-control`.
pub(crate) async fn run(
    options: &RemoveControlOptions,
    control: &ControlConfig,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    let remove = RemoveControl {
        instance: options.instance.as_str().into(),
    };
    let removed = control.client()?.remove_control(&remove).await;
    let removed = removed.map_err(|no_answer| {
        no_answer.into_failure("look at `sequoiactl status`, and run the same command again")
    })?;
    let exit = if removed.removed {
        Exit::Ok
    } else {
        Exit::Failed
    };
    output.show(&RemoveControlAnswer {
        instance: remove.instance,
        removed,
    })?;
    Ok(exit)
}

impl Display for RemoveControlAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let instance = &self.instance;
        if self.removed.removed {
            return write!(f, "{instance} no longer counts for the quorum");
        }
        write!(f, "{instance} still counts: {}", self.removed.detail)
    }
}
