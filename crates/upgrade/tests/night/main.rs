//! Tests nightly upgrades and planned stops in virtual time.

mod simulation;

use hinge_cases::cases;
use hinge_schema::messages::{OrderKind, OrderState, StopState, UpgradeState};
use hinge_state::upgrades::{EndpointStep, StopReason};
use hinge_state::{Command, DrainCommand};
use hinge_upgrade::WaitReason;
use quickcheck::QuickCheck;

use crate::simulation::{Announces, DAY_MS, Faults, OPENING_MS, Simulation};

const HOUR: u64 = 3600;

fn folder(plan: &str) -> String {
    format!(
        "[limits]\nweight_store_bytes_per_second = 1000\n\
         [pools.llm]\nkind = \"model\"\nfloor = 70\ndeadline_ms = 20000\n\
         [upgrades.night]\npool = \"llm\"\nmodel = \"m\"\nversion = \"v2\"\nmax_parallel = 3\n\
         weight_bytes = 4000\nwindow = {{ from = \"02:00\", until = \"05:00\" }}\n{plan}\n"
    )
}

fn night(plan: &str) -> Simulation {
    Simulation::new(7, &folder(plan), &[("llm", 10)])
}

fn plan_state(simulation: &Simulation) -> UpgradeState {
    let last = simulation.last.as_ref().expect("a second has passed");
    last.plans[0].state()
}

fn wait(simulation: &Simulation) -> Option<WaitReason> {
    let last = simulation.last.as_ref().expect("a second has passed");
    last.plans[0].wait.clone()
}

fn stop_state(simulation: &Simulation) -> StopState {
    let last = simulation.last.as_ref().expect("a second has passed");
    last.stops[0].state()
}

fn has_failed(simulation: &Simulation) -> bool {
    let orders = simulation.state.orders().list("", 100);
    orders.iter().any(|order| order.state == OrderState::Failed)
}

/// Runs a night with faults, which must not break an invariant, and then an hour without faults, after which all is settled.
fn run_with_faults(seed: u64, restores_state: bool) -> Simulation {
    let second = "[pools.tags]\nkind = \"model\"\nfloor = 50\ndeadline_ms = 20000\n\
        [upgrades.tags]\npool = \"tags\"\nmodel = \"t\"\nversion = \"v2\"\nmax_parallel = 2\n\
        weight_bytes = 30000\n";
    let on_failure = ["roll_back", "finish"][usize::from(seed.is_multiple_of(2))];
    let plans = format!("on_failure = \"{on_failure}\"\n{second}");
    let pools = [("llm", 10), ("tags", 4)];
    let mut simulation = Simulation::new(seed, &folder(&plans), &pools);
    simulation.restores_state = restores_state;
    simulation.run(1);
    simulation.faults = Faults {
        gone: 5,
        failed_orders: 10,
        new_leader: 20,
        lost: 100,
        repeated: 200,
    };
    simulation.run(400);
    simulation.faults = Faults::default();
    simulation.restores_state = false;
    // A hanging load takes half an hour to time out; until then nothing needs a decision every second.
    simulation.step_ms = 10_000;
    simulation.run(HOUR / 10);
    simulation
}

/// Runs few enough tests for a debug build to end in seconds; each makes hundreds of decisions.
fn check(holds: fn(u64) -> bool) {
    QuickCheck::new().tests(12).quickcheck(holds);
}

fn floor_needs((floor, total, want): (u32, u64, u64)) {
    assert_eq!(hinge_upgrade::required_endpoints(floor, total), want);
}

cases! { floor_needs:
    a_floor_is_rounded_up => (700_000, 3, 3),
    a_whole_number_stays => (700_000, 10, 7),
    no_floor => (0, 10, 0),
    a_floor_of_everything => (1_000_000, 10, 10),
}

cases! {
    a_quiet_night_upgrades_everything_once => {
        let mut simulation = night("");
        simulation.run(HOUR);
        assert_eq!(plan_state(&simulation), UpgradeState::Done);
        assert_eq!(simulation.serving("v2"), 10);
        for kind in [OrderKind::LoadModel, OrderKind::SetVersion, OrderKind::UnloadModel] {
            assert_eq!(simulation.count(kind), 10, "{kind}");
        }
        assert!(simulation.state.drains().is_empty() && !simulation.has_open_orders());
    }
    no_invariant_breaks_under_faults => {
        fn holds(seed: u64) -> bool {
            let simulation = run_with_faults(seed, false);
            let drains = simulation.state.drains().len();
            let rolling = simulation.at_step(EndpointStep::RollingBack);
            let last = simulation.last.as_ref().expect("seconds have passed");
            let is_settled = last.plans.iter().all(|plan| {
                matches!(plan.state(), UpgradeState::Done | UpgradeState::Stopped)
            });
            // Only an endpoint that also failed to roll back stays out of service.
            is_settled && drains == rolling && simulation.state.upgrades().in_progress().len() == rolling
        }
        check(holds);
    }
    a_state_restored_at_each_step_gives_the_same_orders => {
        fn holds(seed: u64) -> bool {
            run_with_faults(seed, true).orders() == run_with_faults(seed, false).orders()
        }
        check(holds);
    }
    the_first_failure_stops_the_plan_and_rolls_back => {
        let mut simulation = night("");
        simulation.run(30);
        simulation.faults.failed_orders = 1000;
        while simulation.state.upgrades().stopped().is_empty() {
            simulation.tick();
        }
        simulation.faults.failed_orders = 0;
        let (loads, served) = (simulation.count(OrderKind::LoadModel), simulation.serving("v2"));
        simulation.run(HOUR);
        assert_eq!(plan_state(&simulation), UpgradeState::Stopped);
        let reason = &simulation.state.upgrades().stopped()["night"].reason;
        assert!(matches!(reason, StopReason::OrderFailed { .. }));
        assert_eq!(simulation.count(OrderKind::LoadModel), loads);
        assert!(simulation.serving("v2") <= served && loads < 10);
        assert_eq!(simulation.serving("v1") + simulation.serving("v2"), 10);
        assert!(simulation.state.upgrades().in_progress().is_empty() && simulation.state.drains().is_empty());
        simulation.put_folder(&folder("attempt = 2"));
        simulation.run(HOUR);
        assert_eq!(plan_state(&simulation), UpgradeState::Done);
    }
    a_plan_that_finishes_brings_endpoints_under_way_to_the_new_version => {
        let mut simulation = night("on_failure = \"finish\"");
        simulation.run(5);
        let under_way = simulation.state.upgrades().in_progress().len();
        simulation.faults.failed_orders = 1000;
        while !has_failed(&simulation) {
            simulation.tick();
        }
        simulation.faults.failed_orders = 0;
        simulation.run(HOUR);
        assert_eq!(plan_state(&simulation), UpgradeState::Stopped);
        assert!(under_way > 1 && simulation.serving("v2") > 0);
    }
    an_endpoint_that_fails_to_switch_rolls_back_before_it_takes_work => {
        let mut simulation = night("");
        simulation.failing_kind = Some(OrderKind::SetVersion);
        while !has_failed(&simulation) {
            simulation.tick();
        }
        simulation.tick();
        simulation.failing_kind = None;
        assert!(simulation.at_step(EndpointStep::RollingBack) > 0);
        simulation.run(HOUR / 10);
        assert_eq!((simulation.serving("v1"), simulation.state.drains().len()), (10, 0));
        assert!(simulation.state.upgrades().in_progress().is_empty());
    }
    an_endpoint_that_hangs_times_out_and_rolls_back_when_it_answers => {
        let mut simulation = night("");
        simulation.run(1);
        let name = simulation.state.upgrades().in_progress().keys().next().expect("one began").clone();
        let back_ms = OPENING_MS + 2 * 3_600_000;
        simulation.instances.get_mut(&name).expect("it exists").gone_until_ms = back_ms;
        simulation.run(HOUR);
        let reason = simulation.state.upgrades().stopped()["night"].reason.clone();
        let step = EndpointStep::Loading;
        assert_eq!(reason, StopReason::TimedOut { instance: name.clone(), step });
        simulation.run(HOUR + 60);
        assert_eq!(&*simulation.instances[&name].serving, "v1");
        assert!(simulation.is_in_service(&name) && simulation.state.upgrades().in_progress().is_empty());
    }
    outside_the_window_only_upgrades_in_progress_continue => {
        let mut simulation = night("");
        simulation.now_ms = OPENING_MS + 3 * 3_600_000 - 20_000;
        simulation.run(20 + HOUR);
        let loads = simulation.count(OrderKind::LoadModel);
        assert!(loads > 0 && loads < 10);
        assert_eq!(simulation.serving("v2"), loads);
        assert_eq!(wait(&simulation), Some(WaitReason::Window { until_ms: OPENING_MS + DAY_MS }));
    }
    a_window_may_pass_midnight => {
        let plan = folder("").replace("02:00", "23:00").replace("05:00", "01:00");
        let mut simulation = Simulation::new(1, &plan, &[("llm", 10)]);
        simulation.now_ms = OPENING_MS - 3_600_001;
        simulation.tick();
        assert_eq!(wait(&simulation), Some(WaitReason::Window { until_ms: OPENING_MS + 21 * 3_600_000 }));
        simulation.now_ms = OPENING_MS + 21 * 3_600_000;
        simulation.tick();
        assert!(!simulation.state.upgrades().in_progress().is_empty());
    }
    a_floor_that_needs_every_endpoint_is_reported => {
        let mut simulation = Simulation::new(1, &folder(""), &[("llm", 3)]);
        simulation.run(60);
        assert_eq!(wait(&simulation), Some(WaitReason::FloorNeedsAll));
        assert_eq!(simulation.count(OrderKind::LoadModel), 0);
    }
    endpoints_that_are_gone_count_as_out_of_service => {
        let plan = folder("").replace("02:00", "02:01");
        let mut simulation = Simulation::new(1, &plan, &[("llm", 10)]);
        simulation.run(5);
        for number in 0..3 {
            let name = format!("llm-{number:03}");
            simulation.instances.get_mut(&*name).expect("it exists").gone_until_ms = u64::MAX;
        }
        simulation.run(600);
        assert_eq!(wait(&simulation), Some(WaitReason::Floor { in_service: 7, needed: 7 }));
        assert_eq!(simulation.count(OrderKind::LoadModel), 0);
    }
    a_load_larger_than_the_burst_waits_for_a_full_bucket => {
        let plan = folder("").replace("weight_bytes = 4000", "weight_bytes = 60000");
        let mut simulation = Simulation::new(1, &plan, &[("llm", 10)]);
        simulation.run(59);
        assert_eq!(simulation.count(OrderKind::LoadModel), 1);
        assert!(matches!(wait(&simulation), Some(WaitReason::Store { .. })));
        simulation.run(2);
        assert_eq!(simulation.count(OrderKind::LoadModel), 2);
    }
    a_drain_ends_when_nothing_runs => {
        let seconds = |announces| {
            let mut simulation = night("");
            (simulation.announces, simulation.request_ms) = (announces, 1_000);
            simulation.tick();
            while plan_state(&simulation) != UpgradeState::Done {
                simulation.tick();
            }
            (simulation.now_ms - OPENING_MS) / 1000
        };
        let (known, unknown) = (seconds(Announces::Running), seconds(Announces::Nothing));
        assert!(known + 20 < unknown, "{known} s and {unknown} s");
    }
    a_request_beyond_the_deadline_is_waited_for => {
        let mut simulation = night("");
        (simulation.announces, simulation.request_ms) = (Announces::Running, 90_000);
        simulation.run(HOUR);
        assert_eq!((plan_state(&simulation), simulation.serving("v2")), (UpgradeState::Done, 10));
    }
    a_request_that_never_ends_stops_the_plan_and_keeps_running => {
        let mut simulation = night("");
        (simulation.announces, simulation.request_ms) = (Announces::Running, DAY_MS);
        simulation.run(HOUR);
        let stopped = &simulation.state.upgrades().stopped()["night"].reason;
        assert!(matches!(stopped, StopReason::TimedOut { step: EndpointStep::Loading, .. }));
        assert_eq!((simulation.count(OrderKind::SetVersion), simulation.state.drains().len()), (0, 0));
    }
    ejected_endpoints_count_as_out_of_service => {
        let mut simulation = night("");
        simulation.ejected = (0..3).map(|number| format!("llm-{number:03}").into()).collect();
        simulation.run(600);
        assert_eq!(wait(&simulation), Some(WaitReason::Floor { in_service: 7, needed: 7 }));
        assert_eq!(simulation.count(OrderKind::LoadModel), 0);
        simulation.ejected.clear();
        simulation.run(HOUR);
        assert_eq!(plan_state(&simulation), UpgradeState::Done);
    }
    a_second_plan_for_the_same_model_waits => {
        let more = "[upgrades.other]\npool = \"llm\"\nmodel = \"m\"\nversion = \"v3\"";
        let mut simulation = night(more);
        simulation.run(HOUR);
        assert_eq!((simulation.serving("v2"), simulation.serving("v3")), (10, 0));
        let last = simulation.last.as_ref().expect("an hour has passed");
        let plan = "night".into();
        assert_eq!(last.plans[1].wait, Some(WaitReason::OtherPlan { plan }));
    }
    an_adapter_is_loaded_once_and_never_set_as_the_version => {
        let plan = folder("").replace("model = \"m\"", "adapter = \"a\"");
        let mut simulation = Simulation::new(1, &plan, &[("llm", 10)]);
        simulation.run(HOUR);
        assert_eq!(plan_state(&simulation), UpgradeState::Done);
        assert_eq!((simulation.count(OrderKind::LoadAdapter), simulation.placed.len()), (10, 10));
        simulation.put_folder(&plan.replace("v2", "v3"));
        simulation.run(HOUR);
        assert_eq!(simulation.count(OrderKind::UnloadAdapter), 10);
    }
    an_operator_who_ends_the_drain_ends_the_upgrade => {
        let mut simulation = night("");
        simulation.run(2);
        let name = simulation.state.upgrades().in_progress().keys().next().expect("one began").clone();
        simulation.apply(Command::Drain(DrainCommand {
            instance: name.clone(),
            draining: false,
            operator: "ana".into(),
            note: Box::default(),
            deadline_ms: 0,
            now_ms: 0,
        }));
        assert!(!simulation.state.upgrades().in_progress().contains_key(&name));
        assert!(simulation.is_in_service(&name));
    }
    a_stop_of_a_pool_proceeds_in_waves_above_the_floor => {
        let stop = format!("[stops.kernel]\npool = \"llm\"\nfrom = {OPENING_MS}\ndeadline_ms = 5000");
        let text = folder(&stop).replace("02:00", "20:00").replace("05:00", "21:00");
        let mut simulation = Simulation::new(1, &text, &[("llm", 10)]);
        let mut max_drained = 0;
        for _ in 0..10 {
            simulation.run(3);
            let drains = simulation.state.drains();
            max_drained = max_drained.max(drains.len());
            for drain in &drains {
                let at = simulation.instances.get_mut(&drain.instance).expect("it exists");
                at.incarnation = 2;
            }
        }
        assert_eq!(max_drained, 3);
        assert_eq!(stop_state(&simulation), StopState::Done);
        assert!(simulation.state.drains().is_empty());
    }
    a_stop_of_a_data_center_may_go_below_the_floor_and_reports_it => {
        let stop = format!("[stops.a]\ndata_center = \"hall-a\"\nfrom = {OPENING_MS}\ndeadline_ms = 5000");
        let text = folder(&stop).replace("02:00", "20:00").replace("05:00", "21:00");
        let mut simulation = Simulation::new(1, &text, &[("llm", 10)]);
        simulation.run(4);
        assert_eq!(simulation.state.drains().len(), 4);
        let report = simulation.last.as_ref().expect("seconds have passed").stops[0].clone();
        assert_eq!(report.below_floor, [Box::from("llm")]);
        assert_eq!(report.state(), StopState::Draining);
        simulation.run(5);
        assert_eq!(stop_state(&simulation), StopState::Late);
        simulation.put_folder(&text.replace("stops.a", "stops.b").replace("hall-a", "hall-none"));
        simulation.run(2);
        assert!(simulation.state.drains().is_empty());
    }
}
