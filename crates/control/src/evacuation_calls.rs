//! Starts and ends evacuations of data centres.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use hinge_link::ClusterKey;
use hinge_schema::messages::{AskEvacuations, EvacuatedDataCenter, Evacuations, EvacuationsReply};
use hinge_schema::routing::{
    AskEvacuation, EvacuationOrder, EvacuationState, OrderEvacuation, OrderEvacuationReply,
};
use hinge_state::{Command, EvacuationCommand, Reply};
use hinge_telemetry::info;
use hinge_telemetry::log::Component;
use http::StatusCode;
use tokio::time::sleep;
use viz::Router;

use crate::core::{Core, unix_now_ms};
use crate::driver::LogError;
use crate::operators::Operator;
use crate::peer_calls::{add_leader_call, answer_or_forward};
use crate::route::StateCell;
use crate::routing_calls::{RoutingCalls, RoutingUnavailable};

const UNAVAILABLE: StatusCode = StatusCode::SERVICE_UNAVAILABLE;

const ASK: &str = "/evacuations/ask";
const ORDER: &str = "/evacuations/order";

/// Format of the log from which it holds evacuations.
const MIN_FORMAT: u32 = 1;

/// Time after its arrival in which an order is dropped if its caller has disconnected.
///
/// A process that was stopped reads an order that its caller has long since sent elsewhere, and maybe taken back. The end
/// of the connection is read right after it.
const SETTLE_TIME: Duration = Duration::from_millis(20);

/// The error for an order on an evacuation that did not take effect, as far as known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationError {
    /// There is no such data centre.
    UnknownDataCenter(Box<str>),
    /// It is unknown whether the order took effect; it is safe to send again.
    Unavailable,
}

impl fmt::Display for EvacuationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownDataCenter(name) => write!(f, "there is no data centre {name:?}"),
            Self::Unavailable => RoutingUnavailable.fmt(f),
        }
    }
}

impl std::error::Error for EvacuationError {}

impl RoutingCalls {
    /// Starts or ends the evacuation of a data centre, and returns once that is durable.
    ///
    /// An order that asks for the state in force changes nothing.
    ///
    /// The future must be dropped when the caller disconnects.
    ///
    /// # Errors
    ///
    /// Returns an error when the data centre is unknown, or when it is unknown whether the order took effect.
    pub async fn order_evacuation(
        &self,
        data_center: &str,
        order: EvacuationOrder,
        operator: &str,
    ) -> Result<(), EvacuationError> {
        let core = self
            .core()
            .map_err(|_no_core| EvacuationError::Unavailable)?;
        if !core.settings.has_data_center(data_center) {
            return Err(EvacuationError::UnknownDataCenter(data_center.into()));
        }
        sleep(SETTLE_TIME).await;
        let ordered = order_evacuation(core, data_center, order, operator).await;
        match ordered {
            Ok(true) => Ok(()),
            Ok(false) | Err(_) => Err(EvacuationError::Unavailable),
        }
    }
}

/// Asks the leader for the state of a data centre and, if it must change, orders that; returns whether it is as ordered.
pub(crate) async fn order_evacuation(
    core: Arc<Core>,
    data_center: &str,
    order: EvacuationOrder,
    operator: &str,
) -> Result<bool, StatusCode> {
    let question = AskEvacuation {
        data_center: data_center.into(),
    };
    let state: EvacuationState =
        answer_or_forward(Arc::clone(&core), ASK, question, ask_as_leader).await?;
    if state.is_evacuated == (order == EvacuationOrder::Start) {
        return Ok(true);
    }
    let message = OrderEvacuation {
        data_center: data_center.into(),
        order,
        revision: state.revision,
        operator: operator.into(),
    };
    let reply: OrderEvacuationReply =
        answer_or_forward(core, ORDER, message, order_as_leader).await?;
    Ok(reply.is_done)
}

/// Adds the routes for peers.
pub(crate) fn add(router: Router, key: &ClusterKey, core: &StateCell<Core>) -> Router {
    let router = add_leader_call(router, ASK, key, core, ask, ask_as_leader);
    add_leader_call(router, ORDER, key, core, order, order_as_leader)
}

async fn ask(core: Arc<Core>, message: AskEvacuation) -> Result<EvacuationState, StatusCode> {
    answer_or_forward(core, ASK, message, ask_as_leader).await
}

async fn ask_as_leader(
    core: Arc<Core>,
    message: AskEvacuation,
) -> Result<EvacuationState, StatusCode> {
    let asked = core.read(move |state, _status| {
        let evacuations = state.routing().evacuations();
        EvacuationState {
            revision: evacuations.revision(&message.data_center),
            is_evacuated: evacuations.get(&message.data_center).is_some(),
        }
    });
    asked.await.map_err(|_refused| UNAVAILABLE)
}

async fn order(
    core: Arc<Core>,
    message: OrderEvacuation,
) -> Result<OrderEvacuationReply, StatusCode> {
    answer_or_forward(core, ORDER, message, order_as_leader).await
}

async fn order_as_leader(
    core: Arc<Core>,
    message: OrderEvacuation,
) -> Result<OrderEvacuationReply, StatusCode> {
    if core.driver.view.load().format < MIN_FORMAT {
        return Err(UNAVAILABLE);
    }
    let command = EvacuationCommand {
        data_center: message.data_center.clone(),
        order: message.order,
        revision: message.revision,
        operator: message.operator.clone(),
        now_ms: unix_now_ms(),
    };
    let proposed = core.propose(Command::Evacuation(command)).await;
    let reply = proposed.map_err(|_refused| UNAVAILABLE)?;
    let is_done = matches!(reply, Reply::Evacuation(true));
    info!(
        Component::Control,
        "An order on an evacuation.",
        data_center = message.data_center,
        order = message.order,
        operator = message.operator,
        revision = message.revision,
        is_done = is_done
    );
    Ok(OrderEvacuationReply { is_done })
}

/// Lists the evacuations for an operator, after starting or ending one if asked to.
pub(crate) async fn answer_operator(
    core: Arc<Core>,
    operator: Operator,
    ask: AskEvacuations,
) -> Result<EvacuationsReply, LogError> {
    let ordered = match (ask.start, ask.end) {
        (Some(data_center), _) => Some((data_center, EvacuationOrder::Start)),
        (None, Some(data_center)) => Some((data_center, EvacuationOrder::End)),
        (None, None) => None,
    };
    let rejected = match &ordered {
        Some((data_center, _)) if !core.settings.has_data_center(data_center) => {
            let cause = EvacuationError::UnknownDataCenter(data_center.clone());
            Some(cause.to_string().into())
        }
        Some((data_center, EvacuationOrder::Start)) if !ask.force => {
            deserted_service(&core, data_center).await?
        }
        Some(_) | None => None,
    };
    let mut planned = None;
    if let Some((data_center, order)) = ordered {
        if rejected.is_some() {
            planned = (order == EvacuationOrder::Start).then_some(data_center);
        } else {
            let done = order_evacuation(Arc::clone(&core), &data_center, order, &operator.name);
            // Another order came first, or the outcome is unknown; both are settled by a repeat.
            if !done.await.unwrap_or(false) {
                return Err(LogError::OutcomeUnknown);
            }
        }
    }
    let evacuations = core.read(move |state, _status| {
        let routing = state.routing();
        let in_force = routing.evacuations().in_force();
        Evacuations {
            evacuated: in_force
                .map(|evacuation| EvacuatedDataCenter {
                    data_center: evacuation.data_center.clone(),
                    operator: evacuation.operator.clone(),
                    since_unix_ms: evacuation.since_unix_ms,
                })
                .collect(),
            services: routing.services_in_use(planned.as_deref()),
            rejected,
        }
    });
    Ok(EvacuationsReply::Evacuations(evacuations.await?))
}

/// Returns why a data centre can't be evacuated, if a service would keep no endpoint.
async fn deserted_service(core: &Core, data_center: &str) -> Result<Option<Box<str>>, LogError> {
    let also: Box<str> = data_center.into();
    let services = core.read(move |state, _status| state.routing().services_in_use(Some(&also)));
    let mut services = services.await?.into_iter();
    let deserted = services.find(|service| service.in_use == 0);
    Ok(deserted.map(|service| {
        let name = service.service;
        format!("the service {name:?} would keep no endpoint without {data_center:?}").into()
    }))
}
