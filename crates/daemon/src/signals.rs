//! Catches the signals of a planned stop and of changed settings, from the first line of the program on.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Keeps the signals that came before a role waited for them; by default they would end the process.
#[derive(Debug, Clone)]
pub(crate) struct Signals {
    stop: Arc<AtomicBool>,
    hangup: Arc<AtomicBool>,
}

impl Signals {
    /// Catches the signals until the process ends.
    ///
    /// # Errors
    ///
    /// Returns the system's error when they can't be caught.
    pub(crate) fn catch() -> io::Result<Self> {
        let signals = Self {
            stop: Arc::default(),
            hangup: Arc::default(),
        };
        for stop in [SIGTERM, SIGINT] {
            flag::register(stop, Arc::clone(&signals.stop))?;
        }
        flag::register(SIGHUP, Arc::clone(&signals.hangup))?;
        Ok(signals)
    }

    /// Returns whether the platform or an operator has asked the process to stop.
    pub(crate) fn is_stop_requested(&self) -> bool {
        self.stop.load(Ordering::Acquire)
    }

    /// Waits until the platform or an operator asks the process to stop, or returns at once where one has.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the signals can't be watched.
    pub(crate) async fn stop_requested(&self) -> io::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        // A signal is in the flag, or in a stream that was there before the flag is read.
        if self.is_stop_requested() {
            return Ok(());
        }
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok(())
    }

    /// Waits like [`Signals::stop_requested`], and takes the loss of the terminal for such a request as well.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the signals can't be watched.
    pub(crate) async fn stop_or_hangup_requested(&self) -> io::Result<()> {
        let (mut hangup, came_before) = self.watch_hangup()?;
        if came_before {
            return Ok(());
        }
        tokio::select! {
            requested = self.stop_requested() => requested,
            _ = hangup.recv() => Ok(()),
        }
    }

    /// Watches for word of changed settings, and returns whether one came before.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the signal can't be watched.
    pub(crate) fn watch_hangup(&self) -> io::Result<(Signal, bool)> {
        let hangup = signal(SignalKind::hangup())?;
        Ok((hangup, self.hangup.swap(false, Ordering::AcqRel)))
    }
}
