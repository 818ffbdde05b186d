//! Computes error budgets, burn rates, the service gap between teams and the use of capacity from recorded metrics pages.
//!
//! All functions are pure: a report depends only on the recording, the configuration and the window.

mod burn;
mod burn_text;
mod cause;
mod chart;
mod gap;
mod increments;
mod outcomes;
mod page;
mod recording;
pub mod text;
mod utilisation;

pub use burn::{BurnReport, Burner, Level, ObjectiveReport, Unmeasured, WindowReport, burn};
pub use cause::Cause;
pub use chart::{ChartError, svg};
pub use gap::{GapReport, PoolGap, TeamService, gap};
pub use increments::{Coverage, Increment, coverage, increments};
pub use page::{Labels, PageError, Sample, Series, parse};
pub use recording::{Endpoint, Missing, Record, Recording, RecordingError, Scrape, Slots};
pub use utilisation::{PoolUse, UtilisationReport, utilisation};
