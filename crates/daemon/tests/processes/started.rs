//! Starts a whole fleet and waits until the example configuration is in force.

use hinge_fakes::stand_in::{StandIn, StandInSettings};

use crate::caller::Caller;
use crate::fleet::Fleet;
use crate::process::Process;

/// Says what to start.
#[derive(Debug, Default)]
pub(crate) struct Plan<'a> {
    pub(crate) control: usize,
    pub(crate) entries: usize,
    /// Pool and endpoint of each sidecar.
    pub(crate) sidecars: &'a [(&'a str, StandInSettings)],
    /// Further settings of all sidecars.
    pub(crate) sidecar_settings: &'a str,
}

/// Holds the processes of a fleet in which a configuration is in force.
#[derive(Debug)]
pub(crate) struct Started {
    pub(crate) fleet: Fleet,
    pub(crate) control: Vec<Process>,
    pub(crate) entries: Vec<Process>,
    pub(crate) sidecars: Vec<Process>,
    /// Endpoints, each beside the sidecar of the same index.
    pub(crate) stand_ins: Vec<StandIn>,
    /// Version in force.
    pub(crate) version: u64,
}

impl Started {
    pub(crate) async fn open(plan: Plan<'_>) -> Self {
        let fleet = Fleet::new(plan.control);
        let control = fleet.start_control();
        let (mut sidecars, mut stand_ins) = (Vec::new(), Vec::new());
        for (idx, (pool, settings)) in plan.sidecars.iter().enumerate() {
            let stand_in = fleet.stand_in(settings.clone()).await;
            let name = format!("sidecar-{idx}");
            let endpoint = stand_in.local_address();
            sidecars.push(fleet.start_sidecar_with(&name, pool, endpoint, plan.sidecar_settings));
            stand_ins.push(stand_in);
        }
        let names = (0..plan.entries).map(|idx| format!("entry-{idx}"));
        let entries = names.map(|name| fleet.start_entry(&name)).collect();
        let version = fleet.apply_example().await;
        let mut started = Self {
            fleet,
            control,
            entries,
            sidecars,
            stand_ins,
            version,
        };
        started.in_force(version).await;
        started
    }

    /// Waits until a version is in force at every entry and sidecar.
    pub(crate) async fn in_force(&mut self, version: u64) {
        for process in self.members() {
            process.wait_until_in_force(version).await;
        }
    }

    /// Checks that no entry and no sidecar ever stepped back.
    pub(crate) async fn assert_versions_rose(&mut self) {
        for process in self.members() {
            // Lines are written in their order, a moment after they came: with this one, all before it are there.
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

    /// Kills every process, and then starts all of them again, each with the settings and the data folder that it had.
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

    /// Returns a caller of an entry.
    pub(crate) async fn caller(&mut self, entry: usize, key: &'static str) -> Caller {
        Caller::new(self.entries[entry].address_after("callers=").await, key)
    }

    /// Returns how many runs began at all endpoints.
    pub(crate) fn begun(&self) -> u32 {
        self.stand_ins
            .iter()
            .map(|stand_in| stand_in.record().begun())
            .sum()
    }

    fn members(&mut self) -> impl Iterator<Item = &mut Process> {
        self.sidecars.iter_mut().chain(&mut self.entries)
    }
}

/// Returns an endpoint whose answers take a while.
pub(crate) fn slow(tokens_per_second: u32) -> StandInSettings {
    StandInSettings {
        tokens_per_second,
        ..StandInSettings::default()
    }
}

/// Returns an endpoint that answers at once.
pub(crate) fn fast() -> StandInSettings {
    StandInSettings::default()
}
