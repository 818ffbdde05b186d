//! A buffered log writer on a thread of its own, so that logging never blocks on the output.
//!
//! Lines are written in batches, since one write for each line would cost a busy process more than the line itself. The
//! buffer is bounded, for an output that is read slowly or not at all: when it fills up, ordinary lines are dropped first, and
//! lines about failures only when twice as many bytes are buffered. The number of dropped lines is logged as soon as the
//! output accepts lines again.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time for which lines are batched; a process that is killed loses the lines of its last batch.
const BATCH_TIME: Duration = Duration::from_millis(100);

/// Most bytes of one write: what a pipe accepts atomically (`PIPE_BUF` on Linux).
const MAX_WRITE_BYTES: usize = 4096;

/// Limit on the wait for the output at the end of a process; a planned stop must not hang on a slow reader.
const FINISH_TIMEOUT: Duration = Duration::from_millis(500);

/// Buffered bytes above which ordinary lines are dropped: some thousand lines, or a few seconds of a busy gateway.
const MAX_ORDINARY_BYTES: usize = 256 * 1024;

/// Buffered bytes above which lines about failures are dropped too.
const MAX_BYTES: usize = 2 * MAX_ORDINARY_BYTES;

/// The priority of a line when the buffer is too full to keep every line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Priority {
    /// A line about ordinary work.
    Ordinary,
    /// A line about a failure.
    Failure,
}

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
    is_ended: bool,
    /// Whether the thread has written the last lines and ended.
    is_written: bool,
}

#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A bounded buffer of lines, with the thread that writes them.
#[derive(Debug)]
pub struct LineWriter {
    shared: Arc<Shared>,
}

impl LineWriter {
    /// Starts the thread that writes the lines to an output.
    ///
    /// # Panics
    ///
    /// Panics when the system can't start a thread.
    #[must_use]
    pub fn spawn(output: impl Write + Send + 'static) -> Self {
        let shared = Arc::new(Shared::default());
        let thread_shared = Arc::clone(&shared);
        std::thread::Builder::new()
            .name("log-lines".to_owned())
            .spawn(move || write_all(&thread_shared, output))
            .expect("the system can start a thread");
        Self { shared }
    }

    /// Returns a writer for lines of one priority.
    #[must_use]
    pub fn sink(&self, priority: Priority) -> LineSink {
        LineSink {
            shared: Arc::clone(&self.shared),
            priority,
        }
    }

    /// Writes the buffered lines, as far as the output accepts them within half a second, and ends the thread.
    pub fn finish(&self) {
        let mut buffer = self.shared.lock();
        buffer.is_ended = true;
        self.shared.changed.notify_all();
        let is_unwritten = |buffer: &mut Buffer| !buffer.is_written;
        let written = self
            .shared
            .changed
            .wait_timeout_while(buffer, FINISH_TIMEOUT, is_unwritten);
        // Lines that the output has not accepted by now are lost.
        drop(written);
    }
}

/// A writer that buffers lines of one priority, and counts those that have to be dropped.
#[derive(Debug, Clone)]
pub struct LineSink {
    shared: Arc<Shared>,
    priority: Priority,
}

impl Write for LineSink {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let line = buf;
        let max_bytes = match self.priority {
            Priority::Ordinary => MAX_ORDINARY_BYTES,
            Priority::Failure => MAX_BYTES,
        };
        let mut buffer = self.shared.lock();
        if buffer.bytes.len() + line.len() > max_bytes {
            buffer.dropped += 1;
            return Ok(line.len());
        }
        let is_first = buffer.bytes.is_empty();
        buffer.bytes.extend_from_slice(line);
        drop(buffer);
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
        let mut buffer = shared.lock();
        while buffer.bytes.is_empty() && !buffer.is_ended {
            let waited = shared.changed.wait(buffer);
            buffer = waited.unwrap_or_else(PoisonError::into_inner);
        }
        if !buffer.is_ended {
            drop(buffer);
            std::thread::sleep(BATCH_TIME);
            buffer = shared.lock();
        }
        let mut bytes = std::mem::take(&mut buffer.bytes);
        let dropped = std::mem::take(&mut buffer.dropped);
        let is_ended = buffer.is_ended;
        drop(buffer);
        if dropped > 0 {
            let notice = crate::log::dropped_line(dropped);
            bytes.extend_from_slice(notice.as_bytes());
        }
        // A failure to write the log can't be reported, because the log is the only place for it.
        let _written = write_whole_lines(&mut output, &bytes);
        if is_ended {
            shared.lock().is_written = true;
            shared.changed.notify_all();
            return;
        }
    }
}

/// Writes whole lines in chunks that a pipe accepts atomically, so that a reader never gets half a line.
fn write_whole_lines(output: &mut impl Write, lines: &[u8]) -> io::Result<()> {
    let mut left = lines;
    while !left.is_empty() {
        let end = left.len().min(MAX_WRITE_BYTES);
        let last_line_end = left[..end].iter().rposition(|byte| *byte == b'\n');
        let next_line_end = || left.iter().position(|byte| *byte == b'\n');
        let end = last_line_end
            .or_else(next_line_end)
            .map_or(left.len(), |end| end + 1);
        let (chunk, rest) = left.split_at(end);
        output.write_all(chunk)?;
        left = rest;
    }
    output.flush()
}
