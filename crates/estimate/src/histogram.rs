//! The decaying distribution of the generated tokens of one group of requests.

/// Number of buckets: two for each doubling, so 32 buckets span 1 to 65,536 tokens.
const BUCKETS: usize = 32;

/// Total count at which all counts are halved.
///
/// This puts half of the weight on the last 64 to 128 answers, which is minutes of a busy team's requests and enough samples
/// for the ninth decile.
const HALVE_AT_WEIGHT: u16 = 128;

/// A decaying histogram of the generated tokens of similar requests, with two buckets for each doubling.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TokenHistogram {
    counts: [u16; BUCKETS],
    total: u16,
    last_tokens: u32,
}

impl TokenHistogram {
    /// Records the generated tokens of a request.
    pub fn record(&mut self, tokens: u64) {
        self.counts[bucket(tokens)] += 1;
        self.total += 1;
        self.last_tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        if self.total >= HALVE_AT_WEIGHT {
            self.halve();
        }
    }

    /// Returns the total of all counts after decay.
    #[must_use]
    pub fn weight(&self) -> u16 {
        self.total
    }

    /// Returns the generated tokens of the last recorded request.
    #[must_use]
    pub fn last_tokens(&self) -> u64 {
        u64::from(self.last_tokens)
    }

    /// Returns a quantile of the generated tokens, or `None` if the histogram is empty.
    #[must_use]
    pub fn quantile(&self, permille: u16) -> Option<u64> {
        if self.total == 0 {
            return None;
        }
        let target = u32::from(self.total) * u32::from(permille.min(1000));
        let target = target.div_ceil(1000).max(1);
        let mut cumulative = 0;
        let found = self.counts.iter().position(|count| {
            cumulative += u32::from(*count);
            cumulative >= target
        });
        found.map(bucket_midpoint)
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

/// Returns the index of the bucket that contains `tokens`.
fn bucket(tokens: u64) -> usize {
    let tokens = tokens.max(1);
    let doubling = tokens.ilog2();
    // Half a doubling is a factor of 1.414, which is close to 181/128.
    let upper = u128::from(tokens) * 128 >= (181_u128 << doubling);
    let bucket = 2 * doubling as usize + usize::from(upper);
    bucket.min(BUCKETS - 1)
}

/// Returns the number of tokens at the middle of a bucket.
fn bucket_midpoint(bucket: usize) -> u64 {
    // The lower bucket of a doubling spans 1 to 1.414 times a power of two, and the upper one 1.414 to 2 times.
    let percent = if bucket.is_multiple_of(2) { 119 } else { 168 };
    (percent << (bucket / 2)) / 100
}
