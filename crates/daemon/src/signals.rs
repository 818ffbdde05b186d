//! Handlers for the stop and reload signals, installed at the very start of the process.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals received so far, so that none that arrives before a role waits for it is lost.
///
/// Without handlers, each of these signals would end the process.
#[derive(Debug, Clone)]
pub(crate) struct Signals {
    stop: Arc<AtomicBool>,
    hangup: Arc<AtomicBool>,
}

impl Signals {
    /// Installs the handlers for the rest of the process's life.
    ///
    /// # Errors
    ///
    /// Returns the system's error when a handler can't be installed.
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

    /// Returns whether SIGTERM or SIGINT has been received.
    pub(crate) fn is_stop_requested(&self) -> bool {
        self.stop.load(Ordering::Acquire)
    }

    /// Waits for SIGTERM or SIGINT; returns at once when one has already been received.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the signals can't be watched.
    pub(crate) async fn stop_requested(&self) -> io::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        // The streams exist before the flag is read, so a signal is seen in one or the other.
        if self.is_stop_requested() {
            return Ok(());
        }
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok(())
    }

    /// Waits like [`Signals::stop_requested`], and treats SIGHUP (the terminal was closed) as a stop request as well.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the signals can't be watched.
    pub(crate) async fn stop_or_hangup_requested(&self) -> io::Result<()> {
        let (mut hangup, already_received) = self.watch_hangup()?;
        if already_received {
            return Ok(());
        }
        tokio::select! {
            requested = self.stop_requested() => requested,
            _ = hangup.recv() => Ok(()),
        }
    }

    /// Returns a stream of SIGHUP signals, and whether one was received before the stream existed.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the signal can't be watched.
    pub(crate) fn watch_hangup(&self) -> io::Result<(Signal, bool)> {
        let hangup = signal(SignalKind::hangup())?;
        Ok((hangup, self.hangup.swap(false, Ordering::AcqRel)))
    }
}
