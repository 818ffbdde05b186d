//! Checks that connections are refused while the listener is closed, and accepted again afterwards.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;

use futures::poll;
use hinge_cases::async_cases;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::CallerListener;

/// Starts a listener and counts the connections that it accepts.
async fn start() -> (
    SocketAddr,
    watch::Sender<bool>,
    watch::Receiver<u32>,
    JoinHandle<()>,
) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let (pause, is_paused) = watch::channel(false);
    let (count, accepted) = watch::channel(0);
    let mut listener = CallerListener::new(listener, is_paused);
    let task = tokio::spawn(async move {
        while let Ok(_connection) = listener.accept().await {
            count.send_modify(|count| *count += 1);
        }
    });
    (address, pause, accepted, task)
}

/// Connects until an attempt has the wanted result.
async fn connect_until(address: SocketAddr, wanted: impl Fn(&io::Result<TcpStream>) -> bool) {
    while !wanted(&TcpStream::connect(address).await) {
        tokio::task::yield_now().await;
    }
}

async_cases! { real
    connections_are_refused_while_closed_and_accepted_after_reopening => {
        let (address, pause, mut accepted, task) = start().await;
        connect_until(address, Result::is_ok).await;
        accepted.wait_for(|count| *count >= 1).await.expect("the task holds the listener");
        pause.send_replace(true);
        let is_refused = |connected: &io::Result<TcpStream>| {
            let refused = connected.as_ref().err();
            refused.is_some_and(|cause| cause.kind() == io::ErrorKind::ConnectionRefused)
        };
        connect_until(address, is_refused).await;
        let before = *accepted.borrow();
        pause.send_replace(false);
        connect_until(address, Result::is_ok).await;
        accepted.wait_for(|count| *count > before).await.expect("the task holds the listener");
        task.abort();
    }
    connections_pending_at_close_are_accepted_first => {
        // Closing a listener resets the connections in its accept queue, whose callers have already sent requests.
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let (pause, is_paused) = watch::channel(false);
        let mut listener = CallerListener::new(listener, is_paused);
        let mut waiting = TcpStream::connect(address).await.expect("the port is bound");
        pause.send_replace(true);
        let is_taken = tokio::select! {
            accepted = listener.accept() => accepted.is_ok(),
            _cut = waiting.read_u8() => false,
        };
        assert!(is_taken, "a pending connection was reset");
    }
}

async_cases! {
    accept_polled_once_misses_a_connection_of_which_the_driver_has_not_told => {
        // A first pending poll is no proof of an empty accept queue; only the system's answer is.
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let _waiting = std::net::TcpStream::connect(address).expect("the port is bound");
        assert!(poll!(pin!(listener.accept())).is_pending());
        SockRef::from(&listener).accept().expect("the connection waits in the accept queue");
        let empty = SockRef::from(&listener).accept().expect_err("nothing waits");
        assert_eq!(empty.kind(), io::ErrorKind::WouldBlock);
    }
    accept_polled_once_misses_a_connection_when_the_task_has_used_its_budget => {
        // The runtime makes a task yield that has done much in one poll, whatever waits.
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let _waiting = [(); 2].map(|()| std::net::TcpStream::connect(address).expect("the port is bound"));
        let _first = listener.accept().await.expect("two connections wait");
        while poll!(pin!(tokio::task::consume_budget())).is_ready() {}
        assert!(poll!(pin!(listener.accept())).is_pending());
        SockRef::from(&listener).accept().expect("the connection waits in the accept queue");
    }
}
