//! Checks that connections are refused while the door is closed, and taken again afterwards.

use std::io;
use std::net::SocketAddr;

use hinge_cases::async_cases;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::Door;

/// Opens a door and counts the connections that come through it.
async fn open() -> (
    SocketAddr,
    watch::Sender<bool>,
    watch::Receiver<u32>,
    JoinHandle<()>,
) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let (closed, is_closed) = watch::channel(false);
    let (count, accepted) = watch::channel(0);
    let mut door = Door::new(listener, is_closed);
    let task = tokio::spawn(async move {
        while let Ok(_connection) = door.accept().await {
            count.send_modify(|count| *count += 1);
        }
    });
    (address, closed, accepted, task)
}

/// Connects until an attempt ends as asked.
async fn connect_until(address: SocketAddr, wanted: impl Fn(&io::Result<TcpStream>) -> bool) {
    while !wanted(&TcpStream::connect(address).await) {
        tokio::task::yield_now().await;
    }
}

async_cases! { real
    a_closed_door_refuses_at_once_and_an_open_one_takes_again => {
        let (address, closed, mut accepted, task) = open().await;
        connect_until(address, Result::is_ok).await;
        accepted.wait_for(|count| *count >= 1).await.expect("the door is held");
        closed.send_replace(true);
        let is_refused = |connected: &io::Result<TcpStream>| {
            let refused = connected.as_ref().err();
            refused.is_some_and(|cause| cause.kind() == io::ErrorKind::ConnectionRefused)
        };
        connect_until(address, is_refused).await;
        let before = *accepted.borrow();
        closed.send_replace(false);
        connect_until(address, Result::is_ok).await;
        accepted.wait_for(|count| *count > before).await.expect("the door is held");
        task.abort();
    }
    connections_that_wait_when_the_door_closes_are_taken_before_it => {
        // The callers' requests are on their way already, and closing the listener would cut them without an answer.
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let (closed, is_closed) = watch::channel(false);
        let mut door = Door::new(listener, is_closed);
        let mut waiting = TcpStream::connect(address).await.expect("somebody listens");
        closed.send_replace(true);
        let is_taken = tokio::select! {
            accepted = door.accept() => accepted.is_ok(),
            _cut = waiting.read_u8() => false,
        };
        assert!(is_taken, "a connection that waited was cut");
    }
}
