//! Decides where a request goes, without any I/O and with the time as an argument.
//!
//! [`Lookup`] finds the route and the team of a request. [`choose`] ranks the endpoints that may take it. [`Budget`]
//! bounds how often requests are sent a second time, and [`Standing`] keeps endpoints out that fail. [`load_interval`]
//! says how often a gateway wants to hear of their loads, [`KeptParts`] and [`fetch_source`] where the parts of a prompt are kept,
//! [`Lag`] where a refused request may still ask, and [`Overload`] which requests a gateway turns away because it is itself too busy;
//! [`Nearby`] chooses another gateway for them.
//! [`Targets`] names the control instances that it asks. [`Ends`] tells which requests an endpoint took with it when it ended, by
//! their [`RequestKey`], and [`Suspects`] which of those ends its endpoints.

mod asked;
mod budget;
mod check;
mod choose;
mod ends;
mod feed;
mod fetch;
mod intake;
mod kept;
mod lag;
mod lookup;
mod nearby;
mod overload;
mod request_key;
mod standing;
mod suspects;
mod tally;
mod targets;

pub use budget::{Budget, BudgetRules};
pub use check::{TableError, check};
pub use choose::{Candidate, ChoiceRules, Prompt, PromptPart, choose, choose_again, home_rank};
pub use ends::Ends;
pub use feed::load_interval;
pub use fetch::{Source, copy_time, fetch_source};
pub use kept::{Holders, IncarnationHash, KeptParts};
pub use lag::{Backlog, Lag, Room};
pub use lookup::Lookup;
pub use nearby::Nearby;
pub use overload::{Overload, OverloadRules, Overloaded};
pub use request_key::{RequestKey, RequestKeyError};
pub use standing::{Standing, StandingRules};
pub use suspects::Suspects;
pub use tally::{Bound, Tally};
pub use targets::{Address, Targets};
