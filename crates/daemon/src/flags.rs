//! Defines the command line.

use std::path::PathBuf;
use std::process;
use std::str::FromStr;

use gumdrop::Options;

/// Names the role that this process plays.
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

    /// Returns the word of the command line.
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

/// Holds the flags of `sequoiahinge`.
#[derive(Debug, Options)]
pub(crate) struct Flags {
    /// Prints this help.
    #[options(help = "print this help and exit")]
    help: bool,

    /// Role: `entry`, `sidecar`, `control`, `gateway`, `admission`, `relay`, `stand-in` or `local`.
    #[options(
        free,
        required,
        help = "entry, sidecar, control, gateway, admission, relay, stand-in or local"
    )]
    role: Option<RoleFlag>,

    /// Settings file; `local` and `stand-in` have defaults.
    #[options(meta = "FILE", help = "settings file, in TOML")]
    pub(crate) settings: Option<PathBuf>,

    /// Checks the settings and exits; nothing is started.
    #[options(no_short, help = "check the settings and exit")]
    pub(crate) check: bool,

    /// Folder of the operators' files that `local` puts in force at the start.
    #[options(
        meta = "FOLDER",
        help = "operators' folder that `local` applies at the start"
    )]
    pub(crate) folder: Option<PathBuf>,
}

impl Flags {
    /// Returns the role.
    ///
    /// # Panics
    ///
    /// Panics when the parser let a command line without a role pass.
    pub(crate) fn role(&self) -> RoleFlag {
        self.role.expect("the parser requires a role")
    }

    /// Parses the command line; prints help or the mistake and exits where there is nothing to run.
    pub(crate) fn parse() -> Self {
        let args: Vec<String> = std::env::args().skip(1).collect();
        if args.iter().any(|arg| arg == "--help" || arg == "-h") {
            println!(
                "Usage: sequoiahinge ROLE [--settings FILE] [--check]\n\n{}",
                Self::usage()
            );
            process::exit(0);
        }
        match Self::parse_args_default(&args) {
            Ok(flags) => flags,
            Err(error) => {
                eprintln!(
                    "sequoiahinge: {error}\n\nUsage: sequoiahinge ROLE [--settings FILE] [--check]\n\n{}",
                    Self::usage()
                );
                process::exit(i32::from(crate::EXIT_SETTINGS));
            }
        }
    }
}
