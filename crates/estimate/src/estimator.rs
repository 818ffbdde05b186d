//! Estimates costs from those of similar requests, or from hints until enough costs are known.

use std::{
    collections::{HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
};

use hinge_fair::Class;

use crate::histogram::TokenHistogram;

/// Maximum groups of one team, twice as many as a team of the benchmark uses; the oldest is evicted first.
pub const MAX_TEAM_GROUPS: usize = 16;

/// Maximum teams of one estimator, above the target of 1,500; the oldest is evicted first.
pub const MAX_TEAMS: usize = 2048;

/// Maximum memory of one team's groups, in bytes, excluding the team's name and its table entries.
pub const MAX_TEAM_BYTES: usize = MAX_TEAM_GROUPS * size_of::<(u64, TokenHistogram)>();

/// The properties of a request that are known before it runs.
#[derive(Clone, Copy, Debug)]
pub struct Features<'a> {
    /// Name of the team.
    pub team: &'a str,
    /// Urgency class.
    pub class: Class,
    /// Name of the model.
    pub model: &'a str,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Caller's limit on generated tokens; 0 if it sets none.
    pub max_tokens: u64,
    /// Caller's estimate of the generated tokens.
    pub hinted_tokens: Option<u64>,
}

/// The expected cost of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Estimate {
    /// Expected service, in the pool's service units.
    pub service_units: u64,
    /// KV cache tokens to reserve for the prompt and the answer.
    pub kv_tokens: u64,
}

/// The criteria by which requests are grouped as similar.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Grouping {
    /// Same team, class and model.
    TeamClassModel,
    /// Same team, class, model and `max_tokens`, and prompt lengths between the same two powers of two.
    Similar,
}

/// The settings of the estimation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rules {
    /// Criteria by which requests are grouped as similar.
    pub grouping: Grouping,
    /// Quantile of a group's generated tokens, in thousandths, on which the service estimate is based.
    pub service_quantile_permille: u16,
    /// Quantile of a group's generated tokens, in thousandths, on which the KV cache estimate is based.
    pub kv_quantile_permille: u16,
    /// Fraction of that estimate to reserve, in thousandths; concurrent requests rarely all near their end at once.
    pub kv_reserve_permille: u16,
    /// Minimum weight of a group's histogram before its quantiles are used.
    pub min_weight: u16,
    /// Service units per thousand prompt tokens.
    pub prompt_units_permille: u64,
    /// Service units per thousand generated tokens.
    pub generated_units_permille: u64,
    /// Expected generated tokens without a hint or enough similar requests.
    pub default_generated_tokens: u64,
}

impl Default for Rules {
    /// Returns the rules with the best benchmark results; see `docs/design/cost-estimate.md`.
    fn default() -> Self {
        Self {
            grouping: Grouping::Similar,
            service_quantile_permille: 500,
            kv_quantile_permille: 500,
            kv_reserve_permille: 500,
            min_weight: 4,
            prompt_units_permille: 100,
            generated_units_permille: 1000,
            default_generated_tokens: 256,
        }
    }
}

/// An estimator that learns the costs of similar requests in bounded memory.
#[derive(Debug)]
pub struct Estimator {
    rules: Rules,
    teams: HashMap<Box<str>, VecDeque<(u64, TokenHistogram)>>,
    insertion_order: VecDeque<Box<str>>,
}

impl Estimator {
    /// Returns an estimator without samples.
    #[must_use]
    pub fn new(rules: Rules) -> Self {
        Self {
            rules,
            teams: HashMap::new(),
            insertion_order: VecDeque::new(),
        }
    }

    /// Returns whether enough similar requests have ended to base an estimate on them.
    #[must_use]
    pub fn has_samples(&self, features: &Features<'_>) -> bool {
        let group = self.group(features);
        let median = group.and_then(|group| group.quantile(self.rules.service_quantile_permille));
        median.is_some()
    }

    /// Returns the estimated cost of a request.
    #[must_use]
    pub fn estimate(&self, features: &Features<'_>) -> Estimate {
        let group = self.group(features);
        let quantile = |permille| group.and_then(|group| group.quantile(permille));
        let expected = quantile(self.rules.service_quantile_permille);
        let expected = expected.unwrap_or_else(|| self.fallback_tokens(features));
        let kv_expected = quantile(self.rules.kv_quantile_permille).unwrap_or(expected);
        let capped = |tokens: u64| match features.max_tokens {
            0 => tokens,
            max => tokens.min(max),
        };
        let reserve_permille = u64::from(self.rules.kv_reserve_permille);
        Estimate {
            service_units: self.units(features.prompt_tokens, capped(expected)),
            kv_tokens: features.prompt_tokens + capped(kv_expected) * reserve_permille / 1000,
        }
    }

    /// Records the actual cost of a request, in the pool's service units.
    pub fn learn(&mut self, features: &Features<'_>, actual_units: u64) {
        let prompt_units = self.units(features.prompt_tokens, 0);
        let generated_units = actual_units.saturating_sub(prompt_units);
        let weight = self.rules.generated_units_permille.max(1);
        let generated = generated_units.saturating_mul(1000) / weight;
        let key = self.group_key(features);
        let groups = self.team_groups_mut(features.team);
        if let Some((_, group)) = groups.iter_mut().find(|(other, _)| *other == key) {
            return group.record(generated);
        }
        if groups.len() == MAX_TEAM_GROUPS {
            groups.pop_front();
        }
        let mut group = TokenHistogram::default();
        group.record(generated);
        groups.push_back((key, group));
    }

    /// Returns the number of groups of all teams.
    #[must_use]
    pub fn group_count(&self) -> usize {
        self.teams.values().map(VecDeque::len).sum()
    }

    fn team_groups_mut(&mut self, team: &str) -> &mut VecDeque<(u64, TokenHistogram)> {
        if !self.teams.contains_key(team) {
            if self.teams.len() == MAX_TEAMS {
                let oldest = self.insertion_order.pop_front();
                let oldest = oldest.expect("every team is in the insertion order");
                self.teams.remove(&oldest);
            }
            self.insertion_order.push_back(team.into());
        }
        self.teams.entry(team.into()).or_default()
    }

    fn group(&self, features: &Features<'_>) -> Option<&TokenHistogram> {
        let key = self.group_key(features);
        let groups = self.teams.get(features.team)?;
        let (_, group) = groups.iter().find(|(other, _)| *other == key)?;
        (group.weight() >= self.rules.min_weight).then_some(group)
    }

    /// Returns the expected generated tokens of a request whose group has too few samples.
    fn fallback_tokens(&self, features: &Features<'_>) -> u64 {
        features
            .hinted_tokens
            .unwrap_or(self.rules.default_generated_tokens)
    }

    fn units(&self, prompt_tokens: u64, generated_tokens: u64) -> u64 {
        let prompt = prompt_tokens.saturating_mul(self.rules.prompt_units_permille);
        let generated = generated_tokens.saturating_mul(self.rules.generated_units_permille);
        prompt.saturating_add(generated) / 1000
    }

    fn group_key(&self, features: &Features<'_>) -> u64 {
        let mut hasher = DefaultHasher::new();
        let class = Class::ALL.iter().position(|one| *one == features.class);
        (class, features.model).hash(&mut hasher);
        if self.rules.grouping == Grouping::Similar {
            let prompt_doubling = features.prompt_tokens.max(1).ilog2();
            (features.max_tokens, prompt_doubling).hash(&mut hasher);
        }
        hasher.finish()
    }
}
