//! Tests budgets, burn rates, causes, gaps and utilisation on recorded counters with known results.

use hinge_burn::{
    BurnReport, Cause, Endpoint, Level, Missing, Record, Recording, Sample, Scrape, Series, Slots,
    burn, gap, increments, parse, svg, utilisation,
};
use hinge_cases::cases;
use hinge_config::ConfigFile;
use hinge_config::effective::EffectiveConfig;
use hinge_telemetry::metrics::{LATENCY_SECONDS, Registry};
use quickcheck::quickcheck;

const MINUTE_MS: u64 = 60_000;

/// Start of the recordings; late enough that windows of days don't begin before 1970.
const START_MS: u64 = 1_700_000_000_000;

fn effective(text: &str) -> EffectiveConfig {
    let file = ConfigFile {
        name: "a.toml".into(),
        text: text.into(),
    };
    EffectiveConfig::merge(&[file]).expect("the text is valid")
}

/// Returns the records of an instance's pages, given by minute.
fn pages(instance: &str, pages: &[(u64, &str)]) -> Vec<Record> {
    let scrape = |(minute, page): &(u64, &str)| {
        Record::Scrape(Scrape {
            at_ms: START_MS + minute * MINUTE_MS,
            instance: instance.into(),
            samples: parse(page).expect("the page is valid"),
        })
    };
    pages.iter().map(scrape).collect()
}

fn report(text: &str, records: Vec<Record>) -> BurnReport {
    burn(&effective(text), &Recording::collect(records))
}

fn outcome_counters(completed: u32, reasons: &[(&str, &str, u32)]) -> String {
    let line = |outcome: &str, reason: &str, count: u32| {
        format!(
            "hinge_entry_requests_total{{outcome=\"{outcome}\",reason=\"{reason}\",team=\"surf\",class=\"urgent\"}} {count}\n"
        )
    };
    let bad = reasons.iter();
    let bad = bad.map(|(outcome, reason, count)| line(outcome, reason, *count));
    line("completed", "", completed) + &bad.collect::<String>()
}

const ANSWERED_OBJECTIVE: &str =
    "[objectives.whole]\nwhat = 'answered_whole'\ntarget = 99\nwindows_ms = [3600000]\n";

fn is_close(left: f64, right: f64) -> bool {
    (left - right).abs() < 1e-9 * right.abs().max(1.0)
}

/// Checks the cause under which an outcome counts as bad, or that it is not counted.
fn counts_as((outcome, reason, cause): (&str, &str, Option<Cause>)) {
    let after = outcome_counters(100, &[(outcome, reason, 10)]);
    let report = report(ANSWERED_OBJECTIVE, pages("e", &[(0, ""), (60, &after)]));
    let burners = &report.objectives[0].burners;
    assert_eq!(burners.first().map(|burner| burner.cause), cause);
    assert!(is_close(
        report.objectives[0].requests,
        if cause.is_some() { 110.0 } else { 100.0 }
    ));
}

cases! { counts_as:
    a_full_queue => ("not_run", "queue_full", Some(Cause::Queue)),
    a_failed_endpoint => ("unknown", "endpoint_failed", Some(Cause::Endpoint)),
    a_lost_sidecar_without_a_successful_retry => ("not_run", "sidecar_lost", Some(Cause::Retry)),
    a_lost_sidecar_with_unknown_outcome => ("unknown", "sidecar_lost", Some(Cause::Unknown)),
    a_limit => ("not_run", "over_limit", Some(Cause::Refusal)),
    an_entry_that_is_not_ready => ("not_run", "not_ready", Some(Cause::Refusal)),
    a_reason_of_a_later_version => ("unknown", "moonphase", Some(Cause::Unknown)),
    a_caller_that_left => ("unknown", "cancelled", None),
    a_caller_with_a_wrong_key => ("not_run", "wrong_key", None),
}

fn is_rejected(page: &str) {
    assert!(parse(page).is_err(), "{page}");
}

cases! { is_rejected:
    no_value => "up",
    a_value_that_is_no_number => "up yes",
    labels_without_end => "up{a=\"b\"",
    a_label_without_quotes => "up{a=b} 1",
    an_escape_without_end => "up{a=\"\\",
}

cases! {
    burn_rate_and_causes_follow_from_counts => {
        // 30 bad of 1,000 requests with a budget of 1 in 100 are a burn rate of 3: twice the budget beyond it.
        let last = outcome_counters(970, &[("not_run", "queue_full", 20), ("unknown", "endpoint_failed", 10)]);
        let report = report(ANSWERED_OBJECTIVE, pages("e", &[(0, &outcome_counters(0, &[])), (60, &last)]));
        let objective = &report.objectives[0];
        assert!(is_close(objective.budget_left.expect("there were requests"), -2.0));
        assert!(is_close(objective.windows[0].burn_rate.expect("there were requests"), 3.0));
        assert_eq!(objective.windows[0].alert, None);
        let [queue, endpoint] = &*objective.burners else { panic!("{objective:?}") };
        assert_eq!((&*queue.team, &*queue.class, queue.cause), ("surf", "urgent", Cause::Queue));
        assert!(is_close(queue.part, 2.0 / 3.0) && is_close(endpoint.bad, 10.0));
    }
    a_page_needs_both_windows => {
        // An hour may use 2 % of 30 days: a burn rate of 14.4. In `over`, the fault ends after half an hour.
        let fault = outcome_counters(500, &[("unknown", "endpoint_failed", 500)]);
        let over = outcome_counters(1500, &[("unknown", "endpoint_failed", 500)]);
        let still = outcome_counters(500, &[("unknown", "endpoint_failed", 1500)]);
        let alert = |last: &str| report(ANSWERED_OBJECTIVE, pages("e", &[(0, ""), (30, &fault), (60, last)])).objectives[0].windows[0].alert;
        assert_eq!((alert(&over), alert(&still)), (None, Some(Level::Page)));
    }
    an_alert_needs_half_of_its_window => {
        let page = outcome_counters(0, &[("unknown", "endpoint_failed", 500)]);
        let alert = |minutes| report(ANSWERED_OBJECTIVE, pages("e", &[(0, ""), (minutes, &page)])).objectives[0].windows[0].alert;
        assert_eq!((alert(29), alert(30)), (None, Some(Level::Page)));
    }
    default_windows_alert_at_the_usual_rates => {
        let text = "[objectives.whole]\nwhat = 'answered_whole'\ntarget = 99\n";
        let report = report(text, pages("e", &[(0, ""), (1, &outcome_counters(5, &[]))]));
        let rates: Vec<_> = report.objectives[0].windows.iter().map(|window| window.alert_at).collect();
        assert!(rates.iter().zip([14.4, 6.0, 1.0]).all(|(rate, want)| is_close(*rate, want)), "{rates:?}");
    }
    a_restart_resets_counters => {
        // 100, then 7 since a restart: 107 in all, where a plain difference would be -93.
        let records = pages("e", &[(0, &outcome_counters(0, &[])), (1, &outcome_counters(100, &[])), (2, &outcome_counters(7, &[]))]);
        let report = report(ANSWERED_OBJECTIVE, records);
        assert!(is_close(report.objectives[0].requests, 107.0));
        assert_eq!(report.coverage[0].restarts, 1);
    }
    a_restart_is_detected_by_another_counter_or_by_the_incarnation => {
        // The completed requests exceed their old value, but another counter fell: all counters started from zero.
        let before = outcome_counters(10, &[("not_run", "shed", 5)]);
        let after = outcome_counters(30, &[("not_run", "shed", 1)]);
        let seen = report(ANSWERED_OBJECTIVE, pages("e", &[(0, &before), (1, &after)]));
        assert!(is_close(seen.objectives[0].requests, 31.0));
        let info = |number: u8, count: u32| format!("hinge_process_info{{incarnation=\"{number}\"}} 1\n{}", outcome_counters(count, &[]));
        let seen = report(ANSWERED_OBJECTIVE, pages("e", &[(0, &info(1, 10)), (1, &info(2, 30))]));
        assert!(is_close(seen.objectives[0].requests, 30.0));
    }
    instances_are_counted_separately => {
        let mut records = pages("a", &[(0, &outcome_counters(1000, &[])), (1, &outcome_counters(1010, &[]))]);
        records.extend(pages("b", &[(0, &outcome_counters(5, &[])), (1, &outcome_counters(6, &[]))]));
        records.reverse();
        assert!(is_close(report(ANSWERED_OBJECTIVE, records).objectives[0].requests, 11.0));
    }
    missing_pages_are_reported => {
        let mut records = pages("e", &[(0, &outcome_counters(0, &[])), (1, &outcome_counters(10, &[])), (2, &outcome_counters(20, &[])), (5, &outcome_counters(50, &[]))]);
        for minute in [3, 4] {
            records.push(Record::Missing(Missing { at_ms: START_MS + minute * MINUTE_MS, instance: "e".into(), cause: "no answer in time".into() }));
        }
        records.push(Record::Missing(Missing { at_ms: START_MS, instance: "gone".into(), cause: "refused".into() }));
        let report = report(ANSWERED_OBJECTIVE, records);
        assert!(is_close(report.objectives[0].requests, 50.0));
        let e = &report.coverage[0];
        assert_eq!((e.pages, e.missing, e.longest_gap_ms, e.restarts), (4, 2, Some(3 * MINUTE_MS), 0));
        assert!(report.coverage[1].is_unusable);
        let text = report.to_string();
        assert!(text.contains("e: 2 of 6 pages are missing, the last because: no answer in time; a gap of 3m was taken as even"), "{text}");
        assert!(text.contains("gone: 1 of 1 pages are missing"), "{text}");
    }
    first_tokens_are_late_in_the_queue_or_at_the_endpoint => {
        let text = "[objectives.first]\nwhat = 'first_token_ms'\ntarget = 95\nthreshold_ms = 430\n";
        let page = "hinge_entry_first_byte_seconds_bucket{le=\"0.3\"} 70\nhinge_entry_first_byte_seconds_bucket{le=\"0.43\"} 80\nhinge_entry_first_byte_seconds_bucket{le=\"+Inf\"} 100\nhinge_entry_first_byte_seconds_count 100\nhinge_entry_wait_seconds_bucket{le=\"0.43\"} 85\nhinge_entry_wait_seconds_count 100\n";
        let report = report(text, pages("e", &[(0, ""), (60, page)]));
        let objective = &report.objectives[0];
        assert!(is_close(objective.windows[0].burn_rate.expect("there were requests"), 4.0));
        let causes: Vec<_> = objective.burners.iter().map(|burner| (burner.cause, burner.bad)).collect();
        assert!(matches!(&*causes, [(Cause::Queue, queue), (Cause::Endpoint, endpoint)] if is_close(*queue, 15.0) && is_close(*endpoint, 5.0)), "{causes:?}");
    }
    a_threshold_between_bounds_uses_the_lower_one => {
        let text = "[objectives.between]\nwhat = 'between_tokens_ms'\ntarget = 95\nthreshold_ms = 90\n";
        let page = "hinge_entry_between_chunks_seconds_bucket{le=\"0.076\"} 60\nhinge_entry_between_chunks_seconds_bucket{le=\"0.1\"} 90\nhinge_entry_between_chunks_seconds_count 100\n";
        let report = report(text, pages("e", &[(0, ""), (60, page)]));
        assert!(is_close(report.objectives[0].bad, 40.0));
        assert_eq!(report.objectives[0].measured_at_s, Some(0.076));
    }
    missing_metrics_are_named => {
        let text = "[teams.surf]\nshare = 1\n[objectives.a]\nwhat = 'waiting_ms'\nteam = 'surf'\ntarget = 95\nthreshold_ms = 430\n[objectives.b]\nwhat = 'between_tokens_ms'\ntarget = 95\nthreshold_ms = 76\n";
        let page = "hinge_entry_wait_seconds_bucket{class=\"urgent\",le=\"0.43\"} 1\n";
        let report = report(text, pages("e", &[(0, ""), (1, page)]));
        let reasons: Vec<_> = report.unmeasured.iter().map(|one| &*one.reason).collect();
        assert_eq!(reasons, ["hinge_entry_wait_seconds has no label team", "the samples hold no growth of hinge_entry_between_chunks_seconds"]);
    }
    the_gap_is_by_share_and_among_backlogged_teams => {
        let whole = effective("[teams.surf]\nshare = 3\n[teams.board]\nshare = 1\n[teams.calm]\nshare = 1\n");
        let page = |surf, board| format!("hinge_sidecar_service_units_total{{team=\"surf\"}} {surf}\nhinge_sidecar_service_units_total{{team=\"board\"}} {board}\nhinge_sidecar_service_units_total{{team=\"calm\"}} 1\n");
        let report = gap(&whole, &Recording::collect(pages("s", &[(0, ""), (1, &page(300, 150))])), None);
        assert!(!report.pools[0].backlog_known && is_close(report.pools[0].gap.expect("teams are compared"), 149.0));
        let waiting = "hinge_sidecar_team_waiting{team=\"surf\"} 2\nhinge_sidecar_team_waiting{team=\"board\"} 1\nhinge_sidecar_team_waiting{team=\"calm\"} 0\n";
        let records = pages("s", &[(0, waiting), (1, &(page(300, 150) + waiting))]);
        let report = gap(&whole, &Recording::collect(records), None);
        assert!(is_close(report.pools[0].gap.expect("two teams are compared"), 50.0), "{report}");
    }
    capacity_that_is_idle_while_work_waits_is_reported => {
        let page = |running, waiting| format!("hinge_sidecar_running {running}\nhinge_sidecar_waiting{{class=\"urgent\"}} {waiting}\nhinge_sidecar_waiting{{class=\"batch\"}} 0\n");
        let pages_of = [page(4, 3), page(2, 0), page(2, 3), page(0, 0)];
        let mut records = pages("s", &[(0, &pages_of[0]), (1, &pages_of[1]), (2, &pages_of[2]), (3, &pages_of[3])]);
        records.push(Record::Slots(Slots { at_ms: START_MS, endpoints: vec![Endpoint { instance: "s".into(), pool: "llm".into(), slots: 4 }] }));
        let report = utilisation(&Recording::collect(records), None);
        let pool = &report.pools[0];
        assert!(is_close(pool.used.expect("slots are known"), 8.0 / 12.0));
        assert!(is_close(pool.idle_while_waiting.expect("slots are known"), 1.0 / 3.0));
    }
    only_a_truncated_last_line_is_tolerated => {
        let lines: String = pages("e", &[(0, "a_total 1"), (1, "a_total{x=\"y\"} 2")]).iter().map(Record::line).collect();
        let whole = Recording::parse(&lines).expect("the lines are whole");
        assert_eq!(whole.span_ms(), Some((START_MS, START_MS + MINUTE_MS)));
        let cut = Recording::parse(&lines[..lines.len() - 3]).expect("a cut end is left out");
        assert!(cut.is_cut && cut.span_ms() == Some((START_MS, START_MS)));
        let error = Recording::parse(&format!("{}\n{lines}", &lines[..9])).expect_err("a cut line in the middle is no end");
        assert!(error.to_string().starts_with("line 1 of the samples"), "{error}");
    }
    pages_of_the_metrics_registry_are_parsed => {
        let registry = Registry::new();
        registry.counter("entry_retries", "Attempts beyond the first.").inc_by(3);
        registry.histogram("entry_wait_seconds", "Waits.", LATENCY_SECONDS).observe(0.2);
        let samples = parse(&registry.page().expect("the page has a text form")).expect("the page is read");
        let value = |name: &str, le: &str| samples.iter().find(|sample| &*sample.series.name == name && sample.series.label("le") == le).map(|sample| sample.value);
        assert_eq!(value("hinge_entry_retries_total", ""), Some(3.0));
        assert_eq!((value("hinge_entry_wait_seconds_bucket", "0.1"), value("hinge_entry_wait_seconds_bucket", "0.2")), (Some(0.0), Some(1.0)));
    }
    a_chart_has_its_parts => {
        let last = outcome_counters(970, &[("not_run", "queue_full", 30)]);
        let picture = svg(&report(ANSWERED_OBJECTIVE, pages("e", &[(0, ""), (30, &outcome_counters(500, &[])), (60, &last)]))).expect("there is a burn rate");
        for part in ["Burn of error budgets", "minutes since 2023-11-14T22:13:20Z", "burn rate", "whole", "<polyline"] {
            assert!(picture.contains(part), "{part}");
        }
        let error = svg(&report(ANSWERED_OBJECTIVE, Vec::new())).expect_err("there is nothing to draw");
        assert_eq!(error.to_string(), "there is no burn rate to draw");
    }
}

quickcheck! {
    fn no_page_panics(page: String) -> bool {
        parse(&page).is_ok_and(|samples| samples.iter().all(|sample| sample.value.is_finite())) || parse(&page).is_err()
    }
    fn no_labels_panic(labels: String) -> bool {
        parse(&format!("up{{{labels}}} 1")).map_or(true, |samples| samples.len() <= labels.lines().count().max(1))
    }
    fn no_samples_file_panics(text: String) -> bool {
        Recording::parse(&text).is_ok() || Recording::parse(&text).is_err()
    }
    fn no_values_panic_and_no_increment_is_negative(pages: Vec<(u64, u32, u8)>) -> bool {
        let records = pages.iter().map(|(at_ms, value, name)| Record::Scrape(Scrape {
            at_ms: *at_ms,
            instance: ["a", "b"][usize::from(*name % 2)].into(),
            samples: vec![Sample {
                series: Series { name: "hinge_entry_requests_total".into(), labels: [("outcome".into(), "completed".into())].into() },
                value: f64::from(*value),
            }],
        }));
        let recording = Recording::collect(records);
        let report = burn(&effective(ANSWERED_OBJECTIVE), &recording);
        let grew: f64 = pages.iter().map(|(_, value, _)| f64::from(*value)).sum();
        let counted: f64 = increments(&recording).iter().map(|one| one.amount).sum();
        let _also_no_panic = (report.to_string(), svg(&report), utilisation(&recording, Some(5)).to_string());
        (0.0..=grew).contains(&counted)
    }
}
