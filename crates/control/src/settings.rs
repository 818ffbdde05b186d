//! Settings of the control role and the relay role.

use std::path::PathBuf;
use std::time::Duration;

use hinge_routing::DataCenters;
use hinge_state::LeaseLimits;

/// A control instance that takes part in the first start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name of the instance.
    pub instance: Box<str>,
    /// Address at which the other control instances reach it.
    pub address: Box<str>,
}

/// Settings of a control instance.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Name of the instance.
    pub instance: Box<str>,
    /// Name of the fleet.
    pub cluster_id: Box<str>,
    /// Address to bind.
    pub listen: Box<str>,
    /// Address that the other control instances use; defaults to the bound address.
    pub advertise: Option<Box<str>>,
    /// Folder of the log. Without one the log is in memory, and the instance replicates from those that have a disk but
    /// doesn't vote; it leads only a fleet of which it is the single founder, as in the `local` role.
    pub data_folder: Option<PathBuf>,
    /// Control instances of the first start, this one included.
    pub peers: Vec<Peer>,
    /// Whether an empty folder may form a new fleet from `peers`.
    pub bootstrap: bool,
    /// Number of instances that may be lost at once: the log gets at least `2 * n + 1` voters, as far as there are enough
    /// instances.
    pub tolerated_losses: u32,
    /// Time without a leader after which an election starts.
    pub election_timeout: Duration,
    /// Time between a leader's heartbeats.
    pub heartbeat: Duration,
    /// Entries of the log between snapshots.
    pub snapshot_every_entries: u64,
    /// Log size in bytes that triggers an early snapshot.
    pub max_log_bytes: usize,
    /// Longest time that a watch is held open.
    pub watch_timeout: Duration,
    /// Bounds of the members' leases.
    pub member_rules: LeaseLimits,
    /// All data centres with their regions; with none, every data centre is known.
    pub data_centers: DataCenters,
}

impl ControlSettings {
    /// Returns settings with the defaults of the settings file, except for a shorter log, which saves memory.
    #[must_use]
    pub fn new(instance: &str, cluster_id: &str, listen: &str) -> Self {
        Self {
            instance: instance.into(),
            cluster_id: cluster_id.into(),
            listen: listen.into(),
            advertise: None,
            data_folder: None,
            peers: Vec::new(),
            bootstrap: false,
            tolerated_losses: 0,
            election_timeout: Duration::from_secs(1),
            heartbeat: Duration::from_millis(200),
            snapshot_every_entries: 10_000,
            max_log_bytes: 2 << 20,
            watch_timeout: Duration::from_secs(30),
            member_rules: LeaseLimits::default(),
            data_centers: DataCenters::default(),
        }
    }

    /// Returns whether there is a data centre of this name, as far as the settings tell.
    #[must_use]
    pub fn has_data_center(&self, name: &str) -> bool {
        self.data_centers.is_empty() || self.data_centers.region(name).is_some()
    }

    /// Returns whether the log is kept in memory only.
    #[must_use]
    pub fn is_diskless(&self) -> bool {
        self.data_folder.is_none()
    }
}

/// Sets up a relay.
#[derive(Debug, Clone)]
pub struct RelaySettings {
    /// Name of the instance.
    pub instance: Box<str>,
    /// Data centre of the instance.
    pub data_center: Box<str>,
    /// Address to bind.
    pub listen: Box<str>,
    /// Address for the members below; the bound address when left out.
    pub advertise: Option<Box<str>>,
    /// Addresses of control instances, tried in turn.
    pub control: Vec<Box<str>>,
    /// Time between reports of sums and announcements to control.
    pub report_interval: Duration,
    /// Longest time that a watch is held open.
    pub watch_timeout: Duration,
    /// Bounds of the members' leases.
    pub member_rules: LeaseLimits,
}

impl RelaySettings {
    /// Returns settings with the defaults of the settings file.
    #[must_use]
    pub fn new(instance: &str, data_center: &str, listen: &str, control: Vec<Box<str>>) -> Self {
        Self {
            instance: instance.into(),
            data_center: data_center.into(),
            listen: listen.into(),
            advertise: None,
            control,
            report_interval: Duration::from_secs(1),
            watch_timeout: Duration::from_secs(30),
            member_rules: LeaseLimits::default(),
        }
    }
}
