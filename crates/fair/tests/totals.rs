//! Tests that service is counted once despite lost, duplicate and reordered reports and restarted processes.

mod common;

use std::{collections::BTreeSet, time::Duration};

use common::{FAR_DEADLINE, ONE_FREE_SLOT, queue};
use hinge_cases::cases;
use hinge_fair::{
    Class, Epoch, MAX_TOMBSTONES, ORIGIN_EXPIRY_TIMEOUT, ORIGIN_SILENCE_TIMEOUT, Offer, Origin,
    Queue, SCALE, ServiceSum, ServiceSums, SumsReport, TeamSum, Totals, TotalsReply,
};
use quickcheck::quickcheck;

const ROOT_EPOCH: Epoch = Epoch {
    root: 1,
    merger: 1,
    turn: 0,
};
const NOW: Duration = Duration::from_secs(1);
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
        epoch: Some(ROOT_EPOCH),
        mark: version,
        teams: teams.collect(),
    }
}

/// Returns the queue of a sidecar at which teams a and b wait.
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
    assert_eq!(queue.push(NOW, &offer(offer_id, team), ()), Ok(None));
}

fn serve(queue: &mut Queue<()>, offer_id: u64, team: &str, units: u64) {
    queue
        .start(&offer(offer_id, team))
        .expect("the team is known");
    assert!(queue.finish(offer_id, units));
}

/// Exchanges reports and replies until the epochs are known and everything is confirmed.
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

/// Returns reports of three sidecars whose sums grow; the last three are their final ones.
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
        assert!(totals.merge(NOW, report).is_some());
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
    a_restarted_sidecar_adds_to_its_earlier_service => {
        let mut totals = Totals::new_root(1);
        let old = report("s", 1, 1, &[("a", sum(70, true))]);
        let new = report("s", 2, 1, &[("a", sum(5, false))]);
        let later = report("s", 1, 2, &[("a", sum(90, true))]);
        for late in [&old, &new, &old, &later, &new] {
            assert!(totals.merge(NOW, late).is_some());
        }
        assert_eq!(totals.service_units("a"), Some(75));
        assert_eq!(totals.backlogged().count(), 0);
    }

    an_expired_origin_restarts_its_sums => {
        let mut totals = Totals::new_root(1);
        let known = report("s", 1, 1, &[("a", sum(70, true))]);
        assert!(totals.merge(NOW, &known).is_some());
        totals.expire(NOW + ORIGIN_EXPIRY_TIMEOUT * 2);
        let reply = totals.merge(NOW, &known).expect("a root replies");
        assert!(reply.restart);
        assert_eq!(totals.service_units("a"), Some(70));
    }

    memory_is_bounded_under_sidecar_churn => {
        let mut totals = Totals::new_root(1);
        let mut now = NOW;
        for source in 0..MAX_TOMBSTONES + 1000 {
            now += ORIGIN_EXPIRY_TIMEOUT / 10;
            let report = report(&source.to_string(), 1, 1, &[("a", sum(1, true))]);
            assert!(totals.merge(now, &report).is_some());
            totals.expire(now);
        }
        assert!(totals.origin_count() <= MAX_TOMBSTONES + 11);
        assert_eq!(totals.service_units("a"), Some(MAX_TOMBSTONES as u64 + 1000));
    }

    a_silent_sidecar_does_not_lower_the_floor => {
        let mut totals = Totals::new_root(1);
        assert!(totals.merge(NOW, &report("dead", 1, 1, &[("a", sum(1, true))])).is_some());
        let later = NOW + ORIGIN_SILENCE_TIMEOUT * 2;
        let live = report("live", 1, 1, &[("b", sum(500, true))]);
        assert_eq!(totals.merge(later, &live).and_then(|reply| reply.floor_units), Some(1));
        totals.expire(later);
        assert_eq!(totals.merge(later, &live).and_then(|reply| reply.floor_units), Some(500));
        // Its team waited all the time, so it is not lifted when the sidecar returns.
        assert!(totals.merge(later, &report("dead", 1, 2, &[("a", sum(2, true))])).is_some());
        assert_eq!(totals.normalised("a"), Some(2));
        // A team that became backlogged during the silence is lifted.
        let latest = later + ORIGIN_SILENCE_TIMEOUT * 2;
        totals.expire(latest);
        assert!(totals.merge(latest, &live).is_some());
        let rose = ServiceSum { backlog_count: 1, ..sum(2, true) };
        assert!(totals.merge(latest, &report("dead", 1, 3, &[("a", rose)])).is_some());
        assert_eq!(totals.normalised("a"), Some(500));
    }

    a_returning_team_is_lifted_to_the_fleet_floor => {
        let mut totals = Totals::new_root(1);
        let busy = [("a", sum(900, true)), ("b", sum(800, true)), ("c", sum(10, false))];
        assert!(totals.merge(NOW, &report("s", 1, 1, &busy)).is_some());
        let back = [("c", sum(10, true))];
        let reply = totals.merge(NOW, &report("t", 1, 1, &back)).expect("a root replies");
        assert_eq!(totals.normalised("c"), Some(800));
        assert_eq!((reply.floor_units, reply.teams[0].settled), (Some(800), true));
        // The lift is not applied twice.
        assert!(totals.merge(NOW, &report("s", 1, 2, &back)).is_some());
        assert_eq!(totals.normalised("c"), Some(800));
    }

    a_sidecar_counts_remote_service => {
        let mut totals = Totals::new_root(1);
        let mut queue = sidecar();
        serve(&mut queue, 8, "b", 50);
        let early = exchange(&mut queue, &mut totals, NOW);
        let elsewhere = [("a", sum(70 * SCALE, true)), ("b", sum(0, true))];
        assert!(totals.merge(NOW, &report("other", 1, 1, &elsewhere)).is_some());
        serve(&mut queue, 9, "b", 10);
        exchange(&mut queue, &mut totals, NOW);
        queue.apply_totals(NOW, &early);
        let a = queue.account(0).effective();
        let b = queue.account(1).effective();
        assert_eq!((a, b), (70 * SCALE, 60 * SCALE));
        assert_eq!(queue.pick(NOW, ONE_FREE_SLOT).map(|picked| picked.offer_id), Some(2));
    }

    a_restarted_relay_counts_no_service_twice => {
        let mut root = Totals::new_root(1);
        let mut queue = sidecar();
        for incarnation in 1..5 {
            let mut relay = Totals::new_relay("relay", incarnation);
            assert_eq!(relay.merge(NOW, &queue.report("sidecar", 1)), None);
            forward(&mut relay, &mut root, NOW);
            serve(&mut queue, 10 * incarnation, "a", 100);
            exchange(&mut queue, &mut relay, NOW);
            forward(&mut relay, &mut root, NOW);
            // Service that the relay has confirmed but never forwarded is reported again to its successor.
            exchange(&mut queue, &mut relay, NOW);
            serve(&mut queue, 10 * incarnation + 1, "a", 7);
            exchange(&mut queue, &mut relay, NOW);
        }
        assert_eq!(root.service_units("a"), Some(4 * 100 + 3 * 7));
        assert_eq!(queue.account(0).normalised(), 4 * 107 * SCALE);
    }

    a_new_root_continues_from_the_reported_sums => {
        let mut queue = sidecar();
        let mut old = Totals::new_root(1);
        exchange(&mut queue, &mut old, NOW);
        assert!(old.merge(NOW, &report("other", 1, 1, &[("b", sum(500 * SCALE, true))])).is_some());
        serve(&mut queue, 8, "a", 100);
        let late = exchange(&mut queue, &mut old, NOW);
        serve(&mut queue, 9, "a", 30);
        let mut new = Totals::new_root(2);
        exchange(&mut queue, &mut new, NOW);
        queue.apply_totals(NOW, &late);
        assert_eq!(queue.report("sidecar", 1).epoch.map(|epoch| epoch.root), Some(2));
        assert_eq!(new.normalised("a"), Some(130 * SCALE));
        assert_eq!(new.normalised("b"), Some(500 * SCALE));
        assert_eq!(queue.account(1).normalised(), 500 * SCALE);
    }

    a_partition_lead_is_forgiven_and_then_corrected => {
        let mut totals = Totals::new_root(1);
        let mut queue = sidecar();
        exchange(&mut queue, &mut totals, NOW);
        let far = report("far", 1, 1, &[("a", sum(0, true))]);
        assert!(totals.merge(NOW, &far).is_some());
        let later = NOW + ORIGIN_SILENCE_TIMEOUT * 2;
        exchange(&mut queue, &mut totals, later);
        totals.expire(later);
        let rejoined = report("far", 1, 2, &[("a", sum(90_000 * SCALE, true))]);
        assert!(totals.merge(later, &rejoined).is_some());
        exchange(&mut queue, &mut totals, later);
        // A lead of four requests of 100 units remains, and each unit served from now on counts twice.
        assert_eq!(queue.account(0).normalised(), 90_000 * SCALE);
        assert_eq!(queue.account(0).effective(), 400 * SCALE);
        serve(&mut queue, 9, "a", 50);
        assert_eq!(queue.account(0).effective(), 500 * SCALE);
    }
}
