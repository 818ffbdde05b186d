//! Checks the exit code of each kind of command line that needs no fleet.

use std::path::PathBuf;

use hinge_cases::cases;
use quickcheck::quickcheck;
use sequoiactl::{Environment, Exit, Streams, run};

fn run_alone(args: &[String], environment: &Environment) -> (Exit, String) {
    let (mut out, mut notes) = (Vec::new(), Vec::new());
    let mut streams = Streams::new(&mut out, &mut notes);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the system gives a runtime");
    let exit = runtime.block_on(run(args, environment, &mut streams));
    (exit, String::from_utf8(notes).expect("notes are text"))
}

/// Words stand for arguments; `GOOD` and `BAD` for folders, `KEY` for a key file and `OPEN` for one that others can read.
fn ends_with((line, exit, note): (&str, Exit, &str)) {
    let folder = tempfile::tempdir().expect("the system gives a folder");
    let path = |name: &str| folder.path().join(name);
    let write = |path: PathBuf, text: &str, mode: u32| {
        use std::os::unix::fs::PermissionsExt;
        std::fs::write(&path, text).expect("the folder is ours");
        let mode = std::fs::Permissions::from_mode(mode);
        std::fs::set_permissions(&path, mode).expect("the file is ours");
    };
    for name in ["GOOD", "BAD"] {
        std::fs::create_dir(path(name)).expect("the folder is ours");
    }
    write(path("GOOD/a.toml"), "[teams.surf]\nshare = 3\n", 0o644);
    write(path("BAD/a.toml"), "[teams.surf]\nshares = 3\n", 0o644);
    write(path("KEY"), "a secret of sixteen bytes or more", 0o600);
    write(path("OPEN"), "a secret of sixteen bytes or more", 0o644);
    let args: Vec<String> = line
        .split_whitespace()
        .map(|word| match word {
            "GOOD" | "GOOD/a.toml" | "BAD" | "NOWHERE" | "KEY" | "OPEN" => {
                path(word).display().to_string()
            }
            word => word.to_owned(),
        })
        .collect();
    let (got, notes) = run_alone(&args, &Environment::default());
    assert_eq!(got, exit, "{notes}");
    assert!(notes.contains(note), "{notes}");
}

cases! { ends_with:
    a_valid_folder => ("check GOOD", Exit::Ok, ""),
    an_invalid_folder => ("check BAD", Exit::Invalid, "a.toml:2: teams.surf.shares: this key is unknown; did you mean share?"),
    a_folder_that_is_not_there => ("check NOWHERE", Exit::Failed, "can't be read"),
    help => ("--help", Exit::Ok, ""),
    help_of_a_command => ("orders place --help", Exit::Ok, ""),
    no_command => ("", Exit::Invalid, "which command?"),
    an_unknown_command => ("aply", Exit::Invalid, "unrecognized command `aply`"),
    an_unknown_flag => ("check GOOD --fast", Exit::Invalid, "unrecognized option `--fast`"),
    a_flag_that_is_no_time => ("status --timeout soon", Exit::Invalid, "timeout"),
    a_missing_argument => ("check", Exit::Invalid, "required"),
    no_control => ("status", Exit::Invalid, "give --control"),
    an_address_without_port => ("status --control 10.0.0.1", Exit::Invalid, "HOST:PORT"),
    no_key => ("status --control 127.0.0.1:1", Exit::Invalid, "give --operator-key"),
    a_key_that_others_can_read => ("status --control 127.0.0.1:1 --operator-key OPEN", Exit::Invalid, "chmod 600"),
    an_invalid_folder_is_not_sent => ("apply BAD --control 127.0.0.1:1 --operator-key KEY", Exit::Invalid, "mend 1 problem"),
    nobody_listens => ("status --timeout=50ms --control=127.0.0.1:1 --operator-key KEY", Exit::Unavailable, "127.0.0.1:1: no connection: Connection refused"),
    an_order_of_unknown_kind => ("orders place a reload m", Exit::Invalid, "allowed are load_model"),
    a_report_without_name => ("report", Exit::Invalid, "report burn"),
    a_report_without_configuration => ("report burn", Exit::Invalid, "give --folder"),
    a_report_without_samples => ("report burn --folder GOOD", Exit::Invalid, "give --samples"),
    a_report_of_samples_that_are_not_there => ("report gap --folder GOOD --samples NOWHERE", Exit::Failed, "can't be used"),
    a_report_of_a_file_without_samples => ("report utilisation --samples KEY", Exit::Ok, ""),
    a_scrape_without_a_time => ("report burn --folder GOOD --scrape a=b:1", Exit::Invalid, "add --watch"),
    a_scrape_without_a_name => ("report burn --folder GOOD --scrape b:1 --watch 1s", Exit::Invalid, "NAME=HOST:PORT"),
    a_story_without_logs => ("explain 4e10f670df98758e", Exit::Invalid, "which logs?"),
    a_story_of_a_log_that_is_not_there => ("explain 4e10f670df98758e NOWHERE", Exit::Failed, "can't be read"),
    a_story_that_no_line_tells => ("explain 4e10f670df98758e GOOD/a.toml", Exit::Failed, ""),
    an_upgrade_without_question => ("upgrade", Exit::Invalid, "sequoiactl upgrade status"),
}

fn has_number((exit, number): (Exit, u8)) {
    assert_eq!(exit as u8, number);
}

cases! { has_number:
    ok_is_0 => (Exit::Ok, 0),
    failed_is_1 => (Exit::Failed, 1),
    invalid_is_2 => (Exit::Invalid, 2),
    conflict_is_3 => (Exit::Conflict, 3),
    unavailable_is_4 => (Exit::Unavailable, 4),
    timed_out_is_5 => (Exit::TimedOut, 5),
}

quickcheck! {
    fn any_command_line_ends_with_a_code(args: Vec<String>) -> bool {
        // Without control and without a folder no command can go far; it must still end as a value.
        let (exit, _) = run_alone(&args, &Environment::default());
        matches!(exit, Exit::Ok | Exit::Failed | Exit::Invalid)
    }
}
