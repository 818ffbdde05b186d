//! Fits a line to measured points.

use std::fmt;

/// A line fitted to points by least squares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// Value at size 0.
    pub base: f64,
    /// Growth per unit of size.
    pub slope: f64,
    /// Largest distance of a point from the line.
    pub residual: f64,
    /// Largest minus smallest value, to which the residual is compared.
    pub spread: f64,
}

impl Fit {
    /// Returns the line through points of size and value; `None` with fewer than two different sizes.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "a handful of points is far below 2^52"
    )]
    pub fn least_squares(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
        let covariance: f64 = points
            .iter()
            .map(|(size, value)| (size - mean_size) * (value - mean_value))
            .sum();
        let variance: f64 = points
            .iter()
            .map(|(size, _)| (size - mean_size).powi(2))
            .sum();
        if points.len() < 2 || variance == 0.0 {
            return None;
        }
        let slope = covariance / variance;
        let base = mean_value - slope * mean_size;
        let distances = points
            .iter()
            .map(|(size, value)| (value - base - slope * size).abs());
        let residual = distances.fold(0.0, f64::max);
        let values = points.iter().map(|(_, value)| *value);
        let spread = values.clone().fold(f64::MIN, f64::max) - values.fold(f64::MAX, f64::min);
        Some(Self {
            base,
            slope,
            residual,
            spread,
        })
    }

    /// Returns the value on the line at a size.
    #[must_use]
    pub fn value_at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

impl fmt::Display for Fit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.4} + {:.6} x size (largest residual {:.4} of a spread of {:.4})",
            self.base, self.slope, self.residual, self.spread
        )
    }
}

/// Returns the median, the upper of two middle values; 0 without values.
#[must_use]
pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or_default()
}
