//! Tests that each error in a settings file is reported with its line, its key and what is allowed.

use std::fs::{self, Permissions};
use std::os::unix::fs::PermissionsExt;

use hinge_cases::cases;
use hinge_config::secret::Secret;
use hinge_config::settings::{check, load, missing_keys};
use hinge_schema::messages::Role;

const HEAD: &str = "instance = 'e1'\ndata_center = 'hall-a'\ncluster_id = 'golfslag'\n";

// The text follows the three lines of `HEAD`, so its first line is line 4.
fn is_rejected((text, line, key, message): (&str, u32, &str, &str)) {
    let error = check(&format!("{HEAD}{text}")).expect_err("the text has an error");
    let [problem] = &*error.problems else {
        panic!("one error gives one problem: {error}");
    };
    assert_eq!((problem.line, &*problem.key), (line, key), "{error}");
    assert!(problem.message.contains(message), "{error}");
}

fn role_requires((role, keys): (Role, &[&str])) {
    let settings = check(HEAD).expect("three keys are enough");
    let problems = missing_keys("a.toml", &settings, role);
    let missing: Vec<_> = problems.iter().map(|problem| &*problem.key).collect();
    assert_eq!(missing, keys);
}

fn mode_is_checked((mode, allowed): (u32, bool)) {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let (key, file) = (folder.path().join("key"), folder.path().join("entry.toml"));
    fs::write(&key, "hunter2\n").expect("the key can be written");
    fs::set_permissions(&key, Permissions::from_mode(mode)).expect("the mode can be set");
    fs::write(
        &file,
        format!("{HEAD}\ncluster_key_file = '{}'", key.display()),
    )
    .expect("the settings can be written");
    match load(&file) {
        Ok(_) => assert!(allowed, "{mode:o}"),
        Err(error) => {
            let [problem] = &*error.problems else {
                panic!("one error gives one problem: {error}");
            };
            assert!(!allowed, "{error}");
            assert_eq!((problem.line, &*problem.key), (5, "cluster_key_file"));
            let chmod = format!("chmod 600 {}", key.display());
            assert!(problem.message.contains(&chmod), "{error}");
            assert!(!error.to_string().contains("hunter2"));
        }
    }
}

cases! { is_rejected:
    invalid_toml => ("entry = {", 4, "", "unclosed"),
    a_key_twice => ("log_level = 'info'\nlog_level = 'warn'", 5, "", "duplicate"),
    an_integer_too_large => ("[entry]\nmax_body_bytes = 99999999999999999999999999999999999999999", 5, "", "out of range"),
    an_unknown_key => ("log_levle = 'info'", 4, "log_levle", "did you mean log_level?"),
    an_unknown_key_unlike_any_other => ("zzzzzz = 1", 4, "zzzzzz", "allowed are admin_listen, admission, cluster_id"),
    an_unknown_key_in_a_section => ("[entry]\n\nmax_bodybytes = 1", 6, "entry.max_bodybytes", "did you mean max_body_bytes?"),
    another_type => ("control_addresses = 'a'", 4, "control_addresses", "this is text; allowed is a list"),
    a_table_for_text => ("[log_level]", 4, "log_level", "this is a table; allowed is text"),
    an_unknown_level => ("log_level = 'loud'", 4, "log_level", "allowed are error, warn, info, debug, trace"),
    a_host_name => ("admin_listen = 'localhost:1'", 4, "admin_listen", "allowed is an IP number with a port"),
    an_address_in_a_list => ("control_addresses = [\n'10.0.0.1:1',\n'10.0.0.2']", 6, "control_addresses", "IP number"),
    below_the_range => ("[entry]\nmax_body_bytes = 1023", 5, "entry.max_body_bytes", "allowed are 1024 to 1073741824"),
    above_the_range => ("[control]\nelection_timeout_ms = 60001", 5, "control.election_timeout_ms", "allowed are 50 to 60000"),
    a_negative_number => ("[relay]\nsums_interval_ms = -1", 5, "relay.sums_interval_ms", "-1 is out of range"),
    a_missing_key => ("[sidecar]\npool = 'surf'", 4, "sidecar.endpoint_address", "missing"),
    a_name_with_a_space => ("[sidecar]\nendpoint_address = '10.0.0.1:1'\npool = 'a b'", 6, "sidecar.pool", "letters"),
    a_wildcard_without_an_advertised_address => ("peer_listen = '0.0.0.0:7000'", 1, "peer_advertise", "wildcard"),
    a_slow_heartbeat => ("[control]\nheartbeat_ms = 501", 5, "control.heartbeat_ms", "allowed are up to 500"),
    a_limit_below_the_largest_body => ("[entry]\nmax_waiting_bytes = 1048576", 5, "entry.max_waiting_bytes", "allowed are 16777216"),
    a_first_start_without_peers => ("[control]\nbootstrap = true", 4, "control.peers", "this instance"),
    a_data_folder_of_a_diskless_instance => ("data_folder = '/data'\n[control]\ndiskless = true", 6, "control.diskless", "one of the two"),
    a_peer_twice => ("[control]\npeers = [{instance = 'a', address = '10.0.0.1:1'}, {instance = 'a', address = '10.0.0.2:1'}]", 5, "control.peers", "twice"),
}

cases! { role_requires:
    an_entry_needs_control => (Role::Entry, &["cluster_key_file", "control_addresses"]),
    a_sidecar_needs_its_section => (Role::Sidecar, &["cluster_key_file", "control_addresses", "sidecar"]),
    a_control_instance_needs_a_data_folder_and_peers => (Role::Control, &["cluster_key_file", "data_folder", "control.peers", "control.operator_keys_file"]),
}

cases! {
    a_diskless_control_instance_needs_no_data_folder => {
        let settings = check(&format!("{HEAD}[control]\ndiskless = true")).expect("the settings are right");
        let problems = missing_keys("a.toml", &settings, Role::Control);
        assert!(problems.iter().all(|problem| &*problem.key != "data_folder"));
    }
}

cases! { mode_is_checked:
    the_owner_may_write => (0o600, true),
    the_owner_may_read => (0o400, true),
    the_group_may_read => (0o640, false),
    all_may_read => (0o644, false),
    the_owner_may_execute => (0o700, false),
}

cases! {
    defaults_are_filled_in_and_port_zero_is_allowed => {
        let settings = check(HEAD).expect("three keys are enough");
        assert_eq!(settings.peer_listen.port(), 0);
        assert_eq!(settings.entry.max_waiting_requests, 4096);
        assert!(settings.sidecar.is_none());
    }
    every_error_is_reported_in_the_order_of_lines => {
        let error = check("instance = 1\nlog_level = 'x'\n[entry]\nmax_body_bytes = 0").expect_err("three errors");
        let lines: Vec<_> = error.problems.iter().map(|problem| problem.line).collect();
        assert_eq!(lines, [1, 2, 4]);
        assert!(error.to_string().starts_with("settings:1: instance: this is an integer; allowed is text"));
    }
    a_missing_file_is_named => {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let error = load(&folder.path().join("none.toml")).expect_err("there is no file");
        assert!(error.to_string().contains("none.toml: the settings can't be read"), "{error}");
    }
    a_secret_does_not_print => {
        assert_eq!(format!("{:?}", Secret::new(*b"hunter2")), "Secret(hidden)");
    }
}
