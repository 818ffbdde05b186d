//! The choice of the connection that gives way.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

/// Time without progress after which a peer in the middle of a request may give way to any other.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without a request after which a connection may give way to any other; its first request may be on its way.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(100);

/// What one connection holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holding<I> {
    /// Identifies the connection.
    pub id: I,
    /// Hash of the team whose request it carries; connections without a known team count as one team.
    pub team: u64,
    /// Whether a request is in progress on it.
    pub has_request: bool,
    /// Whether its peer does not read what was written.
    pub is_unread: bool,
    /// Bytes of the shared memory that it holds.
    pub bytes: usize,
    /// Time without progress of its peer; `None` while the connection waits for something else.
    pub stalled: Option<Duration>,
}

/// What is needed and used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// A place for one more connection.
    Connection,
    /// A place for one more connection whose peer does not read.
    Unread,
    /// A place for one more request of a team.
    Request {
        /// Hash of the team.
        team: u64,
    },
    /// Bytes for a request of a team.
    Bytes {
        /// Hash of the team.
        team: u64,
        /// Bytes that its request lacks.
        bytes: usize,
    },
}

impl Need {
    /// Returns how much a connection holds of what is needed.
    fn held<I>(self, holding: &Holding<I>) -> usize {
        match self {
            Self::Connection => 1,
            Self::Unread => usize::from(holding.is_unread),
            Self::Request { .. } => usize::from(holding.has_request),
            Self::Bytes { .. } => holding.bytes,
        }
    }

    /// Returns the team that needs it and how much, if teams share it.
    fn shared(self) -> Option<(u64, usize)> {
        match self {
            Self::Connection | Self::Unread => None,
            Self::Request { team } => Some((team, 1)),
            Self::Bytes { team, bytes } => Some((team, bytes)),
        }
    }
}

/// Returns the connection that gives way to a need for which there is no room; `None` if the need has to wait or be refused.
///
/// Only connections that wait for their peers give way: the one whose peer has made no progress for the longest time, if that is
/// [`STALL_TIMEOUT`], or [`IDLE_TIMEOUT`] without a request, or if the need is [`Need::Unread`]. Otherwise a team that would still hold as much as the needing team gives
/// up its request that has waited longest, if any, so that teams approach equal shares.
pub fn choose<I: Copy>(
    holdings: impl Iterator<Item = Holding<I>> + Clone,
    need: Need,
) -> Option<I> {
    let waiting = holdings
        .clone()
        .filter(|holding| need.held(holding) > 0)
        .filter_map(|holding| Some((holding.stalled?, holding)));
    let stalled = waiting.clone().filter(|(stalled, holding)| {
        let timeout = if holding.has_request {
            STALL_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        *stalled >= timeout || need == Need::Unread
    });
    if let Some((_, holding)) = stalled.max_by_key(|(stalled, _)| *stalled) {
        return Some(holding.id);
    }
    let (team, lacked) = need.shared()?;
    let mut held_by_team: HashMap<u64, usize> = HashMap::new();
    for holding in holdings {
        *held_by_team.entry(holding.team).or_default() += need.held(&holding);
    }
    let wanted = held_by_team.get(&team).copied().unwrap_or_default() + lacked;
    let gives_way = |holding: &Holding<I>| {
        let held = held_by_team.get(&holding.team).copied().unwrap_or_default();
        holding.team != team && held.saturating_sub(need.held(holding)) >= wanted
    };
    waiting
        .filter(|(_, holding)| gives_way(holding))
        .max_by_key(|(stalled, holding)| {
            (
                held_by_team[&holding.team],
                *stalled,
                Reverse(need.held(holding)),
            )
        })
        .map(|(_, holding)| holding.id)
}
