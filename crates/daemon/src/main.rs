//! Runs one role of the fleet.

mod context;
mod flags;
mod reload;
mod roles;
mod signals;

use std::process::ExitCode;

use hinge_config::settings;
use hinge_schema::settings::Settings;

use crate::flags::{Flags, RoleFlag};
use crate::signals::Signals;

/// Exit code of settings that are not valid; 1 is any other failure.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    // Before anything else: until then a signal ends the process.
    let signals = match Signals::catch() {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("sequoiahinge: catching signals: {error}");
            return ExitCode::FAILURE;
        }
    };
    let flags = Flags::parse();
    let settings = match load(&flags) {
        Ok(settings) => settings,
        Err(problems) => {
            eprintln!("{problems}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if flags.check {
        println!("The settings are valid.");
        return ExitCode::SUCCESS;
    }
    let ended = roles::run(&flags, settings, &signals);
    hinge_telemetry::log::finish();
    match ended {
        Ok(code) => code,
        Err(error) => {
            eprintln!("sequoiahinge: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn load(flags: &Flags) -> Result<Settings, String> {
    match (&flags.settings, flags.role()) {
        (Some(path), _) => settings::load(path).map_err(|error| error.to_string()),
        (None, RoleFlag::Local | RoleFlag::StandIn) => {
            settings::check(roles::LOCAL_SETTINGS).map_err(|error| error.to_string())
        }
        (None, _) => Err("settings are missing: name a file with --settings FILE".to_owned()),
    }
}
