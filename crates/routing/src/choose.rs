//! Chooses the endpoint of a request by where the parts of its prompt are cached, by load, and by data centre.
//!
//! The load pattern: prompts share long parts, and reading one again costs an engine more than everything else that a
//! request does. Many gateways choose at once and don't see each other's choices. So each shared part has a few *homes*,
//! which every gateway computes alike from the endpoints' ids (rendezvous hashing); a request goes to the cheapest home
//! and leaves them only where their load costs more than reading the part anew.

use std::time::Duration;

use smallvec::SmallVec;

use crate::usage_lag::{Backlog, BacklogLimits, UsageLag};

/// Describes one part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Number of the part; equal numbers are equal text.
    pub id: u64,
    /// Its length, in tokens.
    pub tokens: u32,
}

/// Describes a request's prompt and answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Its parts, in order; the last one is the request's own.
    pub parts: SmallVec<[PromptPart; 4]>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub max_answer_tokens: u32,
}

impl Prompt {
    /// Returns the parts that other requests share.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_own, shared)| shared)
    }

    /// Returns the tokens that no other request shares.
    #[must_use]
    pub fn unshared_tokens(&self) -> u32 {
        let shared = self.shared_parts().iter().map(|part| part.tokens).sum();
        self.prompt_tokens.saturating_sub(shared)
    }

    /// Returns the number that stands for the shared parts, and their tokens; none without shared parts.
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

/// Describes an endpoint that could take the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Number that stands for the endpoint's id, the same at every gateway.
    pub hash: u64,
    /// Requests that run or wait there, as far as is known.
    pub running: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Prompt tokens that it has before it.
    pub backlog: Backlog,
    /// Whether it is in this gateway's data centre.
    pub is_local: bool,
    /// Whether it has read the shared parts lately, as far as this gateway has seen.
    pub has_cached_prefix: bool,
}

/// Sets what the choice weighs; costs are in microseconds of an engine's time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChoiceRules {
    /// Endpoints that keep a shared part.
    pub home_count: usize,
    /// Cost of one token that has to be read first.
    pub backlog_token_us: u64,
    /// Cost of one token that would have to be read anew.
    pub missing_token_us: u64,
    /// Cost of one request that runs already: every step takes longer, and its prompt may be read first.
    pub running_us: u64,
    /// Cost of a request that would have to wait for a slot.
    pub waiting_us: u64,
    /// Cost of leaving the data centre: its round trip.
    pub remote_us: u64,
    /// Cost of a kilobyte that leaves the data centre.
    pub remote_kb_us: u64,
}

impl Default for ChoiceRules {
    /// Returns the defaults.
    ///
    /// An engine reads some 25 to 45 tokens in a millisecond: 40 µs a token. A part that is read again costs its other
    /// callers as well, and the most were on time from 100 µs on. A second home would halve the load of a hot part, but
    /// memory turns over before either home uses the part again. A running request adds some
    /// 2 ms; beyond the slots a request waits for another to end. Leaving the data centre costs its round trip and
    /// its bytes, which the users weigh: a kilobyte about as much as 30 tokens that are read again.
    fn default() -> Self {
        Self {
            home_count: 1,
            backlog_token_us: 40,
            missing_token_us: 200,
            running_us: 2_000,
            waiting_us: 60_000,
            remote_us: 8_000,
            remote_kb_us: 5_000,
        }
    }
}

impl ChoiceRules {
    /// Returns how many tokens an engine reads in some time, as the choice weighs them.
    #[must_use]
    pub fn prefillable_tokens(&self, time: Duration) -> u32 {
        let tokens = time.as_micros() / u128::from(self.backlog_token_us.max(1));
        u32::try_from(tokens).unwrap_or(u32::MAX)
    }
}

/// Returns the rank of an endpoint as a home of a shared part; the highest ones are its homes.
#[must_use]
pub fn home_rank(key: u64, endpoint: u64) -> u64 {
    mix(key ^ mix(endpoint))
}

/// Chooses an endpoint, and returns its place among the candidates; none if there are no candidates.
///
/// `far_bytes` are the bytes that leave the data centre with it; `draw` decides between equal ones.
#[must_use]
pub fn choose_endpoint(
    candidates: &[Candidate],
    prompt: Option<&Prompt>,
    far_bytes: u64,
    rules: &ChoiceRules,
    draw: u64,
) -> Option<usize> {
    let shared = prompt.and_then(Prompt::shared_key);
    let homes = shared.map(|(key, _)| homes_of(candidates, key, rules.home_count + 1));
    let costs = candidates.iter().enumerate().map(|(place, candidate)| {
        let tokens = shared.map_or(0, |(_, tokens)| u64::from(tokens));
        let homes = homes.as_ref();
        let rank = homes.and_then(|homes| homes.iter().position(|home| *home == place));
        // Requests that leave the homes go to the next one in rank, so that it has the part the next time.
        let missing = match rank {
            _ if candidate.has_cached_prefix => 0,
            Some(rank) if rank < rules.home_count => 0,
            Some(_next) => tokens * 3 / 4,
            None => tokens,
        };
        let cost = load_us(candidate, rules)
            + far_us(candidate, far_bytes, rules)
            + missing * rules.missing_token_us;
        (cost, mix(draw ^ candidate.hash), place)
    });
    costs.min().map(|(_, _, place)| place)
}

/// Chooses an endpoint for a request that another one refused, among those that may be asked; none if there are none.
///
/// The load pattern: a long prompt keeps the endpoint busy that has the shared parts, and a request of a team that has had less than
/// the others can't wait for it. The next in rank is often as busy, while some endpoint is idle at every moment, or has only asks of
/// those others waiting. Reading the shared parts anew takes the place of others, so only a team that is behind leaves the next in rank.
#[must_use]
pub fn choose_after_refusal(
    candidates: &[Candidate],
    prompt: Option<&Prompt>,
    far_bytes: u64,
    rules: &ChoiceRules,
    lag: UsageLag,
    room: BacklogLimits,
    draw: u64,
) -> Option<usize> {
    if lag == UsageLag::Even {
        let chosen = choose_endpoint(candidates, prompt, far_bytes, rules, draw)?;
        return lag
            .may_ask(candidates[chosen].backlog, room)
            .then_some(chosen);
    }
    let places = candidates.iter().copied().enumerate();
    let asked = places.filter(|(_, candidate)| lag.may_ask(candidate.backlog, room));
    let (places, asked): (Vec<usize>, Vec<Candidate>) = asked.unzip();
    let chosen = choose_endpoint(&asked, prompt, far_bytes, rules, draw)?;
    Some(places[chosen])
}

fn load_us(candidate: &Candidate, rules: &ChoiceRules) -> u64 {
    let waiting = u64::from(
        candidate
            .running
            .saturating_sub(candidate.slots.saturating_sub(1)),
    );
    u64::from(candidate.running) * rules.running_us
        + waiting * rules.waiting_us
        + u64::from(candidate.backlog.tokens()) * rules.backlog_token_us
}

fn far_us(candidate: &Candidate, bytes: u64, rules: &ChoiceRules) -> u64 {
    if candidate.is_local {
        0
    } else {
        rules.remote_us + bytes * rules.remote_kb_us / 1_000
    }
}

fn homes_of(candidates: &[Candidate], key: u64, count: usize) -> SmallVec<[usize; 4]> {
    let ranked = candidates.iter().enumerate();
    let mut ranked: SmallVec<[(u64, usize); 16]> = ranked
        .map(|(place, candidate)| (home_rank(key, candidate.hash), place))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.iter().take(count).map(|(_, place)| *place).collect()
}

/// Spreads the bits of a number (the finaliser of `SplitMix64`).
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
