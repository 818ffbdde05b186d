//! Checks the story of one request that `explain` tells out of logs.

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

/// Tells the story of a request out of the two logs and what is added to the second one.
fn story(id: &str, logs: &[(&str, String)]) -> (Exit, String) {
    let folder = tempfile::tempdir().expect("the system gives a folder");
    let mut args = vec!["explain".to_owned(), id.to_owned()];
    for (name, text) in logs {
        let path = folder.path().join(format!("{name}.log"));
        std::fs::write(&path, text).expect("the folder is ours");
        args.push(path.display().to_string());
    }
    let (mut out, mut notes) = (Vec::new(), Vec::new());
    let mut streams = Streams::new(&mut out, &mut notes);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("the system gives a runtime");
    let exit = runtime.block_on(run(&args, &Environment::default(), &mut streams));
    (exit, String::from_utf8(out).expect("answers are text"))
}

fn both(more: &str) -> Vec<(&'static str, String)> {
    vec![
        ("edge-1", GATEWAY.to_owned()),
        ("side-1", format!("{ADMISSION}{more}")),
    ]
}

/// Checks that the parts of a text stand in it, in their order.
fn holds_in_order(text: &str, parts: &[&str]) {
    let mut from = 0;
    for part in parts {
        let at = text[from..].find(part);
        let at = at.unwrap_or_else(|| panic!("{part:?} is missing after byte {from} of\n{text}"));
        from += at + part.len();
    }
}

cases! {
    lines_of_all_processes_stand_in_order => {
        let (exit, text) = story("aa", &both(""));
        assert_eq!(exit, Exit::Ok);
        holds_in_order(&text, &[
            "aa: not_run, status 503, cause: the admission refused",
            "lines:",
            "07:03:31.047Z side-1 info [admission] Refused.",
            "07:03:31.049Z edge-1 info [gateway] Request.",
        ]);
    }
    beliefs_of_those_that_it_met_stand_beside_it => {
        let (_, text) = story("aa", &both(""));
        holds_in_order(&text, &["around it:", "An endpoint is held out. endpoint=i-1", "pace_per_ms=11"]);
        assert!(!text.contains("pace_per_ms=31"), "an older line of the same kind:\n{text}");
        assert!(!text.contains("gaps:"), "{text}");
    }
    the_logs_of_one_stream_are_told_apart_by_what_stands_before_the_time => {
        let lines = GATEWAY.lines().filter(|line| !line.is_empty());
        let lines: Vec<String> = lines.map(|line| format!("  12.5 edge-7  {line}")).collect();
        let text = lines.join("\n");
        let (_, text) = story("bb", &[("all", text)]);
        holds_in_order(&text, &["lines:", "12.5 edge-7 info [gateway] Request. id=bb"]);
    }
    an_end_that_is_missing_is_a_gap => {
        let (exit, text) = story("aa", &[("side-1", ADMISSION.to_owned())]);
        assert_eq!(exit, Exit::Ok);
        holds_in_order(&text, &["aa: no line tells its end", "gaps:", "no gateway tells the end"]);
    }
    a_verdict_that_is_missing_is_a_gap => {
        let (_, refused) = story("aa", &[("edge-1", GATEWAY.to_owned())]);
        holds_in_order(&refused, &["gaps:", "an admission refused it, and the line of that is missing"]);
        let (_, granted) = story("bb", &both(""));
        holds_in_order(&granted, &["gaps:", "an admission granted it a place"]);
    }
    dropped_lines_and_a_start_are_gaps => {
        let more = "2026-06-07T07:03:31.010Z info [admission] Listening. address=10.0.0.2:1\n\
            2026-06-07T07:03:32.000Z warn [daemon] Dropped lines that nobody took in time. count=40\n";
        let (_, text) = story("aa", &both(more));
        holds_in_order(&text, &["gaps:", "side-1 started at", "side-1 dropped 40 lines"]);
    }
    a_request_that_nobody_knows_is_a_failure => {
        let (exit, text) = story("cc", &both(""));
        assert_eq!(exit, Exit::Failed);
        assert!(text.starts_with("cc: no line of these logs names it"), "{text}");
    }
}
