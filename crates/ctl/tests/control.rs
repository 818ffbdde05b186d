//! Runs every command that calls control against fake control instances on loopback.

mod fake_control;

use std::sync::atomic::Ordering;

use fake_control::{Fixture, member, serve_pages, write_key};
use hinge_cases::async_cases;
use hinge_routing::RequestKey;
use hinge_schema::messages::{
    ConfigFile, StopState, StopStatus, UpgradeState, UpgradeStatus, Upgrades,
};
use hinge_state::{Command, SuspectsCommand};
use sequoiactl::Exit;

const SURF: (&str, &str) = ("a.toml", "[teams.surf]\nshare = 3\n");
const BOARD: (&str, &str) = ("b.toml", "[teams.board]\nshare = 1\n");

fn competing_file(name: &str) -> ConfigFile {
    ConfigFile {
        name: name.into(),
        text: "[teams.surf]\nshare = 9\n".into(),
    }
}

async_cases! { real
    an_applied_folder_is_in_force_and_records_its_version => {
        let fixture = Fixture::start().await;
        let folder = fixture.write("folder", &[SURF]);
        let (exit, out, notes) = fixture.run(&["apply", &folder, "--note", "start"]).await;
        assert_eq!((exit, &*out), (Exit::Ok, "accepted as version 1\n  put a.toml\n"), "{notes}");
        assert!(notes.starts_with("change ") && notes.ends_with(", based on version 0\n"), "{notes}");
        let (exit, out, _) = fixture.run(&["apply", &folder]).await;
        assert_eq!((exit, &*out), (Exit::Ok, "nothing to change: version 1 is the same\n"));
        fixture.write("folder", &[("a.toml", "[teams.surf]\nshare = 5\n")]);
        let (exit, out, _) = fixture.run(&["diff", &folder]).await;
        assert_eq!(exit, Exit::Ok);
        assert!(out.contains("changed: a.toml") && out.contains("  -share = 3"), "{out}");
        assert!(out.contains("teams.surf.share: 3 (a.toml:2) -> 5 (a.toml:2)"), "{out}");
        assert_eq!(fixture.run(&["apply", &folder]).await.0, Exit::Ok);
        let (_, out, _) = fixture.run(&["history", "--json"]).await;
        let history: serde_json::Value = serde_json::from_str(&out).expect("the answer is JSON");
        assert_eq!(history["entries"][1]["note"], "start");
        assert_eq!(history["entries"][0]["version"], 2);
    }
    a_change_with_a_lost_answer_is_resent_to_the_next_instance_under_the_same_id => {
        let fixture = Fixture::start().await;
        fixture.first.answers_to_lose.store(usize::MAX, Ordering::SeqCst);
        let folder = fixture.write("folder", &[SURF]);
        let (exit, out, notes) = fixture.run(&["apply", &folder]).await;
        assert_eq!(exit, Exit::Ok, "{notes}");
        assert!(out.starts_with("accepted as version 1, earlier"), "{out}");
        let received_change_ids = fixture.shared.received_change_ids.lock().expect("lock is not poisoned").clone();
        assert_eq!((received_change_ids.len(), &received_change_ids[0]), (2, &received_change_ids[1]));
        assert!(notes.contains(&*received_change_ids[0]), "the id is printed before the change is sent: {notes}");
        assert_eq!(fixture.shared.version(), 1);
    }
    all_instances_are_tried_again_after_every_answer_was_lost => {
        let fixture = Fixture::start().await;
        fixture.first.answers_to_lose.store(1, Ordering::SeqCst);
        fixture.second.answers_to_lose.store(1, Ordering::SeqCst);
        let (exit, out, notes) = fixture.run(&["apply", &fixture.write("folder", &[SURF])]).await;
        assert_eq!(exit, Exit::Ok, "{notes}");
        assert!(out.starts_with("accepted as version 1, earlier"), "{out}");
        assert_eq!(fixture.shared.received_change_ids.lock().expect("lock is not poisoned").len(), 3);
    }
    a_change_without_an_answer_is_found_later_by_its_id => {
        let fixture = Fixture::start().await;
        fixture.first.answers_to_lose.store(usize::MAX, Ordering::SeqCst);
        fixture.second.answers_to_lose.store(usize::MAX, Ordering::SeqCst);
        let folder = fixture.write("folder", &[SURF]);
        let (exit, _, notes) = fixture.run(&["apply", &folder, "--timeout", "1s", "--change-id", "c7"]).await;
        assert_eq!(exit, Exit::Unavailable);
        assert!(notes.contains("--change-id c7"), "{notes}");
        let (exit, out, _) = fixture.run(&["apply", &folder, "--change-id", "c7"]).await;
        assert_eq!(exit, Exit::Ok);
        assert!(out.starts_with("accepted as version 1, earlier"), "{out}");
        assert_eq!(fixture.shared.version(), 1);
    }
    a_conflict_shows_both_changes => {
        let fixture = Fixture::start().await;
        let folder = fixture.write("folder", &[SURF]);
        assert_eq!(fixture.run(&["apply", &folder]).await.0, Exit::Ok);
        *fixture.shared.competing_file.lock().expect("lock is not poisoned") = Some(competing_file("a.toml"));
        fixture.write("folder", &[("a.toml", "[teams.surf]\nshare = 5\n"), BOARD]);
        let (exit, out, _) = fixture.run(&["apply", &folder]).await;
        assert_eq!(exit, Exit::Conflict);
        assert!(out.contains("based on version 1, and version 2 is in force"), "{out}");
        assert!(out.contains("theirs: change rival of operator bruno"), "{out}");
        assert!(out.contains("  +share = 9") && out.contains("  +share = 5") && out.contains("added: b.toml"), "{out}");
        assert_eq!(fixture.shared.version(), 2);
        let (exit, out, _) = fixture.run(&["--json", "apply", &folder]).await;
        let conflict: serde_json::Value = serde_json::from_str(&out).expect("the answer is JSON");
        assert_eq!((exit, &conflict["theirs"]["operator"]), (Exit::Conflict, &"bruno".into()));
        assert_eq!(conflict["ours"]["put"][0]["name"], "a.toml");
    }
    a_folder_with_an_unknown_base_is_not_applied => {
        let fixture = Fixture::start().await;
        assert_eq!(fixture.run(&["apply", &fixture.write("one", &[SURF])]).await.0, Exit::Ok);
        let other = fixture.write("other", &[("a.toml", "[teams.surf]\nshare = 4\n")]);
        let (exit, _, notes) = fixture.run(&["apply", &other]).await;
        assert_eq!(exit, Exit::Invalid);
        assert!(notes.contains("give --base 1"), "{notes}");
        assert_eq!(fixture.run(&["apply", &other, "--base", "4"]).await.0, Exit::Invalid);
        assert_eq!(fixture.run(&["apply", &other, "--base", "0"]).await.0, Exit::Conflict);
        assert_eq!(fixture.run(&["apply", &other, "--base", "1"]).await.0, Exit::Ok);
    }
    files_are_removed_only_when_asked => {
        let fixture = Fixture::start().await;
        let folder = fixture.write("folder", &[SURF, BOARD]);
        assert_eq!(fixture.run(&["apply", &folder]).await.0, Exit::Ok);
        std::fs::remove_file(format!("{folder}/b.toml")).expect("the temporary folder is writable");
        let (exit, _, notes) = fixture.run(&["apply", &folder]).await;
        assert_eq!((exit, fixture.shared.version()), (Exit::Invalid, 1));
        assert!(notes.contains("b.toml; give --prune"), "{notes}");
        let (exit, out, _) = fixture.run(&["apply", &folder, "--prune"]).await;
        assert_eq!((exit, &*out), (Exit::Ok, "accepted as version 2\n  removed b.toml\n"));
    }
    a_wait_names_the_processes_that_lack_the_version_and_times_out => {
        let fixture = Fixture::start().await;
        fixture.shared.members.lock().expect("lock is not poisoned").push(member("sidecar-a", 0));
        let folder = fixture.write("folder", &[SURF]);
        let (exit, out, notes) = fixture.run(&["apply", &folder, "--wait"]).await;
        assert_eq!(exit, Exit::Ok, "{notes}");
        assert!(notes.contains("version 1: 1 of 1 processes lack it: sidecar-a (0)"), "{notes}");
        assert!(out.contains("version 1 is in force at 1 processes"), "{out}");
        fixture.shared.members.lock().expect("lock is not poisoned").push(member("stuck", 0));
        let (exit, out, notes) = fixture.run(&["wait", "--version", "1", "--timeout", "1s"]).await;
        assert_eq!(exit, Exit::TimedOut, "{notes}");
        assert!(out.contains("1 of 2 processes lack it: stuck (0)"), "{out}");
        assert_eq!(fixture.run(&["wait", "--version", "7"]).await.0, Exit::Invalid);
        let (_, out, _) = fixture.run(&["status"]).await;
        assert!(out.contains("1 processes lack version 1: stuck"), "{out}");
    }
    an_isolated_instance_is_skipped_and_no_answer_comes_if_all_are_isolated => {
        let fixture = Fixture::start().await;
        fixture.first.is_isolated.store(true, Ordering::SeqCst);
        assert_eq!(fixture.run(&["status"]).await.0, Exit::Ok);
        fixture.second.is_isolated.store(true, Ordering::SeqCst);
        let (exit, out, notes) = fixture.run(&["status", "--json", "--timeout", "1s"]).await;
        assert_eq!(exit, Exit::Unavailable);
        assert!(notes.contains("no quorum confirms this instance (instance control-b may lead)"), "{notes}");
        let error: serde_json::Value = serde_json::from_str(&out).expect("errors are printed as JSON");
        assert_eq!(error["error"]["exit"], 4);
    }
    a_wrong_key_is_reported => {
        let mut fixture = Fixture::start().await;
        let key = write_key(fixture.folder.path(), "another secret of sixteen bytes");
        fixture.environment().key_file = Some(key);
        let (exit, _, notes) = fixture.run(&["status"]).await;
        assert_eq!(exit, Exit::Unavailable);
        assert!(notes.contains("check --operator-key"), "{notes}");
    }
    a_rollback_makes_a_new_version_and_checks_the_copy => {
        let fixture = Fixture::start().await;
        let old = fixture.write("old", &[SURF, BOARD]);
        assert_eq!(fixture.run(&["apply", &old]).await.0, Exit::Ok);
        let new = fixture.write("new", &[("a.toml", "[teams.surf]\nshare = 8\n"), BOARD, ("c.toml", "[teams.c]\nshare = 1\n")]);
        assert_eq!(fixture.run(&["apply", &new, "--base", "1"]).await.0, Exit::Ok);
        assert_eq!(fixture.run(&["rollback", "1"]).await.0, Exit::Invalid);
        let wrong = fixture.write("wrong", &[SURF, ("b.toml", "[teams.board]\nshare = 2\n")]);
        let (exit, _, notes) = fixture.run(&["rollback", "1", "--folder", &wrong]).await;
        assert_eq!(exit, Exit::Invalid);
        assert!(notes.contains("touched b.toml"), "{notes}");
        let (exit, out, notes) = fixture.run(&["rollback", "1", "--folder", &old]).await;
        assert_eq!(exit, Exit::Ok, "{notes}");
        assert_eq!(out, "accepted as version 3\n  put a.toml\n  removed c.toml\n");
        let pulled = fixture.folder.path().join("pulled").display().to_string();
        assert_eq!(fixture.run(&["pull", &pulled]).await.0, Exit::Ok);
        let (_, out, _) = fixture.run(&["diff", &pulled]).await;
        assert_eq!(out, "no difference from version 3\n");
        assert_eq!(fixture.run(&["pull", &pulled]).await.0, Exit::Invalid);
    }
    drains_and_orders_are_accepted_once => {
        let fixture = Fixture::start().await;
        let (exit, out, _) = fixture.run(&["drain", "sidecar-a", "--deadline", "5m", "--note", "new disk"]).await;
        assert_eq!(exit, Exit::Ok);
        assert!(out.contains("sidecar-a  2023-11-14T22:13:20Z  5m        ana       new disk"), "{out}");
        let (_, out, _) = fixture.run(&["undrain", "sidecar-a"]).await;
        assert!(out.contains("no instance is drained"), "{out}");
        fixture.first.answers_to_lose.store(usize::MAX, Ordering::SeqCst);
        let (exit, _, notes) = fixture.run(&["orders", "place", "sidecar-a", "load_model", "surf", "--version", "3"]).await;
        assert_eq!(exit, Exit::Ok, "{notes}");
        let (_, out, _) = fixture.run(&["orders", "--json"]).await;
        let orders: serde_json::Value = serde_json::from_str(&out).expect("the answer is JSON");
        assert_eq!(orders["orders"].as_array().map(Vec::len), Some(1));
        assert_eq!((&orders["orders"][0]["kind"], &orders["orders"][0]["state"]), (&"load_model".into(), &"open".into()));
    }
    a_report_collects_pages_and_records_them => {
        let fixture = Fixture::start().await;
        fixture.shared.members.lock().expect("lock is not poisoned").push(member("sidecar-a", 0));
        let pages = serve_pages(&["hinge_entry_requests_total{outcome=\"completed\",reason=\"\"} 1", "hinge_entry_requests_total{outcome=\"completed\",reason=\"\"} 90\nhinge_entry_requests_total{outcome=\"not_run\",reason=\"shed\"} 10"]).await;
        let folder = fixture.write("folder", &[("a.toml", "[objectives.whole]\nwhat = 'answered_whole'\ntarget = 99\n")]);
        let path = |name: &str| fixture.folder.path().join(name).display().to_string();
        let scrape = format!("entry-a={},entry-b=127.0.0.1:1", pages.local_address());
        let (exit, out, notes) = fixture.run(&["report", "burn", "--folder", &folder, "--scrape", &scrape, "--watch", "2ms", "--every", "1ms", "--samples", &path("samples"), "--svg", &path("burn.svg")]).await;
        assert_eq!(exit, Exit::Ok, "{notes}");
        assert!(out.contains("(10 bad of 99 requests)") && out.contains("entry-b: 3 of 3 pages are missing"), "{out}");
        assert!(notes.contains("no page of entry-b"), "{notes}");
        assert!(std::fs::read_to_string(path("burn.svg")).expect("the chart is written").contains("<svg"));
        let (_, again, _) = fixture.run(&["report", "burn", "--folder", &folder, "--samples", &path("samples")]).await;
        assert_eq!(again, out);
        let (exit, out, _) = fixture.run(&["report", "utilisation", "--samples", &path("samples"), "--json"]).await;
        let use_of: serde_json::Value = serde_json::from_str(&out).expect("the answer is JSON");
        assert_eq!((exit, &use_of["pools"]), (Exit::Ok, &serde_json::json!([])));
        assert!(std::fs::read_to_string(path("samples")).expect("the samples are recorded").contains("forecast-llm"));
    }
    removing_a_control_instance_succeeds_or_gives_the_reason => {
        let fixture = Fixture::start().await;
        assert_eq!(fixture.run(&["remove-control", "control-c"]).await.0, Exit::Ok);
        let (exit, out, _) = fixture.run(&["remove-control", "control-a"]).await;
        assert_eq!((exit, &*out), (Exit::Failed, "control-a still counts: it answers\n"));
    }
    a_truncated_folder_is_rejected => {
        let fixture = Fixture::start().await;
        let folder = fixture.write("folder", &[SURF, BOARD]);
        assert_eq!(fixture.run(&["apply", &folder]).await.0, Exit::Ok);
        fixture.first.truncates_folder.store(true, Ordering::SeqCst);
        let (exit, _, notes) = fixture.run(&["apply", &folder]).await;
        assert_eq!((exit, fixture.shared.version()), (Exit::Failed, 1));
        assert!(notes.contains("does not match its own digest"), "{notes}");
    }
    upgrades_and_stops_show_their_state_and_what_they_wait_for => {
        let fixture = Fixture::start().await;
        fixture.first.is_isolated.store(true, Ordering::SeqCst);
        let plan = |name: &str, state, detail: &str, until_ms| UpgradeStatus {
            plan: name.into(),
            pool: "forecast-llm".into(),
            version: "2".into(),
            state,
            done: 1,
            walking: 0,
            total: 2,
            detail: detail.into(),
            until_ms,
        };
        let stop = StopStatus {
            stop: "kernel".into(),
            state: StopState::Late,
            done: 3,
            draining: 1,
            total: 4,
            late: vec!["x".into()],
            below_floor: vec!["forecast-llm".into()],
            detail: Box::default(),
        };
        let plans = vec![
            plan("day", UpgradeState::Stopped, "x failed load_model", 0),
            plan("night", UpgradeState::Waiting, "the window is closed", 1_700_000_000_000),
        ];
        *fixture.shared.upgrades.lock().expect("lock is not poisoned") = Some(Upgrades { plans, stops: vec![stop] });
        let (exit, out, notes) = fixture.run(&["upgrade", "status"]).await;
        assert_eq!(exit, Exit::Ok, "{notes}");
        for line in [
            "day      forecast-llm  2        stopped  1 of 2  x failed load_model\n",
            "night    forecast-llm  2        waiting  1 of 2  the window is closed, until 2023-11-14",
            "kernel  late   3 of 4  1         -\n",
            "kernel: past the deadline: x\nkernel: below the floor: forecast-llm\n",
        ] {
            assert!(out.contains(line), "{out}");
        }
        let (_, out, _) = fixture.run(&["upgrade", "status", "night", "--json"]).await;
        let shown: serde_json::Value = serde_json::from_str(&out).expect("the answer is JSON");
        assert_eq!((&shown["plans"][0]["state"], &shown["plans"][0]["done"]), (&"waiting".into(), &1.into()));
        assert_eq!((shown["plans"].as_array().map(Vec::len), &shown["stops"]), (Some(1), &serde_json::json!([])));
        let (exit, _, notes) = fixture.run(&["upgrade", "status", "nihgt"]).await;
        assert!(exit == Exit::Invalid && notes.contains("is named nihgt"), "{notes}");
        fixture.second.is_isolated.store(true, Ordering::SeqCst);
        let (exit, out, _) = fixture.run(&["upgrade", "status", "--timeout", "10ms"]).await;
        assert_eq!((exit, &*out), (Exit::Unavailable, ""));
    }
    a_held_request_is_listed_and_released => {
        let fixture = Fixture::start().await;
        let (exit, out, _) = fixture.run(&["suspects"]).await;
        assert_eq!((exit, out.lines().count()), (Exit::Ok, 1), "{out}");
        let request = RequestKey::of("POST", "/a", Some("surf"), b"body");
        for endpoint in 1..=3 {
            fixture.shared.apply(Command::Suspects(SuspectsCommand {
                ends: vec![(request, endpoint)],
                completed: Vec::new(),
                ..SuspectsCommand::default()
            }));
        }
        let (_, out, _) = fixture.run(&["suspects"]).await;
        assert!(out.contains(&format!("{request}  3     held")), "{out}");
        let (exit, _, notes) = fixture.run(&["suspects", "--release", "12"]).await;
        assert_eq!(exit, Exit::Invalid, "{notes}");
        let (exit, out, _) = fixture.run(&["suspects", "--release", &request.to_string()]).await;
        assert_eq!((exit, out.contains("held")), (Exit::Ok, false), "{out}");
    }
    a_rejected_evacuation_fails_and_says_why => {
        let fixture = Fixture::start().await;
        let (exit, out, notes) = fixture.run(&["evacuations"]).await;
        assert_eq!(exit, Exit::Ok, "{notes}");
        assert!(out.starts_with("no data centre is evacuated\nSERVICE"), "{out}");
        let (exit, _, notes) = fixture.run(&["evacuations", "--start", "hall-a"]).await;
        assert_eq!(exit, Exit::Failed, "{notes}");
        assert!(notes.contains("hall-a is needed; nothing was changed"), "{notes}");
        let (exit, _, notes) = fixture.run(&["evacuations", "--start", "hall-a", "--force"]).await;
        assert_eq!(exit, Exit::Ok, "{notes}");
        let (exit, _, notes) = fixture.run(&["evacuations", "--start", "hall-a", "--end", "hall-b"]).await;
        assert_eq!(exit, Exit::Invalid, "{notes}");
    }
}
