//! Writes log lines from a thread of its own, so that nobody who logs ever waits for the output.
//!
//! Lines are gathered for a moment and written at once, since a write for each line would cost a busy process more than
//! the line. Whoever reads the output slowly, or not at all, bounds what is kept: then lines that tell of ordinary work are
//! dropped first, those of failures only when twice as much is kept, and how many were dropped is told as soon as
//! the output takes lines again.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time for which lines are gathered; a process that is killed loses those of its last moment.
const GATHER: Duration = Duration::from_millis(100);

/// Bytes that are written at once: what a pipe takes in one step (`PIPE_BUF` of Linux).
const PIECE_BYTES: usize = 4096;

/// Longest wait for the output at the end of a process; a planned stop must not hang on who reads its lines.
const FINISH: Duration = Duration::from_millis(500);

/// Bytes of ordinary lines that are kept at most: some thousand lines, a few seconds of a busy gateway.
const MOST_ORDINARY_BYTES: usize = 256 * 1024;

/// Bytes of lines that are kept at most.
const MOST_BYTES: usize = 2 * MOST_ORDINARY_BYTES;

/// Says how much a line matters when not all can be kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weight {
    /// Tells of ordinary work.
    Ordinary,
    /// Tells of a failure.
    Failure,
}

#[derive(Debug, Default)]
struct Kept {
    bytes: Vec<u8>,
    dropped: u64,
    is_ended: bool,
    /// Whether the thread has written the last lines.
    is_written: bool,
}

#[derive(Debug, Default)]
struct Shared {
    kept: Mutex<Kept>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Holds lines until they are written.
#[derive(Debug)]
pub struct Lines {
    shared: Arc<Shared>,
}

impl Lines {
    /// Starts the thread that writes to an output.
    ///
    /// # Panics
    ///
    /// Panics when the system gives no thread.
    #[must_use]
    pub fn spawn(output: impl Write + Send + 'static) -> Self {
        let shared = Arc::new(Shared::default());
        let for_thread = Arc::clone(&shared);
        std::thread::Builder::new()
            .name("log-lines".to_owned())
            .spawn(move || write_all(&for_thread, output))
            .expect("the system gives a thread at the start");
        Self { shared }
    }

    /// Returns where lines of one weight are put.
    #[must_use]
    pub fn intake(&self, weight: Weight) -> Intake {
        Intake {
            shared: Arc::clone(&self.shared),
            weight,
        }
    }

    /// Writes what is kept, as far as the output takes it in a while, and ends the thread.
    pub fn finish(&self) {
        let mut kept = self.shared.lock();
        kept.is_ended = true;
        self.shared.changed.notify_all();
        let is_left = |kept: &mut Kept| !kept.is_written;
        let written = self
            .shared
            .changed
            .wait_timeout_while(kept, FINISH, is_left);
        // What an output does not take by now is lost with the process.
        drop(written);
    }
}

/// Takes in lines of one weight; a line that can't be kept is counted.
#[derive(Debug, Clone)]
pub struct Intake {
    shared: Arc<Shared>,
    weight: Weight,
}

impl Write for Intake {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let line = buf;
        let most = match self.weight {
            Weight::Ordinary => MOST_ORDINARY_BYTES,
            Weight::Failure => MOST_BYTES,
        };
        let mut kept = self.shared.lock();
        if kept.bytes.len() + line.len() > most {
            kept.dropped += 1;
            return Ok(line.len());
        }
        let is_first = kept.bytes.is_empty();
        kept.bytes.extend_from_slice(line);
        drop(kept);
        if is_first {
            self.shared.changed.notify_one();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_all(shared: &Shared, mut output: impl Write) {
    loop {
        let mut kept = shared.lock();
        while kept.bytes.is_empty() && !kept.is_ended {
            let waited = shared.changed.wait(kept);
            kept = waited.unwrap_or_else(PoisonError::into_inner);
        }
        if !kept.is_ended {
            drop(kept);
            std::thread::sleep(GATHER);
            kept = shared.lock();
        }
        let mut bytes = std::mem::take(&mut kept.bytes);
        let dropped = std::mem::take(&mut kept.dropped);
        let is_ended = kept.is_ended;
        drop(kept);
        if dropped > 0 {
            let told = crate::log::dropped_line(dropped);
            bytes.extend_from_slice(told.as_bytes());
        }
        // Nobody reads an output that fails, and there is no other place to say so.
        let _written = write_whole_lines(&mut output, &bytes);
        if is_ended {
            shared.lock().is_written = true;
            shared.changed.notify_all();
            return;
        }
    }
}

/// Writes lines in pieces that a pipe takes whole or not at all, so that a reader who is full gets no half of a line.
fn write_whole_lines(output: &mut impl Write, lines: &[u8]) -> io::Result<()> {
    let mut left = lines;
    while !left.is_empty() {
        let end = left.len().min(PIECE_BYTES);
        let last_line_end = left[..end].iter().rposition(|byte| *byte == b'\n');
        let next_line_end = || left.iter().position(|byte| *byte == b'\n');
        let end = last_line_end
            .or_else(next_line_end)
            .map_or(left.len(), |end| end + 1);
        let (piece, rest) = left.split_at(end);
        output.write_all(piece)?;
        left = rest;
    }
    output.flush()
}
