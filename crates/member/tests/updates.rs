//! Checks that the configuration and the member list never go back, in whatever order updates arrive.

mod support;

use std::time::Duration;

use hinge_cases::{async_cases, cases};
use hinge_config::folder;
use hinge_link::{Client, ClusterKey, Limits, Server, serve_call};
use hinge_member::{Member, MemberList, MembersApplied};
use hinge_schema::messages::FetchedConfig;
use hinge_schema::messages::{Announce, ConfigDelta, ConfigFile, FetchConfig, MembersDelta, Role};
use quickcheck::quickcheck;
use viz::{Request, Router};

use support::announce;

fn entry() -> Announce {
    announce("entry-1", Role::Entry)
}

fn sidecar(name: &str) -> hinge_schema::messages::Member {
    hinge_schema::messages::Member {
        config_version: 0,
        data_center: "hall-a".into(),
        incarnation: 1,
        instance: name.into(),
        kv_tokens: 0,
        leaving: false,
        running: None,
        ejected: None,
        model_version: "".into(),
        peer_address: "127.0.0.1:1".into(),
        pool: "forecast".into(),
        role: Role::Sidecar,
        slots: 4,
    }
}

fn full_config(version: u64) -> ConfigDelta {
    let text = format!("[teams.surf]\nshare = {}\n", version + 1);
    let put = vec![ConfigFile {
        name: "10-teams.toml".into(),
        text: text.into(),
    }];
    ConfigDelta {
        base_version: 0,
        version,
        digest: folder::digest(&put),
        put,
        removed: Vec::new(),
    }
}

fn members(epoch: u64, base_version: u64, version: u64, names: &[&str]) -> MembersDelta {
    MembersDelta {
        epoch,
        base_version,
        version,
        put: names.iter().map(|name| sidecar(name)).collect(),
        removed: Vec::new(),
    }
}

fn names(list: &MemberList) -> Vec<&str> {
    list.pool("forecast")
        .iter()
        .map(|member| &*member.instance)
        .collect()
}

quickcheck! {
    fn a_configuration_never_goes_back(versions: Vec<u8>) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime starts");
        let _entered = runtime.enter();
        let member = Member::detached(entry());
        versions.into_iter().map(u64::from).all(|version| {
            let before = member.config_version();
            member.apply_config(&full_config(version));
            let answer = member.answer_fetch(&FetchConfig { config_version: version });
            member.config_version() == before.max(version) && answer.config.is_none_or(|delta| delta.version > version)
        })
    }

    fn a_member_list_never_goes_back_within_an_epoch(versions: Vec<u8>) -> bool {
        let mut list = MemberList::default();
        versions.into_iter().map(u64::from).all(|version| {
            let before = list.version();
            list.apply(&members(0, 0, version, &["a"]), Duration::ZERO);
            list.version() == before.max(version)
        })
    }
}

cases! {
    a_change_based_on_another_list_version_is_refused => {
        let mut list = MemberList::default();
        assert_eq!(list.apply(&members(1, 0, 3, &["a"]), Duration::ZERO), MembersApplied::Advanced);
        assert_eq!(list.apply(&members(1, 4, 5, &["b"]), Duration::ZERO), MembersApplied::NeedsFull);
        assert_eq!(list.apply(&members(2, 3, 4, &["b"]), Duration::ZERO), MembersApplied::NeedsFull);
        assert_eq!(names(&list), ["a"]);
    }
    an_incomplete_list_of_a_new_leader_empties_no_pool => {
        let mut list = MemberList::default();
        list.apply(&members(1, 0, 9, &["a", "b"]), Duration::ZERO);
        list.apply(&members(2, 0, 1, &["a"]), Duration::from_secs(1));
        assert_eq!(names(&list), ["a", "b"]);
        assert!(!list.expire(Duration::from_secs(10)));
        assert!(list.expire(Duration::from_secs(11)));
        assert_eq!(names(&list), ["a"]);
    }
    a_member_that_announces_itself_to_the_new_leader_is_kept => {
        let mut list = MemberList::default();
        list.apply(&members(1, 0, 9, &["a", "b"]), Duration::ZERO);
        list.apply(&members(2, 0, 1, &["a"]), Duration::from_secs(1));
        list.apply(&members(2, 1, 2, &["b"]), Duration::from_secs(2));
        assert!(!list.expire(Duration::from_mins(1)));
        assert_eq!(names(&list), ["a", "b"]);
    }
}

async_cases! {
    a_process_restarted_with_empty_state_is_not_current_before_it_has_a_configuration => {
        let member = Member::detached(entry());
        assert!(!member.is_current());
        member.apply_config(&full_config(3));
        assert!(member.is_current());
    }
}

/// Returns a router that answers configuration fetches.
fn config_router(key: &ClusterKey) -> Router {
    let key = key.clone();
    Router::new().post("/v1/config/fetch", move |request: Request| {
        let key = key.clone();
        async move { serve_call(&key, request, fetch_config).await }
    })
}

async fn fetch_config(_request: FetchConfig) -> Result<FetchedConfig, http::StatusCode> {
    Ok(FetchedConfig {
        config: Some(full_config(3)),
    })
}

async_cases! { real
    a_dropped_fetch_does_not_block_the_next => {
        let key = ClusterKey::derive(b"one");
        let server = Server::bind("127.0.0.1:0", config_router(&key), Limits::default()).await.expect("a free port exists");
        let address = server.local_address().to_string();
        let member = Member::spawn(Client::new(key), entry(), Vec::new());
        let mut dropped = Box::pin(member.fetch_config_from(&address, 3));
        assert!(futures::poll!(&mut dropped).is_pending());
        drop(dropped);
        member.fetch_config_from(&address, 3).await;
        assert_eq!(member.config_version(), 3);
    }
}
