//! Holds the decayed distribution of the costs of one group.

/// Cells of the histogram: two to a doubling, so that 32 cells span 1 to 65,536 tokens.
const CELLS: usize = 32;

/// Observations after which all counts are halved.
///
/// Half of the weight then lies in the last 64 to 128 answers: minutes for a busy team, and enough for a ninth decile.
const HALVE_AT: u16 = 128;

/// The costs of one group of similar requests, in a histogram of half doublings.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TokenHistogram {
    counts: [u16; CELLS],
    total: u16,
    last_tokens: u32,
}

impl TokenHistogram {
    /// Counts a cost, in tokens.
    pub fn learn(&mut self, tokens: u64) {
        self.counts[cell(tokens)] += 1;
        self.total += 1;
        self.last_tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        if self.total >= HALVE_AT {
            self.halve();
        }
    }

    /// Returns the weight of what was learnt.
    #[must_use]
    pub fn weight(&self) -> u16 {
        self.total
    }

    /// Returns the last cost, in tokens.
    #[must_use]
    pub fn last_tokens(&self) -> u64 {
        u64::from(self.last_tokens)
    }

    /// Returns the cost, in tokens, that the given part of the requests does not exceed.
    #[must_use]
    pub fn quantile(&self, permille: u16) -> Option<u64> {
        if self.total == 0 {
            return None;
        }
        let wanted = u32::from(self.total) * u32::from(permille.min(1000));
        let wanted = wanted.div_ceil(1000).max(1);
        let mut seen = 0;
        let found = self.counts.iter().position(|count| {
            seen += u32::from(*count);
            seen >= wanted
        });
        found.map(middle)
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

/// Returns the cell of a cost: two for each doubling.
fn cell(tokens: u64) -> usize {
    let tokens = tokens.max(1);
    let doubling = tokens.ilog2();
    // A half doubling is a factor of 1.414, close to 181/128.
    let upper = u128::from(tokens) * 128 >= (181_u128 << doubling);
    let cell = 2 * doubling as usize + usize::from(upper);
    cell.min(CELLS - 1)
}

/// Returns the cost in the middle of a cell.
fn middle(cell: usize) -> u64 {
    // The lower half doubling spans 1 to 1.414 and the upper 1.414 to 2 times the power of two.
    let percent = if cell.is_multiple_of(2) { 119 } else { 168 };
    (percent << (cell / 2)) / 100
}
