//! Tests of reloaded settings, and of control instances that found a fleet from a list of addresses alone.

use std::fs;
use std::net::SocketAddr;

use hinge_cases::async_cases;
use tokio::net::TcpSocket;

use crate::process::{self, Process};
use crate::reserve::reserve;

/// Reserves a loopback address for as long as the socket is held.
fn reserve_address() -> (TcpSocket, String) {
    let socket = reserve(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port is free");
    let address = socket.local_addr().expect("it is bound").to_string();
    (socket, address)
}

const HEAD: &str =
    "cluster_id = \"tests\"\ncluster_key = \"a key for tests only\"\ndata_center = \"hall-a\"\n";

async_cases! { real
    a_hangup_reloads_the_settings_and_ends_nothing => {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let path = folder.path().join("gateway.toml");
        let text = |control: &str| format!(
            "instance = \"gateway-1\"\n{HEAD}control_addresses = [\"{control}\"]\n\n[gateway]\nlisten = \"127.0.0.1:0\"\nready_listen = \"127.0.0.1:0\"\n"
        );
        fs::write(&path, text("127.0.0.1:1")).expect("the settings can be written");
        let mut gateway = process::spawn("gateway", path.clone());
        gateway.wait_for_log("[gateway] Listening.").await;
        gateway.hang_up();
        gateway.wait_for_log("Reloaded settings without a change.").await;
        fs::write(&path, text("127.0.0.1:2")).expect("the settings can be written");
        gateway.wait_for_log("Reloaded settings.").await;
        fs::write(&path, "instance = 1").expect("the settings can be written");
        gateway.wait_for_log("the former ones stay in force").await;
        gateway.terminate();
        assert!(gateway.wait_for_exit().await.success());
    }
    control_instances_found_a_fleet_from_addresses_alone => {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let (_reserved, addresses): (Vec<TcpSocket>, Vec<String>) = (0..3).map(|_| reserve_address()).unzip();
        let founders = addresses.iter().map(|address| format!("\"{address}\"")).collect::<Vec<_>>().join(", ");
        let start = |number: usize, folder_name: &str, bootstrap: bool| {
            let path = folder.path().join(format!("control-{number}.toml"));
            let data = folder.path().join(folder_name);
            let text = format!(
                "instance = \"any-{number}\"\n{HEAD}peer_listen = \"{}\"\ndata_folder = \"{}\"\n\n[control]\nbootstrap = {bootstrap}\nfounders = [{founders}]\n",
                addresses[number], data.display()
            );
            fs::write(&path, text).expect("the settings can be written");
            process::spawn("control", path)
        };
        let mut control: Vec<Process> = (0..3).map(|number| start(number, &format!("data-{number}"), true)).collect();
        for instance in &mut control {
            instance.wait_for_log("Counting for the quorum.").await;
        }
        // An instance that returns with an empty data folder becomes a voter again without an operator.
        control[2].kill().await;
        control[2] = start(2, "data-2-new", false);
        control[2].wait_for_log("Counting for the quorum.").await;
    }
}
