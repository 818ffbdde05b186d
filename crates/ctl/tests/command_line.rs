//! Checks the exit codes of command lines that need no fleet.

use std::path::PathBuf;

use hinge_cases::cases;
use quickcheck::quickcheck;
use sequoiactl::{Environment, Exit, Streams, run};

fn run_without_fleet(args: &[String], environment: &Environment) -> (Exit, String) {
    let (mut out, mut notes) = (Vec::new(), Vec::new());
    let mut streams = Streams::new(&mut out, &mut notes);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("starting a runtime succeeds");
    let exit = runtime.block_on(run(args, environment, &mut streams));
    (exit, String::from_utf8(notes).expect("notes are UTF-8"))
}

/// Runs a command line, in which `GOOD` and `BAD` stand for a valid and an invalid folder, `KEY` for a key file, `OPEN` for a
/// key file that others can read, and `NOWHERE` for a path that does not exist.
fn assert_exit_and_note((line, exit, note): (&str, Exit, &str)) {
    let folder = tempfile::tempdir().expect("creating a temporary folder succeeds");
    let path = |name: &str| folder.path().join(name);
    let write = |path: PathBuf, text: &str, mode: u32| {
        use std::os::unix::fs::PermissionsExt;
        std::fs::write(&path, text).expect("the temporary folder is writable");
        let mode = std::fs::Permissions::from_mode(mode);
        std::fs::set_permissions(&path, mode).expect("the temporary file is writable");
    };
    for name in ["GOOD", "BAD"] {
        std::fs::create_dir(path(name)).expect("the temporary folder is writable");
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
    let (got, notes) = run_without_fleet(&args, &Environment::default());
    assert_eq!(got, exit, "{notes}");
    assert!(notes.contains(note), "{notes}");
}

cases! { assert_exit_and_note:
    a_valid_folder => ("check GOOD", Exit::Ok, ""),
    an_invalid_folder => ("check BAD", Exit::Invalid, "a.toml:2: teams.surf.shares: this key is unknown; did you mean share?"),
    a_missing_folder => ("check NOWHERE", Exit::Failed, "can't be read"),
    help => ("--help", Exit::Ok, ""),
    help_of_a_command => ("orders place --help", Exit::Ok, ""),
    no_command => ("", Exit::Invalid, "which command?"),
    an_unknown_command => ("aply", Exit::Invalid, "unrecognized command `aply`"),
    an_unknown_flag => ("check GOOD --fast", Exit::Invalid, "unrecognized option `--fast`"),
    a_flag_value_that_is_not_a_time => ("status --timeout soon", Exit::Invalid, "timeout"),
    a_missing_argument => ("check", Exit::Invalid, "required"),
    no_control => ("status", Exit::Invalid, "give --control"),
    an_address_without_port => ("status --control 10.0.0.1", Exit::Invalid, "HOST:PORT"),
    no_key => ("status --control 127.0.0.1:1", Exit::Invalid, "give --operator-key"),
    a_key_that_others_can_read => ("status --control 127.0.0.1:1 --operator-key OPEN", Exit::Invalid, "chmod 600"),
    an_invalid_folder_is_not_sent => ("apply BAD --control 127.0.0.1:1 --operator-key KEY", Exit::Invalid, "mend 1 problem"),
    an_address_where_nothing_listens => ("status --timeout=50ms --control=127.0.0.1:1 --operator-key KEY", Exit::Unavailable, "127.0.0.1:1: no connection: Connection refused"),
    an_order_of_unknown_kind => ("orders place a reload m", Exit::Invalid, "allowed are load_model"),
    report_without_subcommand => ("report", Exit::Invalid, "report burn"),
    a_report_without_configuration => ("report burn", Exit::Invalid, "give --folder"),
    a_report_without_samples => ("report burn --folder GOOD", Exit::Invalid, "give --samples"),
    a_report_of_a_missing_samples_file => ("report gap --folder GOOD --samples NOWHERE", Exit::Failed, "can't be used"),
    a_report_of_a_file_without_samples => ("report utilisation --samples KEY", Exit::Ok, ""),
    a_scrape_without_a_time => ("report burn --folder GOOD --scrape a=b:1", Exit::Invalid, "add --watch"),
    a_scrape_without_a_name => ("report burn --folder GOOD --scrape b:1 --watch 1s", Exit::Invalid, "NAME=HOST:PORT"),
    explain_without_logs => ("explain 4e10f670df98758e", Exit::Invalid, "which logs?"),
    explain_of_a_missing_log => ("explain 4e10f670df98758e NOWHERE", Exit::Failed, "can't be read"),
    explain_of_a_request_without_lines => ("explain 4e10f670df98758e GOOD/a.toml", Exit::Failed, ""),
    upgrade_without_subcommand => ("upgrade", Exit::Invalid, "sequoiactl upgrade status"),
}

fn assert_exit_code((exit, number): (Exit, u8)) {
    assert_eq!(exit as u8, number);
}

cases! { assert_exit_code:
    ok_is_0 => (Exit::Ok, 0),
    failed_is_1 => (Exit::Failed, 1),
    invalid_is_2 => (Exit::Invalid, 2),
    conflict_is_3 => (Exit::Conflict, 3),
    unavailable_is_4 => (Exit::Unavailable, 4),
    timed_out_is_5 => (Exit::TimedOut, 5),
}

quickcheck! {
    fn any_command_line_ends_with_an_exit_code(args: Vec<String>) -> bool {
        // Without control and a folder most commands fail early, but none may panic.
        let (exit, _) = run_without_fleet(&args, &Environment::default());
        matches!(exit, Exit::Ok | Exit::Failed | Exit::Invalid)
    }
}
