//! Tests that what a caller is told of is published by then.

use hinge_cases::async_cases;
use hinge_schema::routing::{CallerLimits, RouteTable};
use hinge_state::{Command, Reply};
use serde_bytes::ByteBuf;
use tokio::sync::oneshot;
use tokio::sync::oneshot::error::TryRecvError;
use tokio::task::spawn_blocking;

use super::super::Input;
use super::lost_holders::Leader;

/// Changes of the table; one that is told of too early is mostly seen within a few.
const CHANGES: u64 = 200;

fn table(number: u64) -> RouteTable {
    RouteTable {
        number,
        routes: Vec::new(),
        services: Vec::new(),
        limits: CallerLimits {
            max_header_bytes: 1,
            max_body_bytes: 1,
            header_timeout_ms: 1,
            idle_timeout_ms: 1,
        },
        tokens_per_s: 0,
        teams: Vec::new(),
        document: ByteBuf::new(),
    }
}

async_cases! { real
    // Guards against a change that is acknowledged and then waits for a write of the disk before any gateway is told of it.
    an_acknowledged_table_is_published => {
        let leader = Leader::start().await;
        for number in 1..=CHANGES {
            let (sender, mut receiver) = oneshot::channel();
            let command = Command::PutTable(Box::new(table(number)));
            leader.driver.send_input(Input::Propose(command, sender)).expect("the log runs");
            let view = std::sync::Arc::clone(&leader.driver.view);
            let waited = spawn_blocking(move || {
                let reply = loop {
                    match receiver.try_recv() {
                        Err(TryRecvError::Empty) => std::hint::spin_loop(),
                        replied => break replied,
                    }
                };
                (reply, view.load().routing.table_number())
            });
            let (reply, published) = waited.await.expect("the thread ends");
            assert_eq!(reply, Ok(Ok(Reply::TableNumber(number))));
            assert_eq!(published, number);
        }
        leader.driver.stop();
    }
}
