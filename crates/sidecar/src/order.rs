//! Checks orders to the endpoint and forwards them.

use std::time::Duration;

use bytes::Bytes;
use hinge_schema::messages::{Bind, Header, Order, OrderKind, OrderReply, OrderVerdict};
use hinge_telemetry::log::Part;
use http::StatusCode;
use serde::Serialize;
use tokio::time::timeout;

use crate::endpoint::{self, Connection};
use crate::fence::FenceCheck;
use crate::shared::Shared;

/// Path of orders at an endpoint.
const ORDER_PATH: &str = "/admin/order";

/// Longest wait for an endpoint to answer an order; a load that takes longer is answered with "running".
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);

/// The JSON body of an order to an endpoint.
#[derive(Debug, Serialize)]
struct EndpointOrder<'a> {
    order_id: u64,
    fence: u64,
    kind: String,
    subject: &'a str,
    version: &'a str,
}

/// Checks an order's fencing number and forwards the order; orders go one at a time, so that none overtakes a newer one.
pub(crate) async fn execute(shared: &Shared, order: &Order) -> OrderReply {
    let mut fence = shared.fence.lock().await;
    let check = fence.check(order.fence, shared.member.fence());
    shared.member.record_fence(fence.highest());
    let verdict = match check {
        FenceCheck::Valid => forward(shared, order).await,
        FenceCheck::Fenced => OrderVerdict::Fenced,
        FenceCheck::NotReady => OrderVerdict::NotReady,
    };
    if verdict == OrderVerdict::Done && order.kind == OrderKind::SetVersion {
        shared.member.set_model_version(&order.version);
    }
    hinge_telemetry::info!(
        Part::Sidecar,
        "An order was answered.",
        order_id = order.order_id,
        fence = order.fence,
        verdict = verdict
    );
    OrderReply {
        verdict,
        highest_fence: fence.highest(),
        detail: "".into(),
    }
}

async fn forward(shared: &Shared, order: &Order) -> OrderVerdict {
    let body = EndpointOrder {
        order_id: order.order_id,
        fence: order.fence,
        kind: order.kind.to_string(),
        subject: &order.subject,
        version: &order.version,
    };
    let body = serde_json::to_vec(&body).expect("an order serializes to JSON");
    match timeout(ORDER_TIMEOUT, post(shared, order.order_id, body.into())).await {
        Ok(Some(StatusCode::OK)) => OrderVerdict::Done,
        Ok(Some(StatusCode::ACCEPTED)) => OrderVerdict::Running,
        Ok(Some(StatusCode::CONFLICT)) => OrderVerdict::Fenced,
        Ok(Some(_) | None) => OrderVerdict::Failed,
        Err(_elapsed) => OrderVerdict::Running,
    }
}

async fn post(shared: &Shared, order_id: u64, body: Bytes) -> Option<StatusCode> {
    let settings = &shared.settings;
    let address = &settings.endpoint_address;
    let json = Header {
        name: "content-type".into(),
        value: serde_bytes::ByteBuf::from("application/json"),
    };
    let bind = Bind {
        request_id: order_id,
        method: "POST".into(),
        path: ORDER_PATH.into(),
        headers: vec![json],
        body_bytes: None,
        acknowledges: None,
    };
    let request =
        endpoint::build_request(&bind, body, address, &format!("order-{order_id}")).ok()?;
    let connection = Connection::open(address, settings.connect_timeout).await;
    let mut connection = connection.ok()?;
    let response = connection.sender.send_request(request).await.ok()?;
    Some(response.status())
}
