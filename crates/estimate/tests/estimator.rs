//! Checks what the estimator learns, forgets and holds.

use hinge_cases::cases;
use hinge_estimate::{
    Estimate, Estimator, Features, MAX_TEAM_BYTES, MAX_TEAM_GROUPS, MAX_TEAMS, Rules,
    TokenHistogram,
};
use hinge_fair::Class;
use quickcheck::quickcheck;

fn request(team: &str) -> Features<'_> {
    Features {
        team,
        class: Class::Standard,
        model: "forecast",
        prompt_tokens: 1000,
        max_tokens: 4096,
        hinted_tokens: Some(50),
    }
}

/// Returns an estimator that has learnt answers of these lengths to `request("a")`.
fn learnt(lengths: &[u64]) -> Estimator {
    let mut estimator = Estimator::new(Rules::default());
    for length in lengths {
        estimator.learn(&request("a"), 100 + length);
    }
    estimator
}

fn is_near(estimate: u64, actual: u64) -> bool {
    // Half a doubling wide cells, and their middle: within a fifth.
    estimate * 5 >= actual * 4 && estimate * 4 <= actual * 5
}

cases! {
    an_unknown_group_gets_the_hint_and_half_of_it_in_the_cache => {
        let estimate = learnt(&[]).estimate(&request("a"));
        assert_eq!(estimate, Estimate { service_units: 150, kv_tokens: 1025 });
    }

    without_a_hint_the_default_counts => {
        let features = Features { hinted_tokens: None, ..request("a") };
        assert_eq!(learnt(&[]).estimate(&features).service_units, 356);
    }

    a_few_answers_are_not_believed => {
        assert_eq!(learnt(&[800; 3]).estimate(&request("a")).service_units, 150);
    }

    the_median_of_similar_requests_counts => {
        let estimate = learnt(&[10, 800, 800, 800, 4000]).estimate(&request("a"));
        assert!(is_near(estimate.service_units - 100, 800), "{estimate:?}");
        assert!(is_near(estimate.kv_tokens - 1000, 400), "{estimate:?}");
    }

    others_are_not_similar => {
        let estimator = learnt(&[800; 9]);
        let others = [
            request("b"),
            Features { class: Class::Urgent, ..request("a") },
            Features { model: "other", ..request("a") },
            Features { max_tokens: 100, ..request("a") },
            Features { prompt_tokens: 5000, ..request("a") },
        ];
        for other in others {
            let prompt_units = other.prompt_tokens / 10;
            assert_eq!(estimator.estimate(&other).service_units, prompt_units + 50, "{other:?}");
        }
    }

    old_answers_are_forgotten => {
        let estimator = learnt(&[[2000; 500], [100; 500]].concat()[..620]);
        assert!(is_near(estimator.estimate(&request("a")).service_units - 100, 100));
    }

    a_team_s_memory_is_bounded_and_costs_no_other_team => {
        let mut estimator = learnt(&[800; 9]);
        let ask = |max_tokens| Features { max_tokens, ..request("b") };
        for max_tokens in 1..100 {
            estimator.learn(&ask(max_tokens), 500);
        }
        assert_eq!(estimator.group_count(), 1 + MAX_TEAM_GROUPS);
        assert!(is_near(estimator.estimate(&request("a")).service_units - 100, 800));
        assert_eq!(MAX_TEAM_BYTES, 1280);
    }

    teams_are_bounded => {
        let mut estimator = learnt(&[800; 9]);
        for team in 0..MAX_TEAMS {
            estimator.learn(&request(&team.to_string()), 500);
        }
        assert_eq!(estimator.group_count(), MAX_TEAMS);
        assert_eq!(estimator.estimate(&request("a")).service_units, 150);
    }
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn stays_below_the_caller_s_limit(lengths: Vec<u16>, max_tokens: u16) -> bool {
    let estimator = learnt(
        &lengths
            .iter()
            .map(|one| u64::from(*one))
            .collect::<Vec<_>>(),
    );
    let max_tokens = u64::from(max_tokens).max(1);
    let features = Features {
        max_tokens,
        ..request("a")
    };
    let estimate = estimator.estimate(&features);
    estimate.service_units <= 100 + max_tokens && estimate.kv_tokens <= 1000 + max_tokens
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn a_quantile_is_near_an_answer(lengths: Vec<u16>, permille: u16) -> bool {
    let mut group = TokenHistogram::default();
    // Fewer than are halved, so that all of them count.
    let lengths: Vec<u64> = lengths
        .iter()
        .take(100)
        .map(|one| u64::from(*one).max(4))
        .collect();
    for one in &lengths {
        group.learn(*one);
    }
    let quantile = group.quantile(permille % 1001);
    quantile.map_or(lengths.is_empty(), |quantile| {
        lengths.iter().any(|one| is_near(quantile, *one))
    })
}

cases! {
    estimates_stay_below_the_caller_s_limit => {
        quickcheck(stays_below_the_caller_s_limit as fn(Vec<u16>, u16) -> bool);
    }
    quantiles_are_near_an_answer => {
        quickcheck(a_quantile_is_near_an_answer as fn(Vec<u16>, u16) -> bool);
    }
}
