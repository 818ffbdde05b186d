//! The offers of one attempt at a request.

use std::time::Duration;

use rand::{Rng, RngExt};
use smallvec::SmallVec;

use crate::{PrefixHash, SidecarId};

/// The offers of one attempt at a request, and the progress of the selection.
#[derive(Debug, Clone)]
pub struct AttemptOffers {
    pub(super) prefix: Option<PrefixHash>,
    pub(super) avoided: SmallVec<[SidecarId; 4]>,
    pub(super) is_urgent: bool,
    pub(super) first_round_at: Option<Duration>,
    /// Time of each sidecar's last offer.
    pub(super) last_offers: SmallVec<[(SidecarId, Duration); 4]>,
    /// Sidecars with an open offer, oldest first.
    pub(super) open: SmallVec<[SidecarId; 4]>,
    /// Sidecars that refused their last offer or lost their link while it was open.
    pub(super) refused: SmallVec<[SidecarId; 4]>,
    // Fixed for the attempt, so that a sidecar with a reduced share is included in either all rounds or none.
    pub(super) seed: u64,
    pub(super) rounds: u32,
    pub(super) stage: Stage,
    pub(super) is_first_cycle: bool,
}

/// The criterion by which the next round is picked.
#[derive(Debug, Clone)]
pub(super) enum Stage {
    Prefix,
    Load,
    Widen,
    /// Sidecars not yet offered the request in this cycle, the next one last.
    Remaining(Vec<SidecarId>),
}

impl AttemptOffers {
    /// Returns an attempt without offers; `avoided` sidecars, such as those of failed attempts, are picked last.
    #[must_use]
    pub fn new(prefix: Option<PrefixHash>, avoided: &[SidecarId], rng: &mut impl Rng) -> Self {
        Self {
            prefix,
            avoided: SmallVec::from_slice(avoided),
            is_urgent: false,
            first_round_at: None,
            last_offers: SmallVec::new(),
            open: SmallVec::new(),
            refused: SmallVec::new(),
            seed: rng.random(),
            rounds: 0,
            stage: Stage::Prefix,
            is_first_cycle: true,
        }
    }

    /// Sets whether the request is urgent; open offers of urgent requests move more often.
    #[must_use]
    pub fn with_urgency(self, is_urgent: bool) -> Self {
        Self { is_urgent, ..self }
    }

    /// Returns the sidecars with an open offer, oldest first.
    #[must_use]
    pub fn open_offers(&self) -> &[SidecarId] {
        &self.open
    }

    /// Records that an offer was withdrawn; the sidecar may get another one.
    pub fn record_withdrawal(&mut self, sidecar: SidecarId) {
        self.open.retain(|open| *open != sidecar);
    }

    /// Records that an offer was refused or lost; the sidecar gets another one only while other offers are open.
    pub fn record_refusal(&mut self, sidecar: SidecarId) {
        self.open.retain(|open| *open != sidecar);
        if !self.refused.contains(&sidecar) {
            self.refused.push(sidecar);
        }
    }

    pub(super) fn record_offer(&mut self, sidecar: SidecarId, now: Duration) {
        self.refused.retain(|refused| *refused != sidecar);
        self.open.push(sidecar);
        match self.last_offers.iter_mut().find(|(id, _)| *id == sidecar) {
            Some((_, at)) => *at = now,
            None => self.last_offers.push((sidecar, now)),
        }
        if let Stage::Remaining(remaining) = &mut self.stage {
            remaining.retain(|id| *id != sidecar);
        }
    }

    pub(super) fn last_offer_at(&self, sidecar: SidecarId) -> Option<Duration> {
        let offered = self.last_offers.iter().find(|(id, _)| *id == sidecar);
        offered.map(|(_, at)| *at)
    }
}
