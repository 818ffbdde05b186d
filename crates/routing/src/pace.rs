//! How fast an endpoint prefills prompts: at this moment, and usually.

use std::time::Duration;

/// Rates that an engine may have, in prompt tokens per second; any other figure is a fault of its reporter.
const PLAUSIBLE_TOKENS_PER_S: std::ops::RangeInclusive<u32> = 1_000..=2_000_000;

/// Longest plausible time from the end of prefill to the first event; callers wait no longer than some seconds.
const MAX_FIRST_EVENT: Duration = Duration::from_secs(2);

/// Age at which the rate of a moment says nothing any more: machines that are shared are slow for some hundreds
/// of milliseconds.
const MOMENT: Duration = Duration::from_millis(500);

/// The pace of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Prompt tokens that it prefills in a second at this moment.
    tokens_per_s: u32,
    /// Prompt tokens that it usually prefills in a second.
    usual_tokens_per_s: u32,
    /// Time from the end of prefill to the first event of an answer.
    first_event: Duration,
}

impl Pace {
    /// Returns the pace that a report states; `None` if no rate in it is plausible.
    ///
    /// An implausible rate is replaced by the other one, and an implausible time by none.
    #[must_use]
    pub fn reported(
        tokens_per_s: u32,
        usual_tokens_per_s: u32,
        first_event: Duration,
    ) -> Option<Self> {
        let plausible = |rate| PLAUSIBLE_TOKENS_PER_S.contains(&rate).then_some(rate);
        let (moment, usual) = (plausible(tokens_per_s), plausible(usual_tokens_per_s));
        let is_plausible = first_event <= MAX_FIRST_EVENT;
        Some(Self {
            tokens_per_s: moment.or(usual)?,
            usual_tokens_per_s: usual.or(moment)?,
            first_event: first_event * u32::from(is_plausible),
        })
    }

    /// Returns the pace that is expected some time after the report: the older the report, the closer to the usual one.
    #[must_use]
    pub fn after(self, age: Duration) -> Self {
        let moment = u64::from(self.tokens_per_s);
        let usual = u64::from(self.usual_tokens_per_s);
        let (age, end) = (micros(age.min(MOMENT)), micros(MOMENT));
        // Interpolates the time of a token, in which the work ahead is counted. With rates and ages within their
        // bounds no product exceeds 10^19.
        let per_token = usual * (end - age) + moment * age;
        let rate = moment * usual * end / per_token.max(1);
        Self {
            tokens_per_s: u32::try_from(rate).unwrap_or(self.usual_tokens_per_s),
            ..self
        }
    }

    /// Returns the pace of an endpoint that is always as it usually is.
    #[must_use]
    pub fn usual(self) -> Self {
        Self {
            tokens_per_s: self.usual_tokens_per_s,
            ..self
        }
    }

    /// Returns the prompt tokens that it prefills in a second at this moment.
    #[must_use]
    pub fn tokens_per_s(self) -> u32 {
        self.tokens_per_s
    }

    /// Returns the prompt tokens that it usually prefills in a second.
    #[must_use]
    pub fn usual_tokens_per_s(self) -> u32 {
        self.usual_tokens_per_s
    }

    /// Returns the time from the end of prefill to the first event of an answer.
    #[must_use]
    pub fn first_event(self) -> Duration {
        self.first_event
    }

    /// Returns the time in which it prefills some tokens, in microseconds.
    #[must_use]
    pub fn prefill_us(self, tokens: u64) -> u64 {
        tokens.saturating_mul(1_000_000) / u64::from(self.tokens_per_s)
    }

    /// Returns how many tokens it prefills in some time.
    #[must_use]
    pub fn tokens_in(self, time: Duration) -> u32 {
        let tokens = time.as_micros() * u128::from(self.tokens_per_s) / 1_000_000;
        u32::try_from(tokens).unwrap_or(u32::MAX)
    }
}

/// Returns the pace that endpoints of unknown pace count with: the usual one of their median neighbour.
///
/// `None` where no pace is known, or none is missing.
pub(crate) fn neighbour_pace(paces: impl Iterator<Item = Option<Pace>>) -> Option<Pace> {
    let mut is_missing = false;
    let mut known: Vec<Pace> = paces
        .inspect(|pace| is_missing |= pace.is_none())
        .flatten()
        .collect();
    if !is_missing || known.is_empty() {
        return None;
    }
    let middle = known.len() / 2;
    let (_, median, _) = known.select_nth_unstable_by_key(middle, |pace| pace.usual_tokens_per_s);
    Some(median.usual())
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
