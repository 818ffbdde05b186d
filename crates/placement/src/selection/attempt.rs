//! Follows the offers of one attempt.

use std::time::Duration;

use rand::{Rng, RngExt};
use smallvec::SmallVec;

use crate::{PrefixHash, SidecarId};

/// Follows the offers of one attempt at a request.
#[derive(Debug, Clone)]
pub struct AttemptOffers {
    pub(super) prefix: Option<PrefixHash>,
    pub(super) avoid: SmallVec<[SidecarId; 4]>,
    pub(super) is_urgent: bool,
    /// Time of the first round, and of each sidecar's last offer.
    pub(super) opened_at: Option<Duration>,
    pub(super) offered: SmallVec<[(SidecarId, Duration); 4]>,
    /// Sidecars with an open offer, the oldest first.
    pub(super) open: SmallVec<[SidecarId; 4]>,
    /// Sidecars whose last offer ended in a refusal or with its link.
    pub(super) refused: SmallVec<[SidecarId; 4]>,
    // Drawn once, so that a sidecar at a reduced share is in or out of all rounds alike.
    pub(super) seed: u64,
    pub(super) rounds: u32,
    pub(super) stage: Stage,
    pub(super) is_first_cycle: bool,
}

/// Says by what the next round is picked.
#[derive(Debug, Clone)]
pub(super) enum Stage {
    Prefix,
    Load,
    Widen,
    /// All sidecars not yet offered in this cycle, the next one last.
    Rest(Vec<SidecarId>),
}

impl AttemptOffers {
    /// Opens the record of an attempt; sidecars to `avoid`, such as those of failed attempts, come last.
    #[must_use]
    pub fn new(prefix: Option<PrefixHash>, avoid: &[SidecarId], rng: &mut impl Rng) -> Self {
        Self {
            prefix,
            avoid: SmallVec::from_slice(avoid),
            is_urgent: false,
            opened_at: None,
            offered: SmallVec::new(),
            open: SmallVec::new(),
            refused: SmallVec::new(),
            seed: rng.random(),
            rounds: 0,
            stage: Stage::Prefix,
            is_first_cycle: true,
        }
    }

    /// Lets the offers of an urgent request move faster.
    #[must_use]
    pub fn with_urgency(self, is_urgent: bool) -> Self {
        Self { is_urgent, ..self }
    }

    /// Returns the sidecars with an open offer, the oldest first.
    #[must_use]
    pub fn open_offers(&self) -> &[SidecarId] {
        &self.open
    }

    /// Notes that an offer was withdrawn; the sidecar may get another one.
    pub fn record_withdrawal(&mut self, sidecar: SidecarId) {
        self.open.retain(|open| *open != sidecar);
    }

    /// Notes that an offer was refused or lost; the sidecar gets another one only while others hold open offers.
    pub fn record_refusal(&mut self, sidecar: SidecarId) {
        self.open.retain(|open| *open != sidecar);
        if !self.refused.contains(&sidecar) {
            self.refused.push(sidecar);
        }
    }

    pub(super) fn offer(&mut self, sidecar: SidecarId, now: Duration) {
        self.refused.retain(|refused| *refused != sidecar);
        self.open.push(sidecar);
        match self.offered.iter_mut().find(|(id, _)| *id == sidecar) {
            Some((_, at)) => *at = now,
            None => self.offered.push((sidecar, now)),
        }
        if let Stage::Rest(rest) = &mut self.stage {
            rest.retain(|id| *id != sidecar);
        }
    }

    pub(super) fn offered_at(&self, sidecar: SidecarId) -> Option<Duration> {
        let offered = self.offered.iter().find(|(id, _)| *id == sidecar);
        offered.map(|(_, at)| *at)
    }
}
