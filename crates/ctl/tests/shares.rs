//! Checks the sums that `shares` prints from logs.

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
    shares_with(&[], logs)
}

fn shares_with(options: &[&str], logs: &[&str]) -> (Exit, String) {
    let folder = tempfile::tempdir().expect("creating a temporary folder succeeds");
    let mut args = vec!["shares".to_owned()];
    args.extend(options.iter().map(|option| (*option).to_owned()));
    for (number, text) in logs.iter().enumerate() {
        let path = folder.path().join(format!("side-{number}.log"));
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

/// Returns the logs of a gateway and an admission over six seconds. `shop` gets all that it asks for; `surf` asks for twice as
/// much, is granted a tenth of what `shop` gets, and none of its requests begins.
fn logs_of_a_short_team() -> [Vec<String>; 2] {
    let (mut gateway, mut admission) = (Vec::new(), Vec::new());
    for second in 30..36 {
        let ended = format!("2026-06-07T07:03:{second}.900Z info [gateway] Request.");
        let granted = format!("2026-06-07T07:03:{second}.300Z info [admission] Granted.");
        let tokens = "prompt_tokens=800 answer_tokens=100";
        for (team, outcome, first_ms) in [
            ("shop", "complete", 100),
            ("surf", "overloaded", 0),
            ("surf", "not_run", 0),
        ] {
            let line = format!(
                "{ended} outcome={outcome} team={team} {tokens} first_ms={first_ms} ms=600"
            );
            gateway.extend(std::iter::repeat_n(line, 10));
        }
        admission.push(format!("{granted} team=surf {tokens}"));
    }
    let without_team = "2026-06-07T07:03:32.000Z info [gateway] Request. outcome=complete team=- prompt_tokens=0 answer_tokens=0 first_ms=5 ms=5";
    gateway.push(without_team.into());
    [gateway, admission]
}

cases! {
    a_team_below_half_of_the_best_served_team_is_short_and_its_stages_are_shown => {
        let [gateway, admission] = logs_of_a_short_team();
        let logs = [gateway.join("\n"), admission.join("\n")];
        let (exit, text) = shares_with(&["--team", "surf"], &[&logs[0], &logs[1]]);
        assert_eq!(exit, Exit::Ok);
        let short = "short from 0 s, in 6 s: surf: asked 120000, overloaded 60000, not run 60000, granted 6000, began 0; shop began 60000";
        assert!(text.contains(short), "{text}");
        let second = "3 s: asked 20000, overloaded 10000, not run 10000, granted 1000, began 0";
        assert!(text.contains(second), "{text}");
    }
    requests_of_a_team_are_shown_by_gateway_with_its_connections_and_shut_time => {
        let [gateway, admission] = logs_of_a_short_team();
        let load = "2026-06-07T07:03:33.950Z info [gateway] Load. connections=7 begun=2 refused_hot_teams=10 shut_ms=320 limit=24 lag_ms=82";
        let other = "2026-06-07T07:03:33.600Z info [gateway] Request. outcome=complete team=surf prompt_tokens=500 answer_tokens=0 first_ms=20 ms=100";
        let logs = [format!("{}\n{load}", gateway.join("\n")), admission.join("\n"), other.into()];
        let (_, text) = shares_with(&["--team", "surf", "--gateways"], &[&logs[0], &logs[1], &logs[2]]);
        let flooded = "3 s, side-0: asked 20000, overloaded 10000, not run 10000, granted 0, began 0; connections 7, shut 320 ms";
        assert!(text.contains(flooded), "{text}");
        let calm = "3 s, side-2: asked 500, overloaded 0, not run 0, granted 0, began 500\n";
        assert!(text.contains(calm), "{text}");
        assert!(!text.contains("side-1:"), "an admission is not a gateway: {text}");
    }
    a_team_without_rejections_in_every_second_is_not_short => {
        let [mut gateway, admission] = logs_of_a_short_team();
        gateway.retain(|line| !line.contains(":33."));
        let (_, text) = shares(&[&gateway.join("\n"), &admission.join("\n")]);
        assert!(!text.contains("short from"), "{text}");
    }
    gaps_engine_load_and_teams_are_summed_up_over_all_logs => {
        let (exit, text) = shares(&[SIDE_1, SIDE_2]);
        assert_eq!(exit, Exit::Ok);
        // In the first window surf has 1,000 plus twice 100 tokens, and shop 300; calm has no refusal, so it is not compared.
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
    logs_are_required => {
        let (exit, _) = shares(&[]);
        assert_ne!(exit, Exit::Ok);
    }
}
