//! Checks that a drain reads what the system has received, also before the runtime knows of it.

use std::io::Write;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use futures::poll;
use hinge_cases::async_cases;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

use super::{DrainStream, accept_pending};

async_cases! {
    a_drain_reads_input_before_its_readiness_event => {
        // The runtime learns of input when it waits for events, and a connection that is closed before is reset.
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let mut peer = std::net::TcpStream::connect(address).expect("the address is bound");
        let accepted = accept_pending(&listener).expect("accepting succeeds");
        let (stream, _remote) = accepted.expect("the connection is pending");
        let reads_directly = Arc::new(AtomicBool::new(false));
        let mut stream = DrainStream { stream, reads_directly: Arc::clone(&reads_directly) };
        let mut buffer = [0; 8];
        assert!(poll!(pin!(stream.read(&mut buffer))).is_pending(), "nothing was sent");
        peer.write_all(b"request").expect("the socket is open");
        assert!(poll!(pin!(stream.read(&mut buffer))).is_pending(), "the runtime has not waited for events");
        reads_directly.store(true, Ordering::Relaxed);
        let read = poll!(pin!(stream.read(&mut buffer)));
        assert!(matches!(read, std::task::Poll::Ready(Ok(7))), "{read:?}");
    }
}
