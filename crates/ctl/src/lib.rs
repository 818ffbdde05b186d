//! Checks, compares and applies the operators' folder, and shows what a fleet does.
//!
//! The program is a thin `main` around [`run`], so that tests call every command with their own streams and control.

mod args;
mod commands;
mod conflict;
mod difference;
mod exit;
mod failure;
mod fleet;
mod link;
mod local;
mod logs;
mod output;
mod scrape;
mod shares;
mod show;
mod stages;
mod story;
mod values;

use gumdrop::{Options, ParsingStyle};

use args::{Arguments, Command};
pub use exit::Exit;
use failure::Failure;
use output::Output;
pub use output::Streams;

/// Holds what is read of the process's environment.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// Value of `SEQUOIACTL_CONTROL`, used when `--control` is left out.
    pub control: Option<String>,
    /// Value of `SEQUOIACTL_KEY_FILE`, used when `--operator-key` is left out.
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

/// Runs one command line, without the program's name, and returns how it ended.
pub async fn run(args: &[String], environment: &Environment, streams: &mut Streams<'_>) -> Exit {
    let args = args::hoist(args);
    // A mistake in the command line is answered in the form that was asked for, so this flag is looked up before the rest.
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
    match start(parsed, environment, &mut output).await {
        Ok(exit) => exit,
        Err(failure) => {
            output.fail(&failure);
            failure.exit()
        }
    }
}

async fn start(
    parsed: Arguments,
    environment: &Environment,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    let link = link::Link::of(&parsed.globals(), environment);
    let Some(command) = parsed.command else {
        let message = "which command? `sequoiactl --help` lists them";
        return Err(Failure::invalid(message));
    };
    match command {
        Command::Check(options) => commands::check::run(&options, output),
        Command::Diff(options) => commands::diff::run(&options, &link, output).await,
        Command::Apply(options) => commands::apply::run(&options, &link, output).await,
        Command::Pull(options) => commands::pull::run(&options, &link, output).await,
        Command::Rollback(options) => commands::rollback::run(&options, &link, output).await,
        Command::Status(options) => commands::status::run(&options, &link, output).await,
        Command::Wait(options) => commands::wait::run(&options, &link, output).await,
        Command::History(options) => commands::history::run(&options, &link, output).await,
        Command::Drain(options) => commands::drain::drain(&options, &link, output).await,
        Command::Undrain(options) => commands::drain::undrain(&options, &link, output).await,
        Command::RemoveControl(options) => {
            commands::remove_control::run(&options, &link, output).await
        }
        Command::Suspects(options) => commands::suspects::run(&options, &link, output).await,
        Command::Orders(options) => commands::orders::run(options, &link, output).await,
        Command::Upgrade(options) => commands::upgrade::run(&options, &link, output).await,
        Command::Report(options) => commands::report::run(options, &link, output).await,
        Command::Explain(options) => commands::explain::run(&options, output),
        Command::Shares(options) => commands::shares::run(&options, output),
    }
}
