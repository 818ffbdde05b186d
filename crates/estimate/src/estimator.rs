//! Estimates from the costs of similar requests, and from rough hints before any are known.

use std::{
    collections::{HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
};

use hinge_fair::Class;

use crate::histogram::TokenHistogram;

/// Groups that one team holds: twice what the bench's teams send; the one added first goes first.
pub const MAX_TEAM_GROUPS: usize = 16;

/// Teams that one estimator holds: more than the 1,500 of the target; the one added first goes first.
pub const MAX_TEAMS: usize = 2048;

/// Most memory of one team's groups, in bytes, beside its name and its place in the tables.
pub const MAX_TEAM_BYTES: usize = MAX_TEAM_GROUPS * size_of::<(u64, TokenHistogram)>();

/// What is known of a request before it runs.
#[derive(Clone, Copy, Debug)]
pub struct Features<'a> {
    /// Name of the team.
    pub team: &'a str,
    /// Urgency class.
    pub class: Class,
    /// Name of the model.
    pub model: &'a str,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens that the caller lets the model generate; 0 when it does not say.
    pub max_tokens: u64,
    /// Tokens that the caller expects to be generated.
    pub hinted_tokens: Option<u64>,
}

/// What a request is expected to cost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Estimate {
    /// Expected service, in units of the pool.
    pub service_units: u64,
    /// Tokens of KV cache to set aside for the prompt and the answer.
    pub kv_tokens: u64,
}

/// Says which requests count as similar.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Grouping {
    /// Those of one team, class and model.
    TeamClassModel,
    /// Those of one team, class and model that also ask alike: equal `max_tokens`, and prompts within a doubling.
    Similar,
}

/// Sets how costs are estimated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rules {
    /// Which requests count as similar.
    pub grouping: Grouping,
    /// Part of a group's requests, in thousandths, that cost no more than the service estimate.
    pub service_quantile_permille: u16,
    /// Part of a group's requests, in thousandths, that generate no more than the KV estimate.
    pub kv_quantile_permille: u16,
    /// Part of that, in thousandths, that is set aside: runs are at different stages, so that few are at their end.
    pub kv_reserve_permille: u16,
    /// Answers that a group must have seen before it is believed.
    pub min_weight: u16,
    /// Service units of a thousand prompt tokens.
    pub prompt_units_permille: u64,
    /// Service units of a thousand generated tokens.
    pub generated_units_permille: u64,
    /// Generated tokens that are expected when nothing is known.
    pub default_generated_tokens: u64,
}

impl Default for Rules {
    /// Returns the rules that the bench favours; see `docs/design/cost-estimate.md`.
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

/// Learns the costs of similar requests, in bounded memory.
#[derive(Debug)]
pub struct Estimator {
    rules: Rules,
    teams: HashMap<Box<str>, VecDeque<(u64, TokenHistogram)>>,
    order: VecDeque<Box<str>>,
}

impl Estimator {
    /// Opens an estimator that has learnt nothing.
    #[must_use]
    pub fn new(rules: Rules) -> Self {
        Self {
            rules,
            teams: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Returns whether enough similar requests have ended for their costs to count.
    #[must_use]
    pub fn has_samples(&self, features: &Features<'_>) -> bool {
        let group = self.group(features);
        let median = group.and_then(|group| group.quantile(self.rules.service_quantile_permille));
        median.is_some()
    }

    /// Returns the estimate of a request.
    #[must_use]
    pub fn estimate(&self, features: &Features<'_>) -> Estimate {
        let group = self.group(features);
        let known = |permille| group.and_then(|group| group.quantile(permille));
        let expected = known(self.rules.service_quantile_permille);
        let expected = expected.unwrap_or_else(|| self.unlearnt(features));
        let most = known(self.rules.kv_quantile_permille).unwrap_or(expected);
        let capped = |tokens: u64| match features.max_tokens {
            0 => tokens,
            max => tokens.min(max),
        };
        let part = u64::from(self.rules.kv_reserve_permille);
        Estimate {
            service_units: self.units(features.prompt_tokens, capped(expected)),
            kv_tokens: features.prompt_tokens + capped(most) * part / 1000,
        }
    }

    /// Learns what a request cost, in service units of the pool.
    pub fn learn(&mut self, features: &Features<'_>, actual_units: u64) {
        let prompt_units = self.units(features.prompt_tokens, 0);
        let generated_units = actual_units.saturating_sub(prompt_units);
        let weight = self.rules.generated_units_permille.max(1);
        let generated = generated_units.saturating_mul(1000) / weight;
        let key = self.key(features);
        let groups = self.team_mut(features.team);
        if let Some((_, group)) = groups.iter_mut().find(|(held, _)| *held == key) {
            return group.learn(generated);
        }
        if groups.len() == MAX_TEAM_GROUPS {
            groups.pop_front();
        }
        let mut group = TokenHistogram::default();
        group.learn(generated);
        groups.push_back((key, group));
    }

    /// Returns the number of groups that are held for all teams.
    #[must_use]
    pub fn group_count(&self) -> usize {
        self.teams.values().map(VecDeque::len).sum()
    }

    fn team_mut(&mut self, team: &str) -> &mut VecDeque<(u64, TokenHistogram)> {
        if !self.teams.contains_key(team) {
            if self.teams.len() == MAX_TEAMS {
                let oldest = self.order.pop_front();
                let oldest = oldest.expect("each team has its place in the order");
                self.teams.remove(&oldest);
            }
            self.order.push_back(team.into());
        }
        self.teams.entry(team.into()).or_default()
    }

    fn group(&self, features: &Features<'_>) -> Option<&TokenHistogram> {
        let key = self.key(features);
        let groups = self.teams.get(features.team)?;
        let (_, group) = groups.iter().find(|(held, _)| *held == key)?;
        (group.weight() >= self.rules.min_weight).then_some(group)
    }

    /// Returns the generated tokens to expect of a group that is not known yet.
    fn unlearnt(&self, features: &Features<'_>) -> u64 {
        features
            .hinted_tokens
            .unwrap_or(self.rules.default_generated_tokens)
    }

    fn units(&self, prompt_tokens: u64, generated_tokens: u64) -> u64 {
        let prompt = prompt_tokens.saturating_mul(self.rules.prompt_units_permille);
        let generated = generated_tokens.saturating_mul(self.rules.generated_units_permille);
        prompt.saturating_add(generated) / 1000
    }

    fn key(&self, features: &Features<'_>) -> u64 {
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
