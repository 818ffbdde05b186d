//! Tests of estimates, their decay and the limits on memory.

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

/// Returns an estimator that has recorded answers of these lengths to `request("a")`.
fn estimator_with(lengths: &[u64]) -> Estimator {
    let mut estimator = Estimator::new(Rules::default());
    for length in lengths {
        estimator.learn(&request("a"), 100 + length);
    }
    estimator
}

fn is_near(estimate: u64, actual: u64) -> bool {
    // A bucket spans half a doubling, so its midpoint is within a fifth of any value in it.
    estimate * 5 >= actual * 4 && estimate * 4 <= actual * 5
}

cases! {
    without_samples_the_hint_is_used_and_half_of_it_reserved_in_the_cache => {
        let estimate = estimator_with(&[]).estimate(&request("a"));
        assert_eq!(estimate, Estimate { service_units: 150, kv_tokens: 1025 });
    }

    without_a_hint_the_default_is_used => {
        let features = Features { hinted_tokens: None, ..request("a") };
        assert_eq!(estimator_with(&[]).estimate(&features).service_units, 356);
    }

    too_few_answers_are_ignored => {
        assert_eq!(estimator_with(&[800; 3]).estimate(&request("a")).service_units, 150);
    }

    estimates_use_the_median_of_similar_requests => {
        let estimate = estimator_with(&[10, 800, 800, 800, 4000]).estimate(&request("a"));
        assert!(is_near(estimate.service_units - 100, 800), "{estimate:?}");
        assert!(is_near(estimate.kv_tokens - 1000, 400), "{estimate:?}");
    }

    requests_with_other_features_are_not_similar => {
        let estimator = estimator_with(&[800; 9]);
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

    old_answers_decay => {
        let estimator = estimator_with(&[[2000; 500], [100; 500]].concat()[..620]);
        assert!(is_near(estimator.estimate(&request("a")).service_units - 100, 100));
    }

    a_team_evicts_only_its_own_groups_at_its_limit => {
        let mut estimator = estimator_with(&[800; 9]);
        let ask = |max_tokens| Features { max_tokens, ..request("b") };
        for max_tokens in 1..100 {
            estimator.learn(&ask(max_tokens), 500);
        }
        assert_eq!(estimator.group_count(), 1 + MAX_TEAM_GROUPS);
        assert!(is_near(estimator.estimate(&request("a")).service_units - 100, 800));
        assert_eq!(MAX_TEAM_BYTES, 1280);
    }

    the_oldest_team_is_evicted_at_the_limit => {
        let mut estimator = estimator_with(&[800; 9]);
        for team in 0..MAX_TEAMS {
            estimator.learn(&request(&team.to_string()), 500);
        }
        assert_eq!(estimator.group_count(), MAX_TEAMS);
        assert_eq!(estimator.estimate(&request("a")).service_units, 150);
    }
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn respects_caller_limit(lengths: Vec<u16>, max_tokens: u16) -> bool {
    let estimator = estimator_with(
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
fn quantile_is_near_an_answer(lengths: Vec<u16>, permille: u16) -> bool {
    let mut histogram = TokenHistogram::default();
    // Fewer than `HALVE_AT_WEIGHT`, so that no count is halved.
    let lengths: Vec<u64> = lengths
        .iter()
        .take(100)
        .map(|one| u64::from(*one).max(4))
        .collect();
    for one in &lengths {
        histogram.record(*one);
    }
    let quantile = histogram.quantile(permille % 1001);
    quantile.map_or(lengths.is_empty(), |quantile| {
        lengths.iter().any(|one| is_near(quantile, *one))
    })
}

cases! {
    estimates_stay_within_the_caller_s_limit => {
        quickcheck(respects_caller_limit as fn(Vec<u16>, u16) -> bool);
    }
    quantiles_are_near_an_answer => {
        quickcheck(quantile_is_near_an_answer as fn(Vec<u16>, u16) -> bool);
    }
}
