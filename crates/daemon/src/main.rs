//! The `sequoiahinge` daemon: runs one role of the fleet.

mod context;
mod flags;
mod reload;
mod roles;
mod signals;
mod suspension;

use std::process::ExitCode;

use hinge_config::settings;
use hinge_schema::settings::Settings;

use crate::flags::{Flags, RoleFlag};
use crate::signals::Signals;

/// Exit code for an invalid command line or invalid settings; any other error exits with 1.
const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    // Done before anything else, because until then a signal ends the process by default.
    let signals = match Signals::catch() {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("sequoiahinge: cannot install signal handlers: {error}");
            return ExitCode::FAILURE;
        }
    };
    let flags = Flags::parse();
    let settings = match load_settings(&flags) {
        Ok(settings) => settings,
        Err(problems) => {
            eprintln!("{problems}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if flags.check {
        println!("The settings are valid.");
        return ExitCode::SUCCESS;
    }
    let result = roles::run(&flags, settings, &signals);
    hinge_telemetry::log::finish();
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("sequoiahinge: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn load_settings(flags: &Flags) -> Result<Settings, String> {
    match (&flags.settings, flags.role()) {
        (Some(path), _) => settings::load(path).map_err(|error| error.to_string()),
        (None, RoleFlag::Local | RoleFlag::StandIn) => {
            settings::check(roles::LOCAL_SETTINGS).map_err(|error| error.to_string())
        }
        (None, _) => Err("settings are missing: name a file with --settings FILE".to_owned()),
    }
}
