//! Lists orders to endpoints, or places one.

use std::fmt::{self, Display};

use hinge_schema::messages::{AskOrders, OrderRecord, Orders, PlaceOrder};
use serde::Serialize;

use crate::args::{OrdersCommand, OrdersOptions, PlaceOptions};
use crate::commands::apply::generate_change_id;
use crate::control_config::ControlConfig;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::format;
use crate::output::Output;

#[derive(Serialize)]
struct OrdersAnswer {
    #[serde(flatten)]
    orders: Orders,
}

/// Runs `orders`.
pub(crate) async fn run(
    options: OrdersOptions,
    control: &ControlConfig,
    output: &mut Output<'_, '_>,
) -> Result<Exit, Failure> {
    let orders = match options.command {
        Some(OrdersCommand::Place(options)) => place_order(&options, control, output).await?,
        None => {
            let query = AskOrders {
                instance: options.instance.unwrap_or_default().into(),
                limit: options.limit,
            };
            control.client()?.orders(&query).await?
        }
    };
    output.show(&OrdersAnswer { orders })?;
    Ok(Exit::Ok)
}

async fn place_order(
    options: &PlaceOptions,
    control: &ControlConfig,
    output: &mut Output<'_, '_>,
) -> Result<Orders, Failure> {
    let Some(kind) = options.kind else {
        return Err(Failure::invalid("which order? give INSTANCE KIND SUBJECT"));
    };
    let order = PlaceOrder {
        change_id: options
            .change_id
            .as_deref()
            .map_or_else(generate_change_id, Box::from),
        instance: options.instance.as_str().into(),
        kind,
        subject: options.subject.as_str().into(),
        version: options.version.as_deref().unwrap_or_default().into(),
    };
    let id = &order.change_id;
    let client = control.client()?;
    output.note(&format!("change {id}"));
    client.place_order(&order).await.map_err(|no_answer| {
        let advice =
            format!("the order may have been placed: run the same command with --change-id {id}");
        no_answer.into_failure(&advice)
    })
}

impl Display for OrdersAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let orders = &self.orders.orders;
        if orders.is_empty() {
            return f.write_str("no order is kept");
        }
        let rows: Vec<_> = orders.iter().map(row).collect();
        let head = [
            "ORDER", "INSTANCE", "KIND", "SUBJECT", "VERSION", "STATE", "FENCE", "PLACED",
            "OPERATOR", "DETAIL",
        ];
        f.write_str(&format::table(&head, &rows))
    }
}

fn row(order: &OrderRecord) -> Vec<String> {
    vec![
        order.order_id.to_string(),
        order.instance.to_string(),
        order.kind.to_string(),
        order.subject.to_string(),
        order.version.to_string(),
        order.state.to_string(),
        order.fence.to_string(),
        format::time(order.placed_at_ms),
        order.operator.to_string(),
        order.detail.to_string(),
    ]
}
