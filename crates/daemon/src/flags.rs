//! The command line of `sequoiahinge`.

use std::path::PathBuf;
use std::process;
use std::str::FromStr;

use gumdrop::Options;

/// The role that this process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RoleFlag {
    Entry,
    Sidecar,
    Control,
    Gateway,
    Admission,
    Relay,
    StandIn,
    Local,
}

impl RoleFlag {
    const ALL: [Self; 8] = [
        Self::Entry,
        Self::Sidecar,
        Self::Control,
        Self::Gateway,
        Self::Admission,
        Self::Relay,
        Self::StandIn,
        Self::Local,
    ];

    /// Returns the name of the role on the command line.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Sidecar => "sidecar",
            Self::Control => "control",
            Self::Gateway => "gateway",
            Self::Admission => "admission",
            Self::Relay => "relay",
            Self::StandIn => "stand-in",
            Self::Local => "local",
        }
    }
}

impl FromStr for RoleFlag {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let role = Self::ALL.into_iter().find(|role| role.name() == text);
        role.ok_or_else(|| {
            format!(
                "unknown role `{text}`; allowed are entry, sidecar, control, gateway, admission, relay, stand-in and local"
            )
        })
    }
}

/// Runs one role of a router fleet for model endpoints.
#[derive(Debug, Options)]
pub(crate) struct Flags {
    #[options(help = "print this help and exit")]
    help: bool,

    /// Role to run.
    #[options(
        free,
        required,
        help = "role to run: entry, sidecar, control, gateway, admission, relay, stand-in or local"
    )]
    role: Option<RoleFlag>,

    /// Path of the settings file; without it, `local` and `stand-in` use built-in settings.
    #[options(
        meta = "FILE",
        help = "settings file in TOML; optional for local and stand-in"
    )]
    pub(crate) settings: Option<PathBuf>,

    /// Checks the settings and exits without starting the role.
    #[options(
        no_short,
        help = "check the settings and exit without starting the role"
    )]
    pub(crate) check: bool,

    /// Folder of the operators' files that `local` applies at startup.
    #[options(
        meta = "FOLDER",
        help = "folder of operators' files that local applies at startup"
    )]
    pub(crate) folder: Option<PathBuf>,
}

impl Flags {
    /// Returns the role named on the command line.
    ///
    /// # Panics
    ///
    /// Panics when the parser has accepted a command line without a role.
    pub(crate) fn role(&self) -> RoleFlag {
        self.role.expect("the parser requires a role")
    }

    /// Parses the command line; prints the help or the error and exits when there is nothing to run.
    pub(crate) fn parse() -> Self {
        let args: Vec<String> = std::env::args().skip(1).collect();
        if args.iter().any(|arg| arg == "--help" || arg == "-h") {
            println!(
                "Usage: sequoiahinge ROLE [--settings FILE] [--folder FOLDER] [--check]\n\n{}",
                Self::usage()
            );
            process::exit(0);
        }
        match Self::parse_args_default(&args) {
            Ok(flags) => flags,
            Err(error) => {
                eprintln!(
                    "sequoiahinge: {error}\n\nUsage: sequoiahinge ROLE [--settings FILE] [--folder FOLDER] [--check]\n\n{}",
                    Self::usage()
                );
                process::exit(i32::from(crate::EXIT_INVALID_SETTINGS));
            }
        }
    }
}
