//! Dispatches open orders to the sidecars of their endpoints, on the leader.
//!
//! An order is sent only while this instance's lease holds and its term is opened in the state, so that its fencing
//! number belongs to this term. Orders to one endpoint are sent one at a time, in the order of their IDs.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hinge_schema::messages::{Order, OrderRecord, OrderReply, OrderVerdict};
use hinge_state::{Command, InstanceName, OrderResult};

use crate::core::{Core, Leadership};

/// Path of orders at a sidecar.
const ORDER_PATH: &str = "/v1/order";

/// Timeout for a sidecar's reply; an order that takes longer is answered `running`.
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of orders in flight.
const MAX_IN_FLIGHT_ORDERS: usize = 64;

/// The endpoints that have an order in flight.
#[derive(Debug, Clone, Default)]
pub(crate) struct InFlightOrders(Arc<Mutex<BTreeSet<InstanceName>>>);

impl InFlightOrders {
    fn begin(&self, instance: &str) -> bool {
        let mut names = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        names.len() < MAX_IN_FLIGHT_ORDERS && names.insert(instance.into())
    }

    fn end(&self, instance: &str) {
        let mut names = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        names.remove(instance);
    }
}

/// Sends each endpoint's oldest open order, unless one is already in flight.
pub(crate) fn dispatch(core: &Arc<Core>, in_flight: &InFlightOrders) {
    let view = core.driver.view.load_full();
    let mut seen = BTreeSet::new();
    for order in &view.open_orders {
        // Later orders to the same endpoint wait, even while the first one can't be sent.
        if !seen.insert(&order.instance) {
            continue;
        }
        let address = address_of(core, &order.instance);
        if let Some(address) = address
            && in_flight.begin(&order.instance)
        {
            let (core, order, in_flight) = (Arc::clone(core), order.clone(), in_flight.clone());
            tokio::spawn(async move {
                dispatch_one(&core, &order, &address).await;
                in_flight.end(&order.instance);
            });
        }
    }
}

fn address_of(core: &Core, instance: &str) -> Option<Box<str>> {
    let soft = core.soft();
    let members = soft.members.as_ref()?;
    let member = members
        .live()
        .find(|member| *member.instance == *instance)?;
    Some(member.peer_address.clone())
}

async fn dispatch_one(core: &Core, record: &OrderRecord, address: &str) {
    let order = Order {
        order_id: record.order_id,
        fence: record.fence,
        kind: record.kind,
        subject: record.subject.clone(),
        version: record.version.clone(),
    };
    if !matches!(core.leadership(), Leadership::Local(_)) {
        return;
    }
    let reply = core
        .client
        .call::<_, OrderReply>(address, ORDER_PATH, &order, ORDER_TIMEOUT)
        .await;
    let Ok(reply) = reply else {
        return;
    };
    let (done, detail) = match reply.verdict {
        OrderVerdict::Done => (true, reply.detail),
        OrderVerdict::Failed => (false, reply.detail),
        OrderVerdict::Fenced => {
            let detail = format!("the endpoint has seen the number {}", reply.highest_fence);
            (false, detail.into())
        }
        OrderVerdict::Running | OrderVerdict::NotReady => return,
    };
    let result = OrderResult {
        order_id: record.order_id,
        fence: record.fence,
        done,
        detail,
    };
    // If the result is lost, the order is sent again, and the sidecar repeats its answer.
    let _may_be_lost = core.propose(Command::SettleOrder(result)).await;
}
