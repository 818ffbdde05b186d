//! Checks that sums of service count once, whatever happens to the reports and the processes.

mod common;

use std::{collections::BTreeSet, time::Duration};

use common::{FAR_DEADLINE, ONE_FREE_SLOT, queue};
use hinge_cases::cases;
use hinge_fair::{
    Class, Epoch, MAX_TOMBSTONES, ORIGIN_EXPIRY_TIMEOUT, ORIGIN_SILENCE_TIMEOUT, Offer, Origin,
    Queue, SCALE, ServiceSum, ServiceSums, SumsReport, TeamSum, Totals, TotalsReply,
};
use quickcheck::quickcheck;

const ROOT: Epoch = Epoch {
    root: 1,
    merger: 1,
    turn: 0,
};
const SOON: Duration = Duration::from_secs(1);
const TEAMS: [&str; 3] = ["a", "b", "c"];

fn sum(units: u64, backlogged: bool) -> ServiceSum {
    ServiceSum {
        service_units: units,
        normalised_units: units,
        backlogged,
        ..ServiceSum::default()
    }
}

fn report(
    source: &str,
    incarnation: u64,
    version: u64,
    teams: &[(&str, ServiceSum)],
) -> SumsReport {
    let origin = Origin {
        source: source.into(),
        incarnation,
        generation: 0,
    };
    let teams = teams.iter().map(|(team, sum)| TeamSum {
        team: (*team).into(),
        version,
        sum: *sum,
    });
    SumsReport {
        origin,
        epoch: Some(ROOT),
        mark: version,
        teams: teams.collect(),
    }
}

/// A sidecar at which teams a and b wait.
fn sidecar() -> Queue<()> {
    let mut queue = queue(1000, 100, &TEAMS.map(|team| (team, 1, 1000)));
    push(&mut queue, 1, "a");
    push(&mut queue, 2, "b");
    queue
}

fn offer(offer_id: u64, team: &str) -> Offer {
    common::offer(offer_id, team, Class::Standard, 100, FAR_DEADLINE)
}

fn push(queue: &mut Queue<()>, offer_id: u64, team: &str) {
    assert_eq!(queue.push(SOON, &offer(offer_id, team), ()), Ok(None));
}

fn serve(queue: &mut Queue<()>, offer_id: u64, team: &str, units: u64) {
    queue
        .start(&offer(offer_id, team))
        .expect("the team is known");
    assert!(queue.finish(offer_id, units));
}

/// Reports until the epochs are known and everything is confirmed.
fn exchange(queue: &mut Queue<()>, totals: &mut Totals, now: Duration) -> TotalsReply {
    let mut step = || {
        let report = queue.report("sidecar", 1);
        let reply = totals.merge(now, &report).expect("the root is known");
        queue.apply_totals(now, &reply);
        reply
    };
    let _ = (step(), step());
    step()
}

fn forward(relay: &mut Totals, root: &mut Totals, now: Duration) {
    for _ in 0..3 {
        let report = relay.report().expect("a relay reports");
        let reply = root.merge(now, &report).expect("a root knows itself");
        relay.apply_totals(now, &reply);
    }
}

/// Reports of three sidecars whose sums grow; the last three are their final ones.
fn history(steps: &[(u8, u8, u8)]) -> Vec<SumsReport> {
    let mut sums = [
        ServiceSums::default(),
        ServiceSums::default(),
        ServiceSums::default(),
    ];
    let mut reports = Vec::new();
    for (source, team, units) in steps {
        let sidecar = usize::from(*source) % sums.len();
        let team = u32::from(*team) % 3;
        let grown = sums[sidecar].get(team).service_units + u64::from(*units);
        sums[sidecar].set(team, sum(grown, units % 2 == 0));
        reports.push(full_report(sidecar, &sums[sidecar]));
    }
    reports.extend((0..sums.len()).map(|sidecar| full_report(sidecar, &sums[sidecar])));
    reports
}

fn full_report(sidecar: usize, sums: &ServiceSums) -> SumsReport {
    let mut report = report(TEAMS[sidecar], 1, sums.mark(), &[]);
    for (team, version, sum) in sums.changes_since(0) {
        let team = TEAMS[team as usize].into();
        report.teams.push(TeamSum { team, version, sum });
    }
    report
}

fn merged<'a>(reports: impl Iterator<Item = &'a SumsReport>) -> (Vec<Option<u64>>, Vec<String>) {
    let mut totals = Totals::new_root(1);
    for report in reports {
        assert!(totals.merge(SOON, report).is_some());
    }
    let units = TEAMS.iter().map(|team| totals.service_units(team));
    let backlogged = totals.backlogged().map(|(team, _)| team.to_owned());
    let mut backlogged: Vec<String> = backlogged.collect();
    backlogged.sort();
    (units.collect(), backlogged)
}

quickcheck! {
    fn any_order_with_duplicates_and_losses_gives_the_same_totals(
        steps: Vec<(u8, u8, u8)>, deliveries: Vec<usize>
    ) -> bool {
        let reports = history(&steps);
        let last = reports.len() - 3;
        let disordered = deliveries.iter().map(|index| &reports[index % reports.len()]);
        merged(disordered.chain(&reports[last..])) == merged(reports.iter())
    }

    fn changes_since_a_mark_are_the_changed_sums_only(before: Vec<u8>, after: Vec<u8>) -> bool {
        let mut sums = ServiceSums::default();
        for team in &before {
            sums.set(u32::from(*team), sum(1, false));
        }
        let mark = sums.mark();
        for team in &after {
            sums.set(u32::from(*team), sum(2, false));
        }
        let changed = sums.changes_since(mark).map(|(team, _, _)| team);
        changed.collect::<BTreeSet<u32>>() == after.into_iter().map(u32::from).collect()
    }
}

cases! {
    a_restarted_sidecar_adds_to_what_it_gave => {
        let mut totals = Totals::new_root(1);
        let old = report("s", 1, 1, &[("a", sum(70, true))]);
        let new = report("s", 2, 1, &[("a", sum(5, false))]);
        let later = report("s", 1, 2, &[("a", sum(90, true))]);
        for late in [&old, &new, &old, &later, &new] {
            assert!(totals.merge(SOON, late).is_some());
        }
        assert_eq!(totals.service_units("a"), Some(75));
        assert_eq!(totals.backlogged().count(), 0);
    }

    a_forgotten_origin_starts_anew => {
        let mut totals = Totals::new_root(1);
        let known = report("s", 1, 1, &[("a", sum(70, true))]);
        assert!(totals.merge(SOON, &known).is_some());
        totals.expire(SOON + ORIGIN_EXPIRY_TIMEOUT * 2);
        let reply = totals.merge(SOON, &known).expect("a root replies");
        assert!(reply.restart);
        assert_eq!(totals.service_units("a"), Some(70));
    }

    memory_is_bounded_though_sidecars_come_and_go => {
        let mut totals = Totals::new_root(1);
        let mut now = SOON;
        for source in 0..MAX_TOMBSTONES + 1000 {
            now += ORIGIN_EXPIRY_TIMEOUT / 10;
            let report = report(&source.to_string(), 1, 1, &[("a", sum(1, true))]);
            assert!(totals.merge(now, &report).is_some());
            totals.expire(now);
        }
        assert!(totals.origin_count() <= MAX_TOMBSTONES + 11);
        assert_eq!(totals.service_units("a"), Some(MAX_TOMBSTONES as u64 + 1000));
    }

    a_silent_sidecar_holds_no_floor_down => {
        let mut totals = Totals::new_root(1);
        assert!(totals.merge(SOON, &report("dead", 1, 1, &[("a", sum(1, true))])).is_some());
        let later = SOON + ORIGIN_SILENCE_TIMEOUT * 2;
        let live = report("live", 1, 1, &[("b", sum(500, true))]);
        assert_eq!(totals.merge(later, &live).and_then(|reply| reply.floor_units), Some(1));
        totals.expire(later);
        assert_eq!(totals.merge(later, &live).and_then(|reply| reply.floor_units), Some(500));
        // It comes back as it was: its team waited all the time, so it is not lifted.
        assert!(totals.merge(later, &report("dead", 1, 2, &[("a", sum(2, true))])).is_some());
        assert_eq!(totals.normalised("a"), Some(2));
        // A flag that rose during the silence is another matter.
        let latest = later + ORIGIN_SILENCE_TIMEOUT * 2;
        totals.expire(latest);
        assert!(totals.merge(latest, &live).is_some());
        let rose = ServiceSum { backlog_count: 1, ..sum(2, true) };
        assert!(totals.merge(latest, &report("dead", 1, 3, &[("a", rose)])).is_some());
        assert_eq!(totals.normalised("a"), Some(500));
    }

    a_team_back_from_idle_is_lifted_to_the_least_of_the_fleet => {
        let mut totals = Totals::new_root(1);
        let busy = [("a", sum(900, true)), ("b", sum(800, true)), ("c", sum(10, false))];
        assert!(totals.merge(SOON, &report("s", 1, 1, &busy)).is_some());
        let back = [("c", sum(10, true))];
        let reply = totals.merge(SOON, &report("t", 1, 1, &back)).expect("a root replies");
        assert_eq!(totals.normalised("c"), Some(800));
        assert_eq!((reply.floor_units, reply.teams[0].settled), (Some(800), true));
        // The lift is not given twice.
        assert!(totals.merge(SOON, &report("s", 1, 2, &back)).is_some());
        assert_eq!(totals.normalised("c"), Some(800));
    }

    a_sidecar_counts_what_others_gave => {
        let mut totals = Totals::new_root(1);
        let mut queue = sidecar();
        serve(&mut queue, 8, "b", 50);
        let early = exchange(&mut queue, &mut totals, SOON);
        let elsewhere = [("a", sum(70 * SCALE, true)), ("b", sum(0, true))];
        assert!(totals.merge(SOON, &report("other", 1, 1, &elsewhere)).is_some());
        serve(&mut queue, 9, "b", 10);
        exchange(&mut queue, &mut totals, SOON);
        queue.apply_totals(SOON, &early);
        let a = queue.account(0).effective();
        let b = queue.account(1).effective();
        assert_eq!((a, b), (70 * SCALE, 60 * SCALE));
        assert_eq!(queue.pick(SOON, ONE_FREE_SLOT).map(|picked| picked.offer_id), Some(2));
    }

    a_restarted_relay_counts_nothing_twice => {
        let mut root = Totals::new_root(1);
        let mut queue = sidecar();
        for incarnation in 1..5 {
            let mut relay = Totals::new_relay("relay", incarnation);
            assert_eq!(relay.merge(SOON, &queue.report("sidecar", 1)), None);
            forward(&mut relay, &mut root, SOON);
            serve(&mut queue, 10 * incarnation, "a", 100);
            exchange(&mut queue, &mut relay, SOON);
            forward(&mut relay, &mut root, SOON);
            // What the relay has confirmed but never forwarded is reported again to its successor.
            exchange(&mut queue, &mut relay, SOON);
            serve(&mut queue, 10 * incarnation + 1, "a", 7);
            exchange(&mut queue, &mut relay, SOON);
        }
        assert_eq!(root.service_units("a"), Some(4 * 100 + 3 * 7));
        assert_eq!(queue.account(0).normalised(), 4 * 107 * SCALE);
    }

    a_new_root_goes_on_where_the_old_one_was => {
        let mut queue = sidecar();
        let mut old = Totals::new_root(1);
        exchange(&mut queue, &mut old, SOON);
        assert!(old.merge(SOON, &report("other", 1, 1, &[("b", sum(500 * SCALE, true))])).is_some());
        serve(&mut queue, 8, "a", 100);
        let late = exchange(&mut queue, &mut old, SOON);
        serve(&mut queue, 9, "a", 30);
        let mut new = Totals::new_root(2);
        exchange(&mut queue, &mut new, SOON);
        queue.apply_totals(SOON, &late);
        assert_eq!(queue.report("sidecar", 1).epoch.map(|epoch| epoch.root), Some(2));
        assert_eq!(new.normalised("a"), Some(130 * SCALE));
        assert_eq!(new.normalised("b"), Some(500 * SCALE));
        assert_eq!(queue.account(1).normalised(), 500 * SCALE);
    }

    a_lead_from_a_partition_is_forgiven_and_paid_back => {
        let mut totals = Totals::new_root(1);
        let mut queue = sidecar();
        exchange(&mut queue, &mut totals, SOON);
        let far = report("far", 1, 1, &[("a", sum(0, true))]);
        assert!(totals.merge(SOON, &far).is_some());
        let later = SOON + ORIGIN_SILENCE_TIMEOUT * 2;
        exchange(&mut queue, &mut totals, later);
        totals.expire(later);
        let rejoined = report("far", 1, 2, &[("a", sum(90_000 * SCALE, true))]);
        assert!(totals.merge(later, &rejoined).is_some());
        exchange(&mut queue, &mut totals, later);
        // Four requests of 100 units stay, and each unit served from now on counts twice.
        assert_eq!(queue.account(0).normalised(), 90_000 * SCALE);
        assert_eq!(queue.account(0).effective(), 400 * SCALE);
        serve(&mut queue, 9, "a", 50);
        assert_eq!(queue.account(0).effective(), 500 * SCALE);
    }
}
