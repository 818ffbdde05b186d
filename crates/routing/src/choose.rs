//! Chooses the endpoint of a request by its cached prompt prefix, by load, and by data centre.
//!
//! Prompts share long prefixes, and prefilling one again costs an engine more than everything else that a
//! request does. Many gateways choose at once without seeing each other's choices. Each shared prefix
//! therefore has a few *homes*, which every gateway computes alike from the ids of the endpoints (rendezvous
//! hashing), so that a faster endpoint is the home of more prefixes. A request goes to the cheapest home, and
//! elsewhere only where the load of the homes costs more than prefilling the prefix again. Costs are in time,
//! by the pace of each endpoint.

use std::time::Duration;

use smallvec::SmallVec;

use crate::pace::{Pace, neighbour_pace};
use crate::prefix_homes::{Contender, rank_homes};
use crate::usage_lag::{Backlog, SpillLimits, UsageLag};

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the text; parts with equal identifiers have equal text.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// The prompt of a request, and the limit of its answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts in order; the last one is specific to the request.
    pub parts: SmallVec<[PromptPart; 4]>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Highest number of tokens in the answer.
    pub max_answer_tokens: u32,
}

impl Prompt {
    /// Returns the parts that other requests share.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_own, shared)| shared)
    }

    /// Returns the number of tokens that no other request shares.
    #[must_use]
    pub fn unshared_tokens(&self) -> u32 {
        let shared = self.shared_parts().iter().map(|part| part.tokens).sum();
        self.prompt_tokens.saturating_sub(shared)
    }

    /// Returns the key of the shared prefix and its length in tokens, or `None` without shared parts.
    #[must_use]
    pub fn shared_key(&self) -> Option<(u64, u32)> {
        let shared = self.shared_parts();
        if shared.is_empty() {
            return None;
        }
        let key = shared.iter().fold(0, |key, part| mix(key ^ part.id));
        let tokens = shared.iter().map(|part| part.tokens).sum();
        Some((key, tokens))
    }
}

/// An endpoint that could take the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Hash of the endpoint's id, the same at every gateway.
    pub hash: u64,
    /// Requests known to run or wait there.
    pub running: u32,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Prompt tokens queued there.
    pub backlog: Backlog,
    /// How fast it works, if that is known.
    pub pace: Option<Pace>,
    /// Whether it is in this gateway's data centre.
    pub is_local: bool,
    /// Whether it has processed the shared prefix recently, as far as this gateway has seen.
    pub has_cached_prefix: bool,
    /// Whether it warms up, so that it bears only a part of its load.
    pub is_warming_up: bool,
}

/// The weights of the choice; costs are in microseconds of an engine's time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChoiceRules {
    /// Number of homes of a shared prefix.
    pub home_count: usize,
    /// Cost of one queued token, which is prefilled first, at an endpoint of unknown pace.
    pub backlog_token_us: u64,
    /// Cost of one token of the shared prefix that would have to be prefilled again, at an endpoint of unknown pace.
    pub missing_token_us: u64,
    /// Highest cost of such tokens at an endpoint of known pace.
    pub max_missing_us: u64,
    /// Cost of one running request at an endpoint of unknown pace: it slows down every step, and its prompt may be
    /// prefilled first.
    pub running_us: u64,
    /// Cost of a request that would have to wait for a slot.
    pub waiting_us: u64,
    /// Cost of leaving the data centre: one round trip.
    pub remote_us: u64,
    /// Cost of a kilobyte that leaves the data centre.
    pub remote_kb_us: u64,
    /// Cost of an endpoint that warms up.
    pub warm_up_us: u64,
}

impl Default for ChoiceRules {
    /// Returns the defaults.
    ///
    /// An engine of unknown pace prefills some 25 to 45 tokens per millisecond, hence 40 µs per queued token; at
    /// one of known pace all costs of tokens and running requests are in proportion to its time per token. Callers
    /// wait some 500 ms for a first event, so that an idle endpoint must cost less than one with such a queue,
    /// however long the prefix. Prefilling a prefix again delays other callers of the engine as well, and the most
    /// requests are on time with a cost of 100 µs or more per missing token. A second home would halve the load of
    /// a hot prefix, but the cache memory is reused before either home sees the prefix again. A running request
    /// adds some 2 ms; beyond the slots, a request waits for another one to end. Leaving the data centre costs a
    /// round trip and the bytes sent, to which users give weight: a kilobyte counts about as much as 30 tokens that
    /// are prefilled again. An endpoint that warms up looks idle, but bears few requests: it gets those whose home
    /// it is, and others while the rest of the endpoints have a queue.
    fn default() -> Self {
        Self {
            home_count: 1,
            backlog_token_us: 40,
            missing_token_us: 200,
            max_missing_us: 400_000,
            running_us: 2_000,
            waiting_us: 60_000,
            remote_us: 8_000,
            remote_kb_us: 5_000,
            warm_up_us: 30_000,
        }
    }
}

/// What a choice knows of one endpoint's pace.
#[derive(Debug, Clone, Copy)]
struct Costs<'a> {
    rules: &'a ChoiceRules,
    pace: Option<Pace>,
}

impl Costs<'_> {
    /// Returns a cost that is stated for an endpoint of unknown pace, in proportion to the endpoint's time per token.
    fn scaled_us(&self, pace: Option<Pace>, cost_us: u64) -> u64 {
        pace.map_or(cost_us, |pace| {
            pace.prefill_us(cost_us) / self.rules.backlog_token_us.max(1)
        })
    }

    /// Returns the cost of the requests and tokens that are ahead of a new request.
    fn load_us(&self, candidate: &Candidate) -> u64 {
        let rules = self.rules;
        let free = candidate.slots.saturating_sub(1);
        let waiting = u64::from(candidate.running.saturating_sub(free));
        let running = u64::from(candidate.running) * rules.running_us;
        let backlog = u64::from(candidate.backlog.tokens()) * rules.backlog_token_us;
        self.scaled_us(self.pace, running.saturating_add(backlog))
            .saturating_add(waiting * rules.waiting_us)
            .saturating_add(u64::from(candidate.is_warming_up) * rules.warm_up_us)
    }

    /// Returns the time of the request's own tokens, up to the first event.
    fn own_us(&self, tokens: u32) -> u64 {
        let prefill = u64::from(tokens) * self.rules.backlog_token_us;
        let first_event = self.pace.map_or(Duration::ZERO, Pace::first_event);
        let first_event = u64::try_from(first_event.as_micros()).unwrap_or(u64::MAX);
        self.scaled_us(self.pace, prefill)
            .saturating_add(first_event)
    }

    /// Returns the cost of tokens that would have to be prefilled again.
    ///
    /// They take capacity from others, which a slow moment doesn't change.
    fn missing_us(&self, missing: Missing, tokens: u64) -> u64 {
        let price = self.rules.missing_token_us;
        let Some(pace) = self.pace else {
            return missing.part(tokens) * price;
        };
        let cost = self.scaled_us(Some(pace.usual()), tokens * price);
        missing.part(cost.min(self.rules.max_missing_us))
    }
}

/// Whether an endpoint has to prefill the shared prefix again.
#[derive(Debug, Clone, Copy)]
enum Missing {
    /// It is the prefix's home or has prefilled it recently.
    Nothing,
    /// It is the next endpoint in rank.
    Next,
    All,
}

impl Missing {
    /// Returns the part of a cost that counts.
    ///
    /// Requests that leave the homes go to the next endpoint in rank, so that it has the prefix cached the next time.
    fn part(self, cost: u64) -> u64 {
        match self {
            Self::Nothing => 0,
            Self::Next => cost * 3 / 4,
            Self::All => cost,
        }
    }
}

/// Returns the rank of an endpoint for a shared prefix; the endpoints with the highest ranks are its homes.
#[must_use]
pub fn home_rank(key: u64, endpoint: u64) -> u64 {
    mix(key ^ mix(endpoint))
}

/// Returns the index of the cheapest candidate, or `None` if there are no candidates.
///
/// `remote_bytes` is the number of bytes that would leave the data centre; `draw` breaks ties.
#[must_use]
pub fn choose_endpoint(
    candidates: &[Candidate],
    prompt: Option<&Prompt>,
    remote_bytes: u64,
    rules: &ChoiceRules,
    draw: u64,
) -> Option<usize> {
    let shared = prompt.and_then(Prompt::shared_key);
    let neighbours = neighbour_pace(candidates.iter().map(|candidate| candidate.pace));
    let contenders = candidates
        .iter()
        .map(|candidate| Contender::new(candidate.hash, candidate.pace, neighbours));
    let homes = shared.map(|(key, _)| rank_homes(contenders, key, rules.home_count + 1));
    let own_tokens = prompt.map_or(0, Prompt::unshared_tokens);
    let costs = candidates.iter().enumerate().map(|(index, candidate)| {
        let tokens = shared.map_or(0, |(_, tokens)| u64::from(tokens));
        let homes = homes.as_ref();
        let rank = homes.and_then(|homes| homes.iter().position(|home| *home == index));
        let missing = match rank {
            _ if candidate.has_cached_prefix => Missing::Nothing,
            Some(rank) if rank < rules.home_count => Missing::Nothing,
            Some(_next) => Missing::Next,
            None => Missing::All,
        };
        let costs = Costs {
            rules,
            pace: candidate.pace.or(neighbours),
        };
        let cost = costs
            .load_us(candidate)
            .saturating_add(costs.own_us(own_tokens))
            .saturating_add(costs.missing_us(missing, tokens))
            .saturating_add(remote_us(candidate, remote_bytes, rules));
        (cost, mix(draw ^ candidate.hash), index)
    });
    costs.min().map(|(_, _, index)| index)
}

/// Returns the index of the endpoint to try after a refusal by another one, or `None` if none may be tried.
///
/// A long prompt keeps the endpoint busy that has its prefix cached, and a request of a team with less usage
/// than the others can't wait for it. The next endpoint in rank is often as busy, while at any moment some
/// endpoint is idle or has only requests of those other teams waiting. Prefilling the prefix there takes
/// capacity from others, so only a team that is behind may skip the next endpoint in rank.
#[must_use]
pub fn choose_after_refusal(
    candidates: &[Candidate],
    prompt: Option<&Prompt>,
    remote_bytes: u64,
    rules: &ChoiceRules,
    lag: UsageLag,
    limits: SpillLimits,
    draw: u64,
) -> Option<usize> {
    let neighbours = neighbour_pace(candidates.iter().map(|candidate| candidate.pace));
    let may_try = |candidate: &Candidate| {
        let limits = limits.at(candidate.pace.or(neighbours), rules);
        lag.may_try(candidate.backlog, limits)
    };
    if lag == UsageLag::Even {
        let chosen = choose_endpoint(candidates, prompt, remote_bytes, rules, draw)?;
        return may_try(&candidates[chosen]).then_some(chosen);
    }
    let indexes = candidates.iter().copied().enumerate();
    let eligible = indexes.filter(|(_, candidate)| may_try(candidate));
    let (indexes, eligible): (Vec<usize>, Vec<Candidate>) = eligible.unzip();
    let chosen = choose_endpoint(&eligible, prompt, remote_bytes, rules, draw)?;
    Some(indexes[chosen])
}

fn remote_us(candidate: &Candidate, bytes: u64, rules: &ChoiceRules) -> u64 {
    if candidate.is_local {
        0
    } else {
        rules.remote_us + bytes * rules.remote_kb_us / 1_000
    }
}

/// Mixes the bits of a number (the finaliser of `SplitMix64`).
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
