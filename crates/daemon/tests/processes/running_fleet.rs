//! A whole fleet of processes, with the example configuration in force.

use hinge_fakes::stand_in::{StandIn, StandInSettings};

use crate::caller::Caller;
use crate::fleet::Fleet;
use crate::process::Process;

/// The processes and endpoints of a fleet to start.
#[derive(Debug, Default)]
pub(crate) struct FleetLayout<'a> {
    pub(crate) control: usize,
    pub(crate) entries: usize,
    /// Pool and endpoint of each sidecar.
    pub(crate) sidecars: &'a [(&'a str, StandInSettings)],
    /// Settings added to the section of every sidecar.
    pub(crate) sidecar_settings: &'a str,
}

/// The processes of a fleet in which a configuration is in force.
#[derive(Debug)]
pub(crate) struct RunningFleet {
    pub(crate) setup: Fleet,
    pub(crate) control: Vec<Process>,
    pub(crate) entries: Vec<Process>,
    pub(crate) sidecars: Vec<Process>,
    /// Endpoints, each served by the sidecar of the same index.
    pub(crate) stand_ins: Vec<StandIn>,
    /// Version of the configuration in force.
    pub(crate) version: u64,
}

impl RunningFleet {
    pub(crate) async fn open(layout: FleetLayout<'_>) -> Self {
        let setup = Fleet::new(layout.control);
        let control = setup.start_control();
        let (mut sidecars, mut stand_ins) = (Vec::new(), Vec::new());
        for (idx, (pool, settings)) in layout.sidecars.iter().enumerate() {
            let stand_in = setup.stand_in(settings.clone()).await;
            let name = format!("sidecar-{idx}");
            let endpoint = stand_in.local_address();
            sidecars.push(setup.start_sidecar_with(&name, pool, endpoint, layout.sidecar_settings));
            stand_ins.push(stand_in);
        }
        let names = (0..layout.entries).map(|idx| format!("entry-{idx}"));
        let entries = names.map(|name| setup.start_entry(&name)).collect();
        let version = setup.apply_example().await;
        let mut running = Self {
            setup,
            control,
            entries,
            sidecars,
            stand_ins,
            version,
        };
        running.in_force(version).await;
        running
    }

    /// Waits until a version is in force at every entry and sidecar.
    pub(crate) async fn in_force(&mut self, version: u64) {
        for process in self.entries_and_sidecars() {
            process.wait_until_in_force(version).await;
        }
    }

    /// Checks that no entry and no sidecar ever went back to an older version.
    pub(crate) async fn assert_versions_rose(&mut self) {
        for process in self.entries_and_sidecars() {
            // Log lines are written in order but with a delay: once this line is there, so are all earlier ones.
            process.hang_up();
            process
                .wait_for_log("Reloaded settings without a change.")
                .await;
            let versions = process.applied_versions();
            assert!(
                versions.is_sorted_by(|older, newer| older < newer),
                "{versions:?}"
            );
        }
    }

    /// Kills every control instance.
    pub(crate) async fn kill_control(&mut self) {
        for process in &mut self.control {
            process.kill().await;
        }
    }

    /// Kills every process, then restarts each with its former settings and data folder.
    pub(crate) async fn restart_all(&mut self) {
        let all = self.control.iter_mut().chain(&mut self.sidecars);
        let mut all: Vec<&mut Process> = all.chain(&mut self.entries).collect();
        for process in &mut all {
            process.kill().await;
        }
        for process in all {
            process.restart();
        }
    }

    /// Returns a caller that sends its requests to an entry.
    pub(crate) async fn caller(&mut self, entry: usize, key: &'static str) -> Caller {
        Caller::new(self.entries[entry].address_after("callers=").await, key)
    }

    /// Returns how many requests began to run, at all endpoints together.
    pub(crate) fn begun(&self) -> u32 {
        self.stand_ins
            .iter()
            .map(|stand_in| stand_in.record().begun())
            .sum()
    }

    fn entries_and_sidecars(&mut self) -> impl Iterator<Item = &mut Process> {
        self.sidecars.iter_mut().chain(&mut self.entries)
    }
}

/// Returns the settings of an endpoint that generates so many tokens a second.
pub(crate) fn slow_endpoint(tokens_per_second: u32) -> StandInSettings {
    StandInSettings {
        tokens_per_second,
        ..StandInSettings::default()
    }
}

/// Returns the settings of an endpoint that answers at once.
pub(crate) fn fast_endpoint() -> StandInSettings {
    StandInSettings::default()
}
