//! Carries out orders, as the admin interface of a model engine does.

use std::sync::{Mutex, PoisonError};

use http_body_util::{BodyExt, Limited};
use serde::{Deserialize, Serialize};
use viz::{IntoResponse, Request, Response, StatusCode};

use super::{Shared, answers};

/// Longest body of an order, in bytes.
const MAX_ORDER_BYTES: usize = 64 * 1024;

/// An order to the endpoint; the body of `POST /admin/order`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdminOrder {
    /// Number of the order.
    pub order_id: u64,
    /// Fencing token.
    pub fence: u64,
    /// What to do, such as `load_model`.
    pub kind: Box<str>,
    /// Model, adapter or role.
    pub subject: Box<str>,
    /// Version; empty when it does not matter.
    pub version: Box<str>,
}

#[derive(Debug)]
pub(super) struct Orders {
    checks_fence: bool,
    done: Mutex<Vec<AdminOrder>>,
}

impl Orders {
    pub(super) fn new(checks_fence: bool) -> Self {
        Self {
            checks_fence,
            done: Mutex::new(Vec::new()),
        }
    }

    pub(super) fn done(&self) -> Vec<AdminOrder> {
        let done = self.done.lock().unwrap_or_else(PoisonError::into_inner);
        done.clone()
    }

    /// Carries out an order, and returns false when its fencing token is outdated.
    fn carry_out(&self, order: AdminOrder) -> bool {
        let mut done = self.done.lock().unwrap_or_else(PoisonError::into_inner);
        let highest = done.iter().map(|done| done.fence).max().unwrap_or(0);
        if self.checks_fence && order.fence < highest {
            return false;
        }
        done.push(order);
        true
    }
}

pub(super) async fn handle(shared: &Shared, request: Request) -> viz::Result<Response> {
    let Ok(body) = Limited::new(request.into_body(), MAX_ORDER_BYTES)
        .collect()
        .await
    else {
        return Ok(StatusCode::BAD_REQUEST.into_response());
    };
    let Ok(order) = serde_json::from_slice::<AdminOrder>(&body.to_bytes()) else {
        return Ok(StatusCode::BAD_REQUEST.into_response());
    };
    if shared.orders.carry_out(order) {
        Ok(answers::json(&serde_json::json!({ "done": true })))
    } else {
        Ok(StatusCode::CONFLICT.into_response())
    }
}
