//! Runs a task on a thread of its own.
//!
//! The load pattern: a hot caller floods a small gateway, and every task waits for hundreds of others. An answer of control takes several
//! turns until a new table is in force, so that the gateway would go on by the old one for a second or more.

use std::io;

use tokio::runtime::Builder;
use tokio::sync::oneshot;

/// Holds a running thread; it ends when this is dropped.
#[derive(Debug)]
pub(crate) struct Apart {
    _ends: oneshot::Sender<()>,
}

impl Apart {
    /// Runs a task on a new thread until it ends or this is dropped.
    ///
    /// # Errors
    ///
    /// Returns the system's error when it gives no thread.
    pub(crate) fn spawn(
        name: &str,
        task: impl Future<Output = ()> + Send + 'static,
    ) -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let (ends, ended) = oneshot::channel::<()>();
        let run = move || {
            runtime.block_on(async {
                tokio::select! {
                    () = task => {}
                    _dropped = ended => {}
                }
            });
        };
        let thread = std::thread::Builder::new().name(name.to_owned());
        thread.spawn(run)?;
        Ok(Self { _ends: ends })
    }
}
