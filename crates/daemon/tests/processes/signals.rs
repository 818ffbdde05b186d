//! Tests that a signal at any step of a start is neither lost nor ends the process by the system's default.

use std::fs::{self, File};
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::Command;

use hinge_cases::async_cases;

use crate::process::{self, Process};

const HEAD: &str = "instance = \"under-test\"\ndata_center = \"hall-a\"\ncluster_id = \"tests\"\ncluster_key = \"a key for tests only\"\ncontrol_addresses = [\"127.0.0.1:1\"]\n";

const RELOADED: &str = "Reloaded settings without a change.";

/// A role under test: its settings, and the log lines that mark the steps of its start.
struct Role {
    name: &'static str,
    section: &'static str,
    steps: &'static [&'static str],
    hangup: HangupEffect,
}

/// What a role does on SIGHUP.
#[derive(Clone, Copy, PartialEq, Eq)]
enum HangupEffect {
    Reloads,
    Stops,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Signal {
    Terminate,
    HangUp,
}

impl Signal {
    const BOTH: [Self; 2] = [Self::Terminate, Self::HangUp];

    fn send(self, process: &Process) {
        match self {
            Self::Terminate => process.terminate(),
            Self::HangUp => process.hang_up(),
        }
    }
}

/// Sends each signal while the process waits for its settings, and after each log line of its start.
async fn check_signals_during_start(role: Role) {
    for signal in Signal::BOTH {
        check_signal_before_settings(&role, signal).await;
        for step in role.steps {
            let folder = tempfile::tempdir().expect("a temporary folder can be created");
            let path = write_settings(&role, folder.path());
            let mut process = process::spawn(role.name, path);
            process.wait_for_log(step).await;
            signal.send(&process);
            check_effect(&role, signal, process).await;
        }
    }
}

/// Sends a signal while the process blocks on its settings file, which is a pipe that nothing was written to.
async fn check_signal_before_settings(role: &Role, signal: Signal) {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let file = write_settings(role, folder.path());
    let text = fs::read_to_string(&file).expect("the settings can be read");
    let pipe = folder.path().join("pipe.toml");
    let made = Command::new("mkfifo").arg(&pipe).status();
    assert!(made.expect("mkfifo runs").success());
    let process = process::spawn(role.name, pipe.clone());
    let writer = {
        let pipe = pipe.clone();
        // Opening the pipe for writing blocks until the process opens it for reading.
        tokio::task::spawn_blocking(move || File::options().write(true).open(pipe))
    };
    let mut writer = writer
        .await
        .expect("opening does not panic")
        .expect("the pipe can be opened");
    signal.send(&process);
    // A reload then finds an ordinary file.
    fs::rename(&file, &pipe).expect("the pipe can be replaced");
    let _ended_already = writer.write_all(text.as_bytes());
    drop(writer);
    check_effect(role, signal, process).await;
}

/// Checks that the signal has the same effect as after the start.
async fn check_effect(role: &Role, signal: Signal, mut process: Process) {
    if signal == Signal::HangUp && role.hangup == HangupEffect::Reloads {
        process.wait_for_log(RELOADED).await;
        process.terminate();
    }
    let status = process.wait_for_exit().await;
    assert!(
        status.success(),
        "{signal:?}: {status}; the log is:\n{}",
        process.log()
    );
}

fn write_settings(role: &Role, folder: &Path) -> PathBuf {
    let path = folder.join("settings.toml");
    let data = folder.join("data");
    let section = role.section.replace("DATA", &data.display().to_string());
    fs::write(&path, format!("{HEAD}{section}")).expect("the settings can be written");
    path
}

async_cases! { real
    a_gateway_that_is_signalled_as_it_starts_stops_or_reloads_as_planned => {
        check_signals_during_start(Role {
            name: "gateway",
            section: "[gateway]\nlisten = \"127.0.0.1:0\"\nready_listen = \"127.0.0.1:0\"\nrotation_ms = 0\n",
            steps: &["[daemon] Starting.", "[admin] Listening.", "[gateway] Listening."],
            hangup: HangupEffect::Reloads,
        })
        .await;
    }
    an_admission_that_is_signalled_as_it_starts_stops_or_reloads_as_planned => {
        check_signals_during_start(Role {
            name: "admission",
            section: "[admission]\nengine = \"127.0.0.1:1\"\n",
            steps: &["[daemon] Starting.", "[admin] Listening."],
            hangup: HangupEffect::Reloads,
        })
        .await;
    }
    a_control_instance_that_is_signalled_as_it_starts_stops_or_reloads_as_planned => {
        check_signals_during_start(Role {
            name: "control",
            section: "peer_listen = \"127.0.0.1:0\"\ndata_folder = \"DATA\"\n[control]\nbootstrap = true\n[[control.peers]]\ninstance = \"under-test\"\naddress = \"127.0.0.1:1\"\n",
            steps: &["[daemon] Starting.", "[admin] Listening.", "[control] Listening."],
            hangup: HangupEffect::Reloads,
        })
        .await;
    }
    an_entry_that_is_signalled_as_it_starts_stops_or_reloads_as_planned => {
        check_signals_during_start(Role {
            name: "entry",
            section: "[entry]\ncallers_listen = \"127.0.0.1:0\"\n",
            steps: &["[daemon] Starting.", "[admin] Listening.", "[entry] Listening."],
            hangup: HangupEffect::Reloads,
        })
        .await;
    }
    a_sidecar_that_is_signalled_as_it_starts_stops_or_reloads_as_planned => {
        check_signals_during_start(Role {
            name: "sidecar",
            section: "[sidecar]\nendpoint_address = \"127.0.0.1:1\"\npool = \"forecast\"\n",
            steps: &["[daemon] Starting.", "[admin] Listening.", "[sidecar] Listening."],
            hangup: HangupEffect::Reloads,
        })
        .await;
    }
    a_relay_that_is_signalled_as_it_starts_stops_or_reloads_as_planned => {
        check_signals_during_start(Role {
            name: "relay",
            section: "",
            steps: &["[daemon] Starting.", "[admin] Listening.", "[relay] Listening."],
            hangup: HangupEffect::Reloads,
        })
        .await;
    }
    a_stand_in_that_is_signalled_as_it_starts_stops_as_planned => {
        check_signals_during_start(Role {
            name: "stand-in",
            section: "[stand_in]\nlisten = \"127.0.0.1:0\"\n",
            steps: &["[daemon] Starting.", "Listening."],
            hangup: HangupEffect::Stops,
        })
        .await;
    }
    all_roles_in_one_process_that_is_signalled_as_it_starts_stop_as_planned => {
        check_signals_during_start(Role {
            name: "local",
            section: "[entry]\ncallers_listen = \"127.0.0.1:0\"\n[sidecar]\nendpoint_address = \"127.0.0.1:1\"\npool = \"forecast\"\n",
            steps: &["[daemon] Starting.", "[admin] Listening.", "[control] Listening."],
            hangup: HangupEffect::Stops,
        })
        .await;
    }
}
