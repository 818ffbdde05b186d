//! Addresses and key for control, from the command line or else from the environment.

use std::path::Path;
use std::time::Duration;

use hinge_config::secret::Secret;
use hinge_link::ClusterKey;

use crate::Environment;
use crate::args::GlobalFlags;
use crate::control_client::ControlClient;
use crate::failure::Failure;

/// Default time limit of a command; an election takes one or two seconds, so 15 s cover several.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// Default wait for a version; changes are in force within 7 s, and a minute also covers the restart of an instance.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// The control addresses and the operator's key file. Neither is checked until a command needs it.
#[derive(Debug)]
pub(crate) struct ControlConfig {
    control: Option<String>,
    key_file: Option<String>,
    timeout: Option<Duration>,
}

impl ControlConfig {
    pub(crate) fn resolve(flags: &GlobalFlags, environment: &Environment) -> Self {
        let flag_or_env = |flag: &Option<String>, fallback: &Option<String>| {
            flag.clone().or_else(|| fallback.clone())
        };
        Self {
            control: flag_or_env(&flags.control, &environment.control),
            key_file: flag_or_env(&flags.operator_key, &environment.key_file),
            timeout: flags.timeout,
        }
    }

    /// Returns whether control addresses were given.
    pub(crate) fn is_given(&self) -> bool {
        self.control.is_some()
    }

    /// Returns the time limit of a call to control.
    pub(crate) fn answer_timeout(&self) -> Duration {
        self.timeout.unwrap_or(ANSWER_TIMEOUT)
    }

    /// Returns how long to wait for the fleet to reach a state.
    pub(crate) fn wait_timeout(&self) -> Duration {
        self.timeout.unwrap_or(WAIT_TIMEOUT)
    }

    /// Reads the key and returns a client for control; no connection is opened yet.
    ///
    /// # Errors
    ///
    /// Returns a failure that says which flag is missing, or what is wrong with the key file.
    pub(crate) fn client(&self) -> Result<ControlClient, Failure> {
        let Some(control) = &self.control else {
            return Err(Failure::invalid(
                "where is control? give --control ADDRESS[,ADDRESS], or set SEQUOIACTL_CONTROL",
            ));
        };
        let addresses: Vec<Box<str>> = control
            .split(',')
            .map(str::trim)
            .filter(|address| !address.is_empty())
            .map(Box::from)
            .collect();
        if let Some(invalid) = addresses.iter().find(|address| !has_port(address)) {
            return Err(Failure::invalid(format!(
                "--control {invalid} is not an address; allowed is HOST:PORT, as in 10.0.0.1:7000"
            )));
        }
        if addresses.is_empty() {
            return Err(Failure::invalid(
                "--control contains no address; allowed is HOST:PORT[,HOST:PORT]",
            ));
        }
        Ok(ControlClient::new(
            addresses,
            self.key()?,
            self.answer_timeout(),
        ))
    }

    fn key(&self) -> Result<ClusterKey, Failure> {
        let Some(path) = &self.key_file else {
            return Err(Failure::invalid(
                "who are you? give --operator-key FILE, or set SEQUOIACTL_KEY_FILE",
            ));
        };
        let secret =
            Secret::read(Path::new(path)).map_err(|error| Failure::invalid(error.to_string()))?;
        Ok(ClusterKey::derive(secret.expose()))
    }
}

fn has_port(address: &str) -> bool {
    address
        .rsplit_once(':')
        .is_some_and(|(host, port)| !host.is_empty() && port.parse::<u16>().is_ok())
}
