//! Checks which prompt parts are held when endpoints crash, and simulates how many sound requests that stops.

mod part_model;

use std::time::Duration;

use hinge_cases::cases;
use hinge_routing::{AnswerProgress, PartEvidence, RequestKey};

use crate::part_model::{Load, Outcome, Poison, simulate};

/// Number of seeds with which a load on fewer than [`MANY_ENGINES`] engines is simulated, and another one.
const SEEDS: u64 = 10;
const SEEDS_OF_MANY: u64 = 2;
const MANY_ENGINES: usize = 100;

fn load_of(engines: usize, poison: Poison, poison_interval_ms: u64, notice_lag_ms: u64) -> Load {
    Load {
        engines,
        running: 20,
        poison,
        poison_interval_ms,
        notice_lag_ms,
    }
}

/// Poison requests with one part that may reach engines late, as the users allow it.
const MAX_LATE: usize = 3;

/// Simulates a load with all seeds, checks that 95 of 100 sound requests are let through, and returns the highest number
/// of late poison requests.
fn most_late(load: Load) -> usize {
    let seeds = if load.engines < MANY_ENGINES {
        SEEDS
    } else {
        SEEDS_OF_MANY
    };
    let outcomes: Vec<_> = (0..seeds).map(|seed| simulate(load, seed)).collect();
    let sum = |count: fn(&Outcome) -> usize| outcomes.iter().map(count).sum::<usize>();
    let (sound, refused) = (
        sum(|outcome| outcome.sound),
        sum(|outcome| outcome.sound_refused),
    );
    println!(
        "{load:?}: {} crashes in {seeds} seeds, {refused} of {sound} sound requests refused later, {} of {} in all",
        sum(|outcome| outcome.crashes),
        sum(|outcome| outcome.all_refused),
        sum(|outcome| outcome.all_sound)
    );
    assert!(sound > 0, "sound requests are counted");
    let on_new_topic = sum(|outcome| outcome.on_new_topic);
    let refused_on_new_topic = sum(|outcome| outcome.on_new_topic_refused);
    assert!(
        refused_on_new_topic * 20 <= on_new_topic,
        "{refused_on_new_topic} of {on_new_topic} requests on the new topic were refused"
    );
    assert!(
        refused * 20 <= sound,
        "{refused} of {sound} sound requests were refused"
    );
    outcomes
        .iter()
        .map(|outcome| outcome.late)
        .max()
        .unwrap_or_default()
}

/// Checks that no request with a part that only poison requests have is sent late.
fn stops_poison_and_lets_sound_ones_through(load: Load) {
    assert_eq!(most_late(load), 0, "late poison requests");
}

/// Checks that few requests are sent late with a part that was sound before, which is tried again.
fn stops_a_part_that_turns_poisonous(load: Load) {
    let late = most_late(load);
    assert!(late <= MAX_LATE, "{late} late poison requests");
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the progress of an answer whose chunks arrive at these times.
fn progress(chunks_ms: &[u64]) -> AnswerProgress {
    let mut progress = AnswerProgress::begin(at(chunks_ms[0]));
    for chunk_ms in &chunks_ms[1..] {
        progress.record_chunk(at(*chunk_ms));
    }
    progress
}

cases! {
    an_answer_that_goes_on_for_half_a_second_survives_its_parts => {
        assert!(!progress(&[100]).has_survived());
        assert!(!progress(&[100, 300, 500]).has_survived());
        assert!(progress(&[100, 300, 500, 600]).has_survived());
    }
    chunks_that_a_stalled_gateway_reads_late_prove_nothing => {
        let progress = progress(&[100, 2_000, 2_001]);
        assert!(!progress.has_survived());
        assert_eq!(progress.began_at(), at(100));
    }
    an_answer_that_began_around_a_crash_clears_its_parts => {
        let part = RequestKey::of_part("engines", 1);
        let mut evidence = PartEvidence::default();
        assert!(!evidence.record_suspicion(part, at(10_000)));
        assert!(!evidence.record_survival(part, at(9_000)), "it began before the part may have turned poisonous");
        assert!(evidence.record_survival(part, at(9_600)));
        assert!(evidence.record_survival(part, at(10_500)));
    }
    a_part_that_has_just_survived_is_not_suspected => {
        let part = RequestKey::of_part("engines", 1);
        let mut evidence = PartEvidence::default();
        assert!(!evidence.record_survival(part, at(9_700)), "nothing counts against it");
        assert!(evidence.record_suspicion(part, at(10_000)));
        assert!(!evidence.record_suspicion(part, at(12_000)));
        assert!(evidence.was_sound(&part));
    }
    a_flood_of_parts_evicts_those_that_survived_longest_ago => {
        let mut evidence = PartEvidence::default();
        for number in 0..10_000 {
            evidence.record_survival(RequestKey::of_part("engines", number), at(number));
        }
        let sound = (0..10_000).filter(|number| evidence.was_sound(&RequestKey::of_part("engines", *number)));
        let sound: Vec<u64> = sound.collect();
        assert!((2_048..=4_096).contains(&sound.len()));
        assert_eq!(sound.last(), Some(&9_999));
        assert!(sound.windows(2).all(|pair| pair[0] + 1 == pair[1]), "the latest ones are kept");
    }
}

cases! { stops_a_part_that_turns_poisonous:
    if_it_is_the_first_one_of_a_route => load_of(12, Poison::FirstPart, 100, 300),
    if_it_is_the_first_one_of_a_route_on_47_engines => load_of(47, Poison::FirstPart, 100, 600),
}

cases! { stops_poison_and_lets_sound_ones_through:
    with_one_part_once_a_second => load_of(12, Poison::OwnParts(1), 1_000, 300),
    with_one_part_ten_times_a_second => load_of(12, Poison::OwnParts(1), 100, 300),
    with_one_part_that_is_known_late => load_of(12, Poison::OwnParts(1), 100, 1_300),
    with_three_parts => load_of(12, Poison::OwnParts(3), 300, 300),
    with_three_parts_that_are_known_late => load_of(12, Poison::OwnParts(3), 300, 1_300),
    with_ten_parts => load_of(12, Poison::OwnParts(10), 300, 300),
    with_ten_parts_ten_times_a_second => load_of(12, Poison::OwnParts(10), 100, 300),
    with_one_part_beside_a_new_topic => load_of(12, Poison::WithNewTopic, 100, 300),
    with_one_part_beside_a_new_topic_once_a_second => load_of(47, Poison::WithNewTopic, 1_000, 600),
    with_one_part_on_47_engines => load_of(47, Poison::OwnParts(1), 100, 300),
    with_ten_parts_on_47_engines => load_of(47, Poison::OwnParts(10), 100, 600),
    with_one_part_on_200_engines => load_of(200, Poison::OwnParts(1), 100, 600),
    with_ten_parts_on_200_engines => load_of(200, Poison::OwnParts(10), 100, 600),
}
