//! Checks what `shares` adds up out of logs.

use hinge_cases::cases;
use sequoiactl::{Environment, Exit, Streams, run};

const SIDE_1: &str = r"
2026-06-07T07:03:30.000Z info [admission] Granted. id=a team=surf waited_ms=0 ahead_tokens=0 prompt_tokens=1000 answer_tokens=100
2026-06-07T07:03:30.100Z info [admission] Engine. active=1 queued=0 unread_tokens=900
2026-06-07T07:03:31.000Z info [admission] Refused. id=b team=surf budget_ms=499 ahead_tokens=5859 prompt_tokens=400 answer_tokens=50 retry_after_ms=100
2026-06-07T07:03:31.100Z info [admission] Engine. active=1 queued=0 unread_tokens=0
2026-06-07T07:03:35.000Z info [admission] Granted. id=c team=shop waited_ms=0 ahead_tokens=0 prompt_tokens=10 answer_tokens=0
";

const SIDE_2: &str = r"
2026-06-07T07:03:30.500Z info [admission] Granted. id=d team=shop waited_ms=0 ahead_tokens=0 prompt_tokens=300 answer_tokens=0
2026-06-07T07:03:30.600Z info [admission] Refused. id=e team=shop budget_ms=499 ahead_tokens=5859 prompt_tokens=400 answer_tokens=50 retry_after_ms=100
2026-06-07T07:03:30.700Z info [admission] Granted. id=f team=calm waited_ms=0 ahead_tokens=0 prompt_tokens=1 answer_tokens=0
2026-06-07T07:03:31.200Z info [admission] Engine. active=0 queued=0 unread_tokens=0
not a line of ours
";

fn shares(logs: &[&str]) -> (Exit, String) {
    let folder = tempfile::tempdir().expect("the system gives a folder");
    let mut args = vec!["shares".to_owned()];
    for (number, text) in logs.iter().enumerate() {
        let path = folder.path().join(format!("side-{number}.log"));
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

cases! {
    gap_and_use_and_teams_are_added_up_over_all_logs => {
        let (exit, text) = shares(&[SIDE_1, SIDE_2]);
        assert_eq!(exit, Exit::Ok);
        // Of the first window, surf has 1,000 and twice 100 tokens and shop 300; calm waits for nothing.
        let gap = "median 900, widest 900 (from 0 s: surf before shop)";
        assert!(text.contains(gap), "{text}");
        assert!(text.contains("running 666, reading 333"), "{text}");
        assert!(text.contains("surf: granted 1 (1200 tokens), refused 1 (500 tokens)"), "{text}");
        assert!(text.contains("shop: granted 2 (310 tokens), refused 1 (500 tokens)"), "{text}");
    }
    logs_without_decisions_are_a_failure => {
        let (exit, text) = shares(&["nothing\n"]);
        assert_eq!((exit, text.trim()), (Exit::Failed, ""));
    }
    the_logs_must_be_named => {
        let (exit, _) = shares(&[]);
        assert_ne!(exit, Exit::Ok);
    }
}
