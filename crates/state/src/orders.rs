//! Orders to endpoints, and their fencing numbers.
//!
//! A fencing number consists of a leader's term and a counter within the term, so it grows from order to order and from
//! leader to leader. When a leader's term opens, every open order gets a number of that term. Once an endpoint's sidecar has
//! learned the lowest valid number, it refuses whatever an earlier leader still sends.

use std::collections::{BTreeMap, VecDeque};

use hinge_schema::messages::{OrderRecord, OrderState};
use serde::{Deserialize, Serialize};

use crate::command::{OrderCommand, OrderResult};
use crate::{ChangeId, Fence, OrderId};

/// Bits of a fencing number below the term: 16 million orders in one term.
const COUNTER_BITS: u32 = 24;

/// Settled orders kept for operators and resent requests; enough for a nightly upgrade of 1,600 endpoints.
pub const KEEP_SETTLED: usize = 2048;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StoredOrder {
    change_id: ChangeId,
    record: OrderRecord,
}

/// The open orders and the recently settled ones.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    lowest_valid: Fence,
    last_fence: Fence,
    last_id: OrderId,
    kept: BTreeMap<OrderId, StoredOrder>,
    settled: VecDeque<OrderId>,
}

impl Orders {
    /// Returns the lowest fencing number that is still valid.
    #[must_use]
    pub fn lowest_valid(&self) -> Fence {
        self.lowest_valid
    }

    /// Opens a leader's term, and gives open orders fencing numbers of this term.
    pub(crate) fn open_term(&mut self, term: u64) {
        self.lowest_valid = self.lowest_valid.max(term << COUNTER_BITS);
        self.last_fence = self.last_fence.max(self.lowest_valid);
        for kept in self.kept.values_mut() {
            if kept.record.state == OrderState::Open {
                self.last_fence += 1;
                kept.record.fence = self.last_fence;
            }
        }
    }

    /// Places an order, or returns the known order if it has the same change id; an empty id never matches.
    pub(crate) fn place(&mut self, command: OrderCommand) -> OrderRecord {
        let same =
            |kept: &&StoredOrder| !kept.change_id.is_empty() && kept.change_id == command.change_id;
        if let Some(known) = self.kept.values().find(same) {
            return known.record.clone();
        }
        self.supersede(&command);
        self.last_id += 1;
        self.last_fence += 1;
        let record = OrderRecord {
            order_id: self.last_id,
            fence: self.last_fence,
            instance: command.instance,
            operator: command.operator,
            kind: command.kind,
            subject: command.subject,
            version: command.version,
            state: OrderState::Open,
            detail: Box::default(),
            placed_at_ms: command.now_ms,
        };
        let kept = StoredOrder {
            change_id: command.change_id,
            record: record.clone(),
        };
        self.kept.insert(self.last_id, kept);
        record
    }

    /// Supersedes open orders to the same endpoint about the same subject: the latest order is what the operator wants.
    fn supersede(&mut self, command: &OrderCommand) {
        let is_replaced = |record: &OrderRecord| {
            record.state == OrderState::Open
                && record.instance == command.instance
                && record.subject == command.subject
        };
        let replaced: Vec<_> = self
            .kept
            .values()
            .filter(|kept| is_replaced(&kept.record))
            .map(|kept| kept.record.order_id)
            .collect();
        for order_id in replaced {
            self.settle_as(
                order_id,
                OrderState::Superseded,
                "a later order took its place",
            );
        }
    }

    /// Records an endpoint's answer; an answer under an earlier fencing number of the order is ignored.
    pub(crate) fn settle(&mut self, result: &OrderResult) {
        let is_current = self.kept.get(&result.order_id).is_some_and(|kept| {
            kept.record.state == OrderState::Open && kept.record.fence == result.fence
        });
        if !is_current {
            return;
        }
        let state = if result.done {
            OrderState::Done
        } else {
            OrderState::Failed
        };
        self.settle_as(result.order_id, state, &result.detail);
    }

    fn settle_as(&mut self, order_id: OrderId, state: OrderState, detail: &str) {
        let Some(kept) = self.kept.get_mut(&order_id) else {
            return;
        };
        kept.record.state = state;
        kept.record.detail = detail.into();
        self.settled.push_back(order_id);
        if self.settled.len() > KEEP_SETTLED
            && let Some(oldest) = self.settled.pop_front()
        {
            self.kept.remove(&oldest);
        }
    }

    /// Returns an order.
    #[must_use]
    pub fn get(&self, order_id: OrderId) -> Option<&OrderRecord> {
        self.kept.get(&order_id).map(|kept| &kept.record)
    }

    /// Yields the open orders, oldest first.
    pub fn open(&self) -> impl Iterator<Item = &OrderRecord> {
        let records = self.kept.values().map(|kept| &kept.record);
        records.filter(|record| record.state == OrderState::Open)
    }

    /// Returns orders, newest first; an empty instance means all.
    #[must_use]
    pub fn list(&self, instance: &str, limit: usize) -> Vec<OrderRecord> {
        let records = self.kept.values().rev().map(|kept| &kept.record);
        let wanted = records.filter(|record| instance.is_empty() || *record.instance == *instance);
        wanted.take(limit).cloned().collect()
    }
}
