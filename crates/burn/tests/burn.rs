//! Checks budgets, burn rates and causes on recorded counters with known answers.

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

/// Starts the recordings, so that windows of days reach back.
const START_MS: u64 = 1_700_000_000_000;

fn effective(text: &str) -> EffectiveConfig {
    let file = ConfigFile {
        name: "a.toml".into(),
        text: text.into(),
    };
    EffectiveConfig::merge(&[file]).expect("the text is valid")
}

/// Holds pages of one instance by minute.
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

fn ends(completed: u32, reasons: &[(&str, &str, u32)]) -> String {
    let line = |outcome: &str, reason: &str, count: u32| {
        format!(
            "hinge_entry_requests_total{{outcome=\"{outcome}\",reason=\"{reason}\",team=\"surf\",class=\"urgent\"}} {count}\n"
        )
    };
    let bad = reasons.iter();
    let bad = bad.map(|(outcome, reason, count)| line(outcome, reason, *count));
    line("completed", "", completed) + &bad.collect::<String>()
}

const ANSWERED: &str =
    "[objectives.whole]\nwhat = 'answered_whole'\ntarget = 99\nwindows_ms = [3600000]\n";

fn near(left: f64, right: f64) -> bool {
    (left - right).abs() < 1e-9 * right.abs().max(1.0)
}

/// Checks what one end of a request means: the cause, or nothing when it is not counted.
fn burns((outcome, reason, cause): (&str, &str, Option<Cause>)) {
    let after = ends(100, &[(outcome, reason, 10)]);
    let report = report(ANSWERED, pages("e", &[(0, ""), (60, &after)]));
    let burners = &report.objectives[0].burners;
    assert_eq!(burners.first().map(|burner| burner.cause), cause);
    assert!(near(
        report.objectives[0].requests,
        if cause.is_some() { 110.0 } else { 100.0 }
    ));
}

cases! { burns:
    a_full_queue => ("not_run", "queue_full", Some(Cause::Queue)),
    a_failed_endpoint => ("unknown", "endpoint_failed", Some(Cause::Endpoint)),
    a_place_that_no_retry_mended => ("not_run", "sidecar_lost", Some(Cause::Retry)),
    a_lost_sidecar => ("unknown", "sidecar_lost", Some(Cause::Unknown)),
    a_limit => ("not_run", "over_limit", Some(Cause::Refusal)),
    an_entry_that_is_not_ready => ("not_run", "not_ready", Some(Cause::Refusal)),
    a_reason_of_a_later_version => ("unknown", "moonphase", Some(Cause::Unknown)),
    a_caller_that_left => ("unknown", "cancelled", None),
    a_caller_with_a_wrong_key => ("not_run", "wrong_key", None),
}

fn is_no_page(page: &str) {
    assert!(parse(page).is_err(), "{page}");
}

cases! { is_no_page:
    no_value => "up",
    a_value_that_is_no_number => "up yes",
    labels_without_end => "up{a=\"b\"",
    a_label_without_quotes => "up{a=b} 1",
    an_escape_without_end => "up{a=\"\\",
}

cases! {
    a_known_burn => {
        // 30 bad of 1,000 at a budget of 1 in 100 burn at 3, and overdraw the budget of those requests twice.
        let last = ends(970, &[("not_run", "queue_full", 20), ("unknown", "endpoint_failed", 10)]);
        let report = report(ANSWERED, pages("e", &[(0, &ends(0, &[])), (60, &last)]));
        let objective = &report.objectives[0];
        assert!(near(objective.budget_left.expect("there were requests"), -2.0));
        assert!(near(objective.windows[0].burn_rate.expect("there were requests"), 3.0));
        assert_eq!(objective.windows[0].alert, None);
        let [queue, endpoint] = &*objective.burners else { panic!("{objective:?}") };
        assert_eq!((&*queue.team, &*queue.class, queue.cause), ("surf", "urgent", Cause::Queue));
        assert!(near(queue.part, 2.0 / 3.0) && near(endpoint.bad, 10.0));
    }
    a_page_needs_both_windows => {
        // An hour may use 2 % of 30 days: a burn of 14.4. Here the fault of the first half hour is over.
        let fault = ends(500, &[("unknown", "endpoint_failed", 500)]);
        let over = ends(1500, &[("unknown", "endpoint_failed", 500)]);
        let still = ends(500, &[("unknown", "endpoint_failed", 1500)]);
        let alert = |last: &str| report(ANSWERED, pages("e", &[(0, ""), (30, &fault), (60, last)])).objectives[0].windows[0].alert;
        assert_eq!((alert(&over), alert(&still)), (None, Some(Level::Page)));
    }
    an_alert_needs_half_of_its_window => {
        let page = ends(0, &[("unknown", "endpoint_failed", 500)]);
        let alert = |minutes| report(ANSWERED, pages("e", &[(0, ""), (minutes, &page)])).objectives[0].windows[0].alert;
        assert_eq!((alert(29), alert(30)), (None, Some(Level::Page)));
    }
    default_windows_alert_at_the_usual_rates => {
        let text = "[objectives.whole]\nwhat = 'answered_whole'\ntarget = 99\n";
        let report = report(text, pages("e", &[(0, ""), (1, &ends(5, &[]))]));
        let rates: Vec<_> = report.objectives[0].windows.iter().map(|window| window.alert_at).collect();
        assert!(rates.iter().zip([14.4, 6.0, 1.0]).all(|(rate, want)| near(*rate, want)), "{rates:?}");
    }
    a_restart_starts_counters_anew => {
        // 100, then a restart and 7 since it: 107 in all, where a plain difference gives a fall of 93.
        let records = pages("e", &[(0, &ends(0, &[])), (1, &ends(100, &[])), (2, &ends(7, &[]))]);
        let report = report(ANSWERED, records);
        assert!(near(report.objectives[0].requests, 107.0));
        assert_eq!(report.coverage[0].restarts, 1);
    }
    a_restart_is_seen_by_another_counter_or_by_the_incarnation => {
        // The completed requests grew past their old value, but another counter fell: all of them started anew.
        let before = ends(10, &[("not_run", "shed", 5)]);
        let after = ends(30, &[("not_run", "shed", 1)]);
        let seen = report(ANSWERED, pages("e", &[(0, &before), (1, &after)]));
        assert!(near(seen.objectives[0].requests, 31.0));
        let info = |number: u8, count: u32| format!("hinge_process_info{{incarnation=\"{number}\"}} 1\n{}", ends(count, &[]));
        let seen = report(ANSWERED, pages("e", &[(0, &info(1, 10)), (1, &info(2, 30))]));
        assert!(near(seen.objectives[0].requests, 30.0));
    }
    instances_are_counted_apart => {
        let mut records = pages("a", &[(0, &ends(1000, &[])), (1, &ends(1010, &[]))]);
        records.extend(pages("b", &[(0, &ends(5, &[])), (1, &ends(6, &[]))]));
        records.reverse();
        assert!(near(report(ANSWERED, records).objectives[0].requests, 11.0));
    }
    missing_pages_are_said => {
        let mut records = pages("e", &[(0, &ends(0, &[])), (1, &ends(10, &[])), (2, &ends(20, &[])), (5, &ends(50, &[]))]);
        for minute in [3, 4] {
            records.push(Record::Missing(Missing { at_ms: START_MS + minute * MINUTE_MS, instance: "e".into(), cause: "no answer in time".into() }));
        }
        records.push(Record::Missing(Missing { at_ms: START_MS, instance: "gone".into(), cause: "refused".into() }));
        let report = report(ANSWERED, records);
        assert!(near(report.objectives[0].requests, 50.0));
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
        assert!(near(objective.windows[0].burn_rate.expect("there were requests"), 4.0));
        let causes: Vec<_> = objective.burners.iter().map(|burner| (burner.cause, burner.bad)).collect();
        assert!(matches!(&*causes, [(Cause::Queue, queue), (Cause::Endpoint, endpoint)] if near(*queue, 15.0) && near(*endpoint, 5.0)), "{causes:?}");
    }
    a_threshold_between_bounds_takes_the_lower_one => {
        let text = "[objectives.between]\nwhat = 'between_tokens_ms'\ntarget = 95\nthreshold_ms = 90\n";
        let page = "hinge_entry_between_chunks_seconds_bucket{le=\"0.076\"} 60\nhinge_entry_between_chunks_seconds_bucket{le=\"0.1\"} 90\nhinge_entry_between_chunks_seconds_count 100\n";
        let report = report(text, pages("e", &[(0, ""), (60, page)]));
        assert!(near(report.objectives[0].bad, 40.0));
        assert_eq!(report.objectives[0].measured_at_s, Some(0.076));
    }
    what_the_metrics_lack_is_named => {
        let text = "[teams.surf]\nshare = 1\n[objectives.a]\nwhat = 'waiting_ms'\nteam = 'surf'\ntarget = 95\nthreshold_ms = 430\n[objectives.b]\nwhat = 'between_tokens_ms'\ntarget = 95\nthreshold_ms = 76\n";
        let page = "hinge_entry_wait_seconds_bucket{class=\"urgent\",le=\"0.43\"} 1\n";
        let report = report(text, pages("e", &[(0, ""), (1, page)]));
        let reasons: Vec<_> = report.unmeasured.iter().map(|one| &*one.reason).collect();
        assert_eq!(reasons, ["hinge_entry_wait_seconds has no label team", "the samples hold no growth of hinge_entry_between_chunks_seconds"]);
    }
    a_gap_is_by_share_and_among_the_backlogged => {
        let whole = effective("[teams.surf]\nshare = 3\n[teams.board]\nshare = 1\n[teams.calm]\nshare = 1\n");
        let page = |surf, board| format!("hinge_sidecar_service_units_total{{team=\"surf\"}} {surf}\nhinge_sidecar_service_units_total{{team=\"board\"}} {board}\nhinge_sidecar_service_units_total{{team=\"calm\"}} 1\n");
        let report = gap(&whole, &Recording::collect(pages("s", &[(0, ""), (1, &page(300, 150))])), None);
        assert!(!report.pools[0].backlog_known && near(report.pools[0].gap.expect("teams are compared"), 149.0));
        let waiting = "hinge_sidecar_team_waiting{team=\"surf\"} 2\nhinge_sidecar_team_waiting{team=\"board\"} 1\nhinge_sidecar_team_waiting{team=\"calm\"} 0\n";
        let records = pages("s", &[(0, waiting), (1, &(page(300, 150) + waiting))]);
        let report = gap(&whole, &Recording::collect(records), None);
        assert!(near(report.pools[0].gap.expect("two teams are compared"), 50.0), "{report}");
    }
    capacity_that_idles_while_work_waits_is_seen => {
        let page = |running, waiting| format!("hinge_sidecar_running {running}\nhinge_sidecar_waiting{{class=\"urgent\"}} {waiting}\nhinge_sidecar_waiting{{class=\"batch\"}} 0\n");
        let pages_of = [page(4, 3), page(2, 0), page(2, 3), page(0, 0)];
        let mut records = pages("s", &[(0, &pages_of[0]), (1, &pages_of[1]), (2, &pages_of[2]), (3, &pages_of[3])]);
        records.push(Record::Slots(Slots { at_ms: START_MS, endpoints: vec![Endpoint { instance: "s".into(), pool: "llm".into(), slots: 4 }] }));
        let report = utilisation(&Recording::collect(records), None);
        let pool = &report.pools[0];
        assert!(near(pool.used.expect("slots are known"), 8.0 / 12.0));
        assert!(near(pool.idle_while_waiting.expect("slots are known"), 1.0 / 3.0));
    }
    a_recording_survives_a_cut_last_line_alone => {
        let lines: String = pages("e", &[(0, "a_total 1"), (1, "a_total{x=\"y\"} 2")]).iter().map(Record::line).collect();
        let whole = Recording::parse(&lines).expect("the lines are whole");
        assert_eq!(whole.span_ms(), Some((START_MS, START_MS + MINUTE_MS)));
        let cut = Recording::parse(&lines[..lines.len() - 3]).expect("a cut end is left out");
        assert!(cut.is_cut && cut.span_ms() == Some((START_MS, START_MS)));
        let error = Recording::parse(&format!("{}\n{lines}", &lines[..9])).expect_err("a cut line in the middle is no end");
        assert!(error.to_string().starts_with("line 1 of the samples"), "{error}");
    }
    the_pages_of_our_own_processes_are_read => {
        let registry = Registry::new();
        registry.counter("entry_retries", "Attempts beyond the first.").inc_by(3);
        registry.histogram("entry_wait_seconds", "Waits.", LATENCY_SECONDS).observe(0.2);
        let samples = parse(&registry.page().expect("the page has a text form")).expect("the page is read");
        let value = |name: &str, le: &str| samples.iter().find(|sample| &*sample.series.name == name && sample.series.label("le") == le).map(|sample| sample.value);
        assert_eq!(value("hinge_entry_retries_total", ""), Some(3.0));
        assert_eq!((value("hinge_entry_wait_seconds_bucket", "0.1"), value("hinge_entry_wait_seconds_bucket", "0.2")), (Some(0.0), Some(1.0)));
    }
    a_picture_has_its_parts => {
        let last = ends(970, &[("not_run", "queue_full", 30)]);
        let picture = svg(&report(ANSWERED, pages("e", &[(0, ""), (30, &ends(500, &[])), (60, &last)]))).expect("there is a burn rate");
        for part in ["Burn of error budgets", "minutes since 2023-11-14T22:13:20Z", "burn rate", "whole", "<polyline"] {
            assert!(picture.contains(part), "{part}");
        }
        let error = svg(&report(ANSWERED, Vec::new())).expect_err("there is nothing to draw");
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
    fn no_values_panic_and_nothing_counts_backwards(pages: Vec<(u64, u32, u8)>) -> bool {
        let records = pages.iter().map(|(at_ms, value, name)| Record::Scrape(Scrape {
            at_ms: *at_ms,
            instance: ["a", "b"][usize::from(*name % 2)].into(),
            samples: vec![Sample {
                series: Series { name: "hinge_entry_requests_total".into(), labels: [("outcome".into(), "completed".into())].into() },
                value: f64::from(*value),
            }],
        }));
        let recording = Recording::collect(records);
        let report = burn(&effective(ANSWERED), &recording);
        let grew: f64 = pages.iter().map(|(_, value, _)| f64::from(*value)).sum();
        let counted: f64 = increments(&recording).iter().map(|one| one.amount).sum();
        let _also_no_panic = (report.to_string(), svg(&report), utilisation(&recording, Some(5)).to_string());
        (0.0..=grew).contains(&counted)
    }
}
