//! Runs a task on a thread of its own.
//!
//! When one caller floods a small gateway, every task in the shared runtime waits for hundreds of others. Applying a new route
//! table takes several polls, so there the gateway would keep using the old table for a second or more.

use std::io;

use tokio::runtime::Builder;
use tokio::sync::oneshot;

/// A running thread, which ends when this handle is dropped.
#[derive(Debug)]
pub(crate) struct DedicatedThread {
    _ends: oneshot::Sender<()>,
}

impl DedicatedThread {
    /// Runs a task on a new thread until the task ends or the handle is dropped.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the thread or its runtime can't be created.
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
