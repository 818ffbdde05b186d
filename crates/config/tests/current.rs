//! Tests that the current configuration never goes back, and never mixes versions.

use std::collections::BTreeMap;

use hinge_cases::cases;
use hinge_config::current::{Applied, CurrentConfig};
use hinge_config::{ConfigDelta, ConfigFile, folder};
use quickcheck::quickcheck;

type Folder = Vec<ConfigFile>;

// Limits that keep the property tests within two seconds in a debug build.
const MAX_VERSIONS: usize = 10;
const MAX_DELTAS: usize = 24;

// Returns the folder at every version; version `i + 1` puts or removes one of four files.
fn folder_versions(edits: &[u8]) -> Vec<Folder> {
    let mut files: BTreeMap<Box<str>, Box<str>> = BTreeMap::new();
    let mut versions = vec![Vec::new()];
    for (index, edit) in edits.iter().enumerate() {
        let name: Box<str> = format!("{}.toml", edit % 4).into();
        if edit & 4 == 0 || files.remove(&name).is_none() {
            files.insert(
                name,
                format!("[teams.t{edit}]\nshare = {}", index + 1).into(),
            );
        }
        let files = files.iter();
        versions.push(
            files
                .map(|(name, text)| ConfigFile {
                    name: name.clone(),
                    text: text.clone(),
                })
                .collect(),
        );
    }
    versions
}

fn delta_between(versions: &[Folder], base: usize, version: usize) -> ConfigDelta {
    let (put, removed) = folder::delta(&versions[base], &versions[version]);
    ConfigDelta {
        base_version: base as u64,
        digest: folder::digest(&versions[version]),
        put,
        removed,
        version: version as u64,
    }
}

fn matches_its_version(config: &CurrentConfig, versions: &[Folder]) -> bool {
    let version = usize::try_from(config.version()).expect("versions are small");
    config.files() == versions[version]
        && config.load().digest == folder::digest(&versions[version])
}

// Checks that `delta_since` brings a peer from every older version to the newest one.
fn every_delta_since_works(config: &CurrentConfig, versions: &[Folder]) -> bool {
    let newest = usize::try_from(config.version()).expect("versions are small");
    (0..newest).all(|lag| {
        let peer = CurrentConfig::empty();
        peer.apply(&delta_between(versions, 0, lag));
        let delta = config.delta_since(peer.version()).expect("the peer lags");
        let is_in_both = |file: &ConfigFile| delta.removed.contains(&file.name);
        assert!(
            !delta.put.iter().any(is_in_both),
            "the order of put and removed must not matter"
        );
        peer.apply(&delta) == Applied::Advanced(config.version())
            && matches_its_version(&peer, versions)
    })
}

fn advance(config: &CurrentConfig, versions: &[Folder]) {
    for version in 1..versions.len() {
        let outcome = config.apply(&delta_between(versions, version - 1, version));
        assert_eq!(outcome, Applied::Advanced(version as u64));
    }
}

quickcheck! {
    fn deltas_in_any_order_never_lower_the_version(edits: Vec<u8>, order: Vec<(u8, u8)>) -> bool {
        let versions = folder_versions(&edits[..edits.len().min(MAX_VERSIONS)]);
        let config = CurrentConfig::empty();
        order.iter().take(MAX_DELTAS).all(|(base, version)| {
            let before = config.version();
            // A third each are full deltas, deltas based on the current version, and deltas based on any version.
            let base = match base % 3 {
                0 => 0,
                1 => usize::try_from(before).expect("versions are small"),
                _ => usize::from(*base) % versions.len(),
            };
            let version = usize::from(*version) % versions.len();
            let outcome = config.apply(&delta_between(&versions, base, version));
            let advanced = outcome == Applied::Advanced(version as u64);
            let expected = version as u64 > before && (base == 0 || base as u64 == before);
            advanced == expected && config.version() == if advanced { version as u64 } else { before }
                && matches_its_version(&config, &versions)
        }) && every_delta_since_works(&config, &versions)
    }
}

cases! {
    a_delta_on_another_base_asks_for_the_whole => {
        let versions = folder_versions(&[0, 1, 2, 3]);
        let config = CurrentConfig::empty();
        assert_eq!(config.apply(&delta_between(&versions, 2, 3)), Applied::NeedsFull);
        advance(&config, &versions[..=3]);
        assert_eq!(config.apply(&delta_between(&versions, 2, 4)), Applied::NeedsFull);
        assert_eq!(config.apply(&delta_between(&versions, 2, 3)), Applied::Ignored);
    }
    a_delta_whose_digest_is_wrong_changes_nothing => {
        let versions = folder_versions(&[0, 1]);
        let config = CurrentConfig::empty();
        advance(&config, &versions[..=1]);
        let mut delta = delta_between(&versions, 1, 2);
        delta.digest ^= 1;
        assert_eq!(config.apply(&delta), Applied::NeedsFull);
        delta = delta_between(&versions, 0, 2);
        delta.digest ^= 1;
        assert!(matches!(config.apply(&delta), Applied::Invalid(_)));
        assert_eq!(config.version(), 1);
    }
    an_invalid_configuration_changes_nothing => {
        let config = CurrentConfig::empty();
        let versions = vec![Vec::new(), vec![ConfigFile { name: "a.toml".into(), text: "[teams.a]\nshare = 0".into() }]];
        let Applied::Invalid(problems) = config.apply(&delta_between(&versions, 0, 1)) else {
            panic!("a zero share is invalid");
        };
        assert_eq!(&*problems[0].key, "teams.a.share");
        assert_eq!((config.version(), config.files().len()), (0, 0));
    }
    a_reader_keeps_its_version_during_an_update => {
        let versions = folder_versions(&[0, 1]);
        let config = CurrentConfig::empty();
        advance(&config, &versions[..=1]);
        let reader = config.current();
        assert_eq!(config.apply(&delta_between(&versions, 1, 2)), Applied::Advanced(2));
        assert_eq!((reader.version, reader.effective.teams.len()), (1, 1));
        assert_eq!((config.load().version, config.load().effective.teams.len()), (2, 2));
    }
    a_peer_that_lags_a_little_gets_only_the_changed_files => {
        let versions = folder_versions(&[0, 1, 2, 3, 1]);
        let config = CurrentConfig::empty();
        advance(&config, &versions);
        let delta = config.delta_since(4).expect("the peer lags");
        assert_eq!((delta.base_version, delta.version, delta.put.len()), (4, 5, 1));
        assert!(config.delta_since(5).is_none());
    }
    a_peer_that_lags_far_gets_the_whole_folder => {
        let versions = folder_versions(&[0; 100]);
        let config = CurrentConfig::empty();
        advance(&config, &versions);
        assert_eq!(config.delta_since(35).expect("the peer lags").base_version, 0);
        assert_eq!(config.delta_since(36).expect("the peer lags").base_version, 36);
    }
}
