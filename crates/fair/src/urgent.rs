//! The allowance by which urgent offers may take precedence.

/// Service, in requests of the largest size, of which a team's urgent allowance is a fraction.
///
/// A team's urgent offers may bring it ahead of the least served backlogged team by this fraction. Within the allowance
/// they are served before every other team's work and may use reserved slots. Beyond it the team competes by its normalised
/// service alone, so a team that marks everything urgent gains its allowance once and no higher rate. The default of a
/// fifth of 20 requests is four: a burst of alerts is served without waiting, and delays any other team by the time of
/// four requests, once.
pub const URGENT_WINDOW_REQUESTS: u64 = 20;

/// Default urgent allowance of a team in parts per million, the same as the configuration's default.
pub const DEFAULT_URGENT_ALLOWANCE_PPM: u32 = 200_000;

/// Returns the urgent allowance in service units.
pub(crate) fn urgent_allowance_units(max_request_units: u64, allowance_ppm: u32) -> u64 {
    let window = u128::from(max_request_units) * u128::from(URGENT_WINDOW_REQUESTS);
    let units = window * u128::from(allowance_ppm) / 1_000_000;
    u64::try_from(units).unwrap_or(u64::MAX)
}
