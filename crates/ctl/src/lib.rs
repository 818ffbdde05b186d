//! Command line client that checks, compares and applies the operators' configuration folder, and shows the state of a fleet.
//!
//! The binary is a thin `main` around [`run`], so that tests can run every command with their own streams and control instances.

mod args;
mod commands;
mod conflict;
mod control_client;
mod control_config;
mod difference;
mod exit;
mod failure;
mod format;
mod local_folder;
mod logs;
mod output;
mod scrape;
mod shares;
mod stages;
mod timeline;
mod values;

use gumdrop::{Options, ParsingStyle};

use args::{Arguments, Command};
pub use exit::Exit;
use failure::Failure;
use output::Output;
pub use output::Streams;

/// Settings from environment variables.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// Value of `SEQUOIACTL_CONTROL`, used without `--control`.
    pub control: Option<String>,
    /// Value of `SEQUOIACTL_KEY_FILE`, used without `--operator-key`.
    pub key_file: Option<String>,
}

impl Environment {
    /// Reads the environment of this process.
    #[must_use]
    pub fn read() -> Self {
        let text = |name| std::env::var(name).ok().filter(|text| !text.is_empty());
        Self {
            control: text("SEQUOIACTL_CONTROL"),
            key_file: text("SEQUOIACTL_KEY_FILE"),
        }
    }
}

/// Runs one command line, given without the program's name, and returns its exit code.
pub async fn run(args: &[String], environment: &Environment, streams: &mut Streams<'_>) -> Exit {
    let args = args::hoist_global_flags(args);
    // Looked up before parsing, so that parse errors are also printed as JSON.
    let is_json = args.iter().any(|arg| arg == "--json");
    let mut output = Output::new(streams, is_json);
    let parsed = match Arguments::parse_args(&args, ParsingStyle::AllOptions) {
        Ok(parsed) => parsed,
        Err(error) => {
            let message = format!("{error}; `sequoiactl --help` lists what is allowed");
            let failure = Failure::invalid(message);
            output.fail(&failure);
            return failure.exit();
        }
    };
    if parsed.help_requested() {
        output.print(&args::help(&parsed));
        return Exit::Ok;
    }
    match run_command(parsed, environment, &mut output).await {
        Ok(exit) => exit,
        Err(failure) => {
            output.fail(&failure);
            failure.exit()
        }
    }
}

async fn run_command(
    parsed: Arguments,
    environment: &Environment,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    let control = control_config::ControlConfig::resolve(&parsed.global_flags(), environment);
    let Some(command) = parsed.command else {
        let message = "which command? `sequoiactl --help` lists them";
        return Err(Failure::invalid(message));
    };
    match command {
        Command::Check(options) => commands::check::run(&options, output),
        Command::Diff(options) => commands::diff::run(&options, &control, output).await,
        Command::Apply(options) => commands::apply::run(&options, &control, output).await,
        Command::Pull(options) => commands::pull::run(&options, &control, output).await,
        Command::Rollback(options) => commands::rollback::run(&options, &control, output).await,
        Command::Status(options) => commands::status::run(&options, &control, output).await,
        Command::Wait(options) => commands::wait::run(&options, &control, output).await,
        Command::History(options) => commands::history::run(&options, &control, output).await,
        Command::Drain(options) => commands::drain::drain(&options, &control, output).await,
        Command::Undrain(options) => commands::drain::undrain(&options, &control, output).await,
        Command::RemoveControl(options) => {
            commands::remove_control::run(&options, &control, output).await
        }
        Command::Evacuations(options) => {
            commands::evacuations::run(&options, &control, output).await
        }
        Command::Suspects(options) => commands::suspects::run(&options, &control, output).await,
        Command::Orders(options) => commands::orders::run(options, &control, output).await,
        Command::Upgrade(options) => commands::upgrade::run(&options, &control, output).await,
        Command::Report(options) => commands::report::run(options, &control, output).await,
        Command::Explain(options) => commands::explain::run(&options, output),
        Command::Shares(options) => commands::shares::run(&options, output),
    }
}
