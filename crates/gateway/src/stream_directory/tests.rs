//! Checks how a gateway that has just started learns of the others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hinge_cases::async_cases;
use hinge_link::{Client, ClusterKey, Limits, Server, ServerHandle};
use hinge_telemetry::metrics::Registry;
use viz::Router;

use super::{StreamDirectory, add_routes, lock};

const OWN: &str = "127.0.0.1:1";
const NEAR: &str = "127.0.0.1:2";
const FAR: &str = "127.0.0.1:3";

fn cluster_key() -> ClusterKey {
    ClusterKey::derive(b"a secret of this test")
}

fn texts(addresses: &[&str]) -> Vec<Box<str>> {
    addresses.iter().map(|address| (*address).into()).collect()
}

fn addresses(list: impl Iterator<Item = SocketAddr>) -> Vec<String> {
    let mut texts: Vec<String> = list.map(|address| address.to_string()).collect();
    texts.sort_unstable();
    texts
}

/// Serves a directory that knows these others.
async fn serve(near: &[&str], far: &[&str]) -> ServerHandle {
    let directory = Arc::new(StreamDirectory::register(&Registry::new()));
    directory.add_peers(&texts(near), &texts(far));
    let router = add_routes(Router::new(), &cluster_key(), &directory);
    let server = Server::bind("127.0.0.1:0", router, Limits::default()).await;
    server.expect("a port is free")
}

/// Lets a gateway ask the only one that it knows, and returns the near and the far ones that it knows then.
async fn ask(server: ServerHandle, is_near: bool) -> [Vec<String>; 2] {
    let known = server.local_address().to_string();
    let directory = StreamDirectory::register(&Registry::new());
    let own = OWN.parse().expect("it is an address");
    if is_near {
        directory.add_peers(&texts(&[&known]), &[]);
    } else {
        directory.add_peers(&[], &texts(&[&known]));
    }
    directory
        .ask_for_peers(&Client::new(cluster_key()), "gateway-1", own)
        .await;
    server.stop(Duration::ZERO).await;
    let peers = lock(&directory.peers);
    let lists = [&peers.near, &peers.far];
    lists.map(|list| {
        addresses(
            list.addresses()
                .filter(|address| address.to_string() != known),
        )
    })
}

async_cases! { real
    // Guards against streams that are refused since control was started a moment ago as well.
    a_gateway_learns_of_others_from_one_of_its_data_centre => {
        let server = serve(&[OWN, NEAR], &[FAR]).await;
        assert_eq!(ask(server, true).await, [vec![NEAR.to_owned()], vec![FAR.to_owned()]]);
    }
    a_gateway_learns_of_others_from_one_of_another_data_centre => {
        let server = serve(&[FAR], &[OWN, NEAR]).await;
        assert_eq!(ask(server, false).await, [vec![], vec![FAR.to_owned()]]);
    }
}
