//! Checks the timeline of one request that `explain` prints from logs.

use hinge_cases::cases;
use sequoiactl::{Environment, Exit, Streams, run};

const GATEWAY: &str = r#"
2026-06-07T07:03:20.000Z info [gateway] Listening. address=10.0.0.1:80 ready=10.0.0.1:81
2026-06-07T07:03:29.900Z warn [gateway] An endpoint is held out. endpoint=i-1 hold_ms=500 cause="the connection broke"
2026-06-07T07:03:30.000Z warn [gateway] An endpoint is held out. endpoint=i-9 hold_ms=500 cause="the connection broke"
2026-06-07T07:03:31.049Z info [gateway] Request. id=aa outcome=not_run status=503 cause="the admission refused" endpoints="" refused_by=i-1 waited_ms=0 ahead_tokens=0 ms=123
2026-06-07T07:03:31.500Z info [gateway] Request. id=bb outcome=complete status=200 cause="" endpoints=i-1 refused_by="" waited_ms=3 ahead_tokens=70 ms=200
"#;

const ADMISSION: &str = r"
2026-06-07T07:03:30.100Z info [admission] Engine. pace_per_ms=31
2026-06-07T07:03:31.040Z info [admission] Engine. pace_per_ms=11
2026-06-07T07:03:31.047Z info [admission] Refused. id=aa team=surf budget_ms=499 ahead_tokens=5859
";

/// Runs `explain` on logs, each given with the name of its process.
fn explain(id: &str, logs: &[(&str, String)]) -> (Exit, String) {
    let folder = tempfile::tempdir().expect("creating a temporary folder succeeds");
    let mut args = vec!["explain".to_owned(), id.to_owned()];
    for (name, text) in logs {
        let path = folder.path().join(format!("{name}.log"));
        std::fs::write(&path, text).expect("the temporary folder is writable");
        args.push(path.display().to_string());
    }
    let (mut out, mut notes) = (Vec::new(), Vec::new());
    let mut streams = Streams::new(&mut out, &mut notes);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("starting a runtime succeeds");
    let exit = runtime.block_on(run(&args, &Environment::default(), &mut streams));
    (exit, String::from_utf8(out).expect("answers are UTF-8"))
}

fn both_logs(added_lines: &str) -> Vec<(&'static str, String)> {
    vec![
        ("edge-1", GATEWAY.to_owned()),
        ("side-1", format!("{ADMISSION}{added_lines}")),
    ]
}

/// Checks that a text contains all parts, in their order.
fn assert_contains_in_order(text: &str, parts: &[&str]) {
    let mut from = 0;
    for part in parts {
        let at = text[from..].find(part);
        let at = at.unwrap_or_else(|| panic!("{part:?} is missing after byte {from} of\n{text}"));
        from += at + part.len();
    }
}

cases! {
    lines_of_all_processes_are_in_order => {
        let (exit, text) = explain("aa", &both_logs(""));
        assert_eq!(exit, Exit::Ok);
        assert_contains_in_order(&text, &[
            "aa: not_run, status 503, cause: the admission refused",
            "lines:",
            "07:03:31.047Z side-1 info [admission] Refused.",
            "07:03:31.049Z edge-1 info [gateway] Request.",
        ]);
    }
    state_changes_of_involved_processes_are_context => {
        let (_, text) = explain("aa", &both_logs(""));
        assert_contains_in_order(&text, &["around it:", "An endpoint is held out. endpoint=i-1", "pace_per_ms=11"]);
        assert!(!text.contains("pace_per_ms=31"), "an older engine line is shown:\n{text}");
        assert!(!text.contains("gaps:"), "{text}");
    }
    text_before_the_timestamp_names_the_process_in_a_merged_log => {
        let lines = GATEWAY.lines().filter(|line| !line.is_empty());
        let lines: Vec<String> = lines.map(|line| format!("  12.5 edge-7  {line}")).collect();
        let text = lines.join("\n");
        let (_, text) = explain("bb", &[("all", text)]);
        assert_contains_in_order(&text, &["lines:", "12.5 edge-7 info [gateway] Request. id=bb"]);
    }
    a_missing_end_is_a_gap => {
        let (exit, text) = explain("aa", &[("side-1", ADMISSION.to_owned())]);
        assert_eq!(exit, Exit::Ok);
        assert_contains_in_order(&text, &["aa: no line tells its end", "gaps:", "no gateway tells the end"]);
    }
    a_missing_admission_decision_is_a_gap => {
        let (_, refused) = explain("aa", &[("edge-1", GATEWAY.to_owned())]);
        assert_contains_in_order(&refused, &["gaps:", "an admission refused it, and the line of that is missing"]);
        let (_, granted) = explain("bb", &both_logs(""));
        assert_contains_in_order(&granted, &["gaps:", "an admission granted it a place"]);
    }
    dropped_lines_and_a_process_start_are_gaps => {
        let more = "2026-06-07T07:03:31.010Z info [admission] Listening. address=10.0.0.2:1\n\
            2026-06-07T07:03:32.000Z warn [daemon] Dropped lines that nobody took in time. count=40\n";
        let (_, text) = explain("aa", &both_logs(more));
        assert_contains_in_order(&text, &["gaps:", "side-1 started at", "side-1 dropped 40 lines"]);
    }
    a_request_without_lines_is_a_failure => {
        let (exit, text) = explain("cc", &both_logs(""));
        assert_eq!(exit, Exit::Failed);
        assert!(text.starts_with("cc: no line of these logs names it"), "{text}");
    }
}
