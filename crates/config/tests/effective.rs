//! Tests of merging the operators' files: order, origins and error messages.

use std::fs;

use hinge_cases::cases;
use hinge_config::effective::{EffectiveConfig, key_hash};
use hinge_config::{ConfigFile, folder};
use quickcheck::quickcheck;

const HASH: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

fn file(name: &str, text: &str) -> ConfigFile {
    ConfigFile {
        name: name.into(),
        text: text.into(),
    }
}

fn merged(texts: &[(&str, &str)]) -> EffectiveConfig {
    let files: Vec<_> = texts.iter().map(|(name, text)| file(name, text)).collect();
    EffectiveConfig::merge(&files).expect("the files are valid")
}

// Merges the text, as `b.toml`, after a valid `a.toml`, and checks the problem that is reported.
fn is_rejected((text, line, key, message): (&str, u32, &str, &str)) {
    let valid = format!(
        "[teams.surf]\nshare = 3\nkey_sha256 = ['{HASH}']\n[pools.llm]\nkind = 'model'\nserves = ['m']"
    );
    let files = [file("b.toml", text), file("a.toml", &valid)];
    let problems = EffectiveConfig::merge(&files).expect_err("the text has an error");
    let [problem] = &*problems else {
        panic!("one error gives one problem: {problems:?}");
    };
    assert_eq!(
        (&*problem.file, problem.line, &*problem.key),
        ("b.toml", line, key),
        "{problem:?}"
    );
    assert!(problem.message.contains(message), "{problem:?}");
}

cases! { is_rejected:
    invalid_toml => ("[teams", 1, "", "unclosed table"),
    an_unknown_key => ("[teams.surf]\nshares = 1", 2, "teams.surf.shares", "did you mean share?"),
    no_share => ("[teams.x]\nmax_waiting = 1", 1, "teams.x.share", "missing"),
    a_zero_share => ("[teams.surf]\nshare = 0", 2, "teams.surf.share", "allowed are 1 to 1000000"),
    a_share_with_a_fraction => ("[teams.surf]\nshare = 0.5", 2, "teams.surf.share", "allowed is an integer"),
    a_team_name_with_a_dot => ("[teams.'a.b']\nshare = 1", 1, "teams.a.b", "letters"),
    a_percentage_above_100 => ("[pools.llm]\nfloor = 100.1", 2, "pools.llm.floor", "percentage from 0 to 100"),
    a_percentage_that_is_no_number => ("[limits]\nretry_budget = nan", 2, "limits.retry_budget", "percentage"),
    a_short_hash => ("[teams.surf]\nkey_sha256 = [\n'ab']", 3, "teams.surf.key_sha256", "64 hexadecimal digits"),
    a_key_of_two_teams => ("[teams.x]\nshare = 1\nkey_sha256 = ['00112233445566778899AABBCCDDEEFF00112233445566778899aabbccddeeff']", 3, "teams.x.key_sha256", "team surf already (a.toml:3)"),
    a_kind_that_is_unknown => ("[pools.p]\nkind = 'gpu'", 2, "pools.p.kind", "allowed are model, service"),
    a_model_that_two_pools_serve => ("[pools.p]\nkind = 'model'\nserves = ['n',\n'm']", 4, "pools.p.serves", "pool llm serves m already"),
    a_pool_whose_work_costs_nothing => ("[pools.llm.weights]\ngenerated_units = 0", 2, "pools.llm.weights.generated_units", "allowed is 1 or more"),
    a_stop_without_a_target => ("[stops.s]\nfrom = 1", 1, "stops.s", "either instance, or pool"),
    a_stop_of_an_instance_and_a_pool => ("[stops.s]\nfrom = 1\ninstance = 'i'\npool = 'llm'", 1, "stops.s", "either instance"),
    a_stop_of_an_unknown_pool => ("[stops.s]\nfrom = 1\npool = 'lmm'", 3, "stops.s.pool", "did you mean llm?"),
    a_stop_at_a_time_without_offset => ("[stops.s]\npool = 'llm'\nfrom = 2030-01-01T00:00:00", 3, "stops.s.from", "with its offset"),
    an_upgrade_of_a_model_and_an_adapter => ("[upgrades.u]\npool = 'llm'\nversion = '2'\nmodel = 'm'\nadapter = 'a'", 1, "upgrades.u", "exactly one"),
    an_upgrade_to_an_empty_version => ("[upgrades.u]\npool = 'llm'\nversion = ''\nmodel = 'm'", 3, "upgrades.u.version", "empty"),
    an_empty_window => ("[upgrades.u]\npool = 'llm'\nversion = '2'\nmodel = 'm'\nwindow = {from = '02:00', until = 02:00:00}", 5, "upgrades.u.window.until", "empty"),
    an_objective_of_an_unknown_team => ("[objectives.o]\nteam = 'q'\nwhat = 'answered_whole'\ntarget = 99", 2, "objectives.o.team", "allowed are the names under teams"),
    an_objective_without_a_budget => ("[objectives.o]\nwhat = 'answered_whole'\ntarget = 100", 3, "objectives.o.target", "below 100"),
    an_objective_without_its_threshold => ("[objectives.o]\nwhat = 'waiting_ms'\ntarget = 99", 1, "objectives.o.threshold_ms", "allowed is 1 or more"),
}

cases! {
    a_later_file_overrides_key_by_key => {
        let config = merged(&[
            ("20.toml", "[teams.surf]\nshare = 5\n[limits]\noffers_per_request = 4"),
            ("10.toml", "[teams.surf]\nshare = 3\nmax_waiting = 9\n[teams.board]\nshare = 1"),
        ]);
        let surf = config.teams.get("surf").expect("the team is there");
        assert_eq!((surf.share, surf.max_waiting, config.limits.offers_per_request), (5, 9, 4));
        let origin = |path| config.origin(path).map(|origin| (origin.file, origin.line));
        assert_eq!(origin("teams.surf.share"), Some(("20.toml", 2)));
        assert_eq!(origin("teams.surf.max_waiting"), Some(("10.toml", 3)));
        assert_eq!(origin("teams.surf.urgent_allowance"), None, "a default has no origin");
        assert_eq!(config.origins().count(), 4);
    }
    a_later_list_replaces_the_whole_list => {
        let config = merged(&[
            ("a.toml", "[pools.p]\nkind = 'model'\nserves = ['x', 'y']"),
            ("b.toml", "[pools.p]\nserves = ['z']"),
        ]);
        assert_eq!(config.pool_serving("z").map(|(name, _)| name), Some("p"));
        assert!(config.pool_serving("x").is_none());
        assert_eq!(config.origin("pools.p.serves").map(|origin| origin.file), Some("b.toml"));
    }
    a_team_is_found_by_the_hash_of_a_key => {
        let config = merged(&[("a.toml", &format!("[teams.surf]\nshare = 1\nkey_sha256 = ['{HASH}']"))]);
        let hash = key_hash(HASH).expect("the hash is well formed");
        assert_eq!(config.team_by_key(&hash).map(|(name, _)| name), Some("surf"));
        assert!(config.team_by_key(&[0; 32]).is_none());
    }
    times_and_percentages_are_converted_to_one_unit => {
        let config = merged(&[("a.toml", "[stops.s]\ninstance = 'i'\nfrom = 2030-01-31T02:00:00+01:00\n[stops.t]\ninstance = 'i'\nfrom = '2000-02-29T00:00:00Z'\n[limits]\nretry_budget = 12.5")]);
        assert_eq!(config.stops.get("s").expect("the stop is there").from, 1_896_051_600_000);
        assert_eq!(config.stops.get("t").expect("the stop is there").from, 951_782_400_000);
        assert_eq!(config.limits.retry_budget, 125_000);
    }
    a_folder_is_read_as_its_toml_files_in_order => {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        for name in ["b.toml", "a.toml", ".c.toml", "d.toml~", "e.txt"] {
            fs::write(folder.path().join(name), "# text").expect("a file can be written");
        }
        let files = folder::read(folder.path()).expect("the folder can be read");
        let names: Vec<_> = files.iter().map(|file| &*file.name).collect();
        assert_eq!(names, ["a.toml", "b.toml"]);
        fs::write(folder.path().join("c.toml"), vec![b'#'; folder::MAX_FILE_BYTES + 1]).expect("a file can be written");
        let error = folder::read(folder.path()).expect_err("a file is too long");
        assert!(error.to_string().contains("c.toml is too long; allowed are 1048576 bytes"), "{error}");
    }
    invalid_file_names_are_rejected => {
        let problems = EffectiveConfig::merge(&[file("../x.toml", ""), file("x.txt", ""), file("y.toml", ""), file("y.toml", "")]);
        assert_eq!(problems.expect_err("three errors").len(), 3);
    }
    a_digest_separates_name_and_text_and_ignores_the_order => {
        let (a, b) = (file("a.toml", "b"), file("a.tomlb", ""));
        assert_ne!(folder::digest(std::slice::from_ref(&a)), folder::digest(std::slice::from_ref(&b)));
        assert_eq!(folder::digest(&[a.clone(), b.clone()]), folder::digest(&[b, a]));
        assert_eq!(folder::digest(&[]), 0xe3b0_c442_98fc_1c14, "stable: the start of the SHA-256 of nothing");
    }
}

quickcheck! {
    fn arbitrary_text_never_panics(text: String) -> bool {
        let _ = hinge_config::settings::check(&text);
        let _ = EffectiveConfig::merge(&[file("a.toml", &text)]);
        true
    }
    fn damaged_text_never_panics(cuts: Vec<(u16, u8)>) -> bool {
        let valid = "[teams.surf]\nshare = 3\n[pools.llm]\nkind = 'model'\nfloor = 1e1\n[stops.s]\nfrom = 2030-01-31T02:00:00Z\ninstance = 'i'\n[upgrades.u]\nwindow = {from = 02:00:00, until = 3}\n";
        let mut bytes = valid.as_bytes().to_vec();
        for (at, byte) in cuts {
            let at = usize::from(at) % bytes.len();
            bytes[at] = byte;
        }
        let text = String::from_utf8_lossy(&bytes);
        let _ = EffectiveConfig::merge(&[file("a.toml", &text), file("b.toml", valid)]);
        true
    }
    fn applying_a_delta_gives_the_new_folder(old: Vec<u8>, new: Vec<u8>) -> bool {
        let state = |seeds: &[u8]| {
            let names = seeds.iter().map(|seed| (format!("{}.toml", seed % 8), format!("# {}", seed / 64)));
            let files: std::collections::BTreeMap<_, _> = names.collect();
            files.iter().map(|(name, text)| file(name, text)).collect::<Vec<_>>()
        };
        let (old, new) = (state(&old), state(&new));
        let (put, removed) = folder::delta(&old, &new);
        folder::apply(&old, &put, &removed) == new
    }
}
