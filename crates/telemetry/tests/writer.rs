//! Tests that logging never blocks on the output, and that ordinary lines are dropped first.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};

use hinge_cases::cases;
use hinge_telemetry::writer::{LineWriter, Priority};

/// An output that accepts one write for each message from the test, and passes on what was written.
struct Output {
    write_allowed: Receiver<()>,
    written: Sender<String>,
}

impl Write for Output {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.write_allowed.recv().map_err(io::Error::other)?;
        let text = String::from_utf8_lossy(buf).into_owned();
        self.written.send(text).map_err(io::Error::other)?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn blocked_writer() -> (LineWriter, Sender<()>, Receiver<String>) {
    let (allow_write, write_allowed) = channel();
    let (written, output) = channel();
    (
        LineWriter::spawn(Output {
            write_allowed,
            written,
        }),
        allow_write,
        output,
    )
}

fn put(writer: &LineWriter, priority: Priority, line: &str) {
    let mut sink = writer.sink(priority);
    sink.write_all(line.as_bytes())
        .expect("writing a line never fails");
}

const LINE: &str = "an ordinary line of some hundred bytes, as a gateway writes one for each request that it has served\n";

cases! {
    a_blocked_output_never_blocks_logging_and_loses_ordinary_lines_first => {
        let (writer, allow_write, output) = blocked_writer();
        // The thread blocks in the output while it writes this line.
        put(&writer, Priority::Ordinary, "first\n");
        for _ in 0..20_000 {
            put(&writer, Priority::Ordinary, LINE);
        }
        put(&writer, Priority::Failure, "a failure\n");
        let _allowed = allow_write.send(());
        let mut all = String::new();
        while !all.contains("Dropped lines") {
            all.push_str(&output.recv().expect("the thread keeps running"));
            let _allowed = allow_write.send(());
        }
        assert!(all.contains("a failure\n"), "the line of a failure was dropped");
        let kept = all.matches(LINE).count();
        let notice = all.lines().last().expect("there are lines");
        let dropped: usize = notice.rsplit("count=").next().expect("the line has a count").parse().expect("a number");
        assert_eq!(kept + dropped, 20_000);
        assert!(kept < 6_000, "{kept} lines are buffered: memory is not bounded");
    }
    lines_are_written_in_chunks_that_a_pipe_accepts_atomically => {
        let (writer, allow_write, output) = blocked_writer();
        put(&writer, Priority::Ordinary, &"x".repeat(5_000));
        put(&writer, Priority::Ordinary, "\n");
        for _ in 0..100 {
            put(&writer, Priority::Ordinary, LINE);
        }
        for _ in 0..100 {
            let _allowed = allow_write.send(());
        }
        writer.finish();
        let chunks: Vec<String> = output.iter().collect();
        assert!(chunks.len() > 2);
        assert!(chunks.iter().all(|chunk| chunk.ends_with('\n')));
        assert!(chunks.iter().all(|chunk| chunk.len() <= 4096 || chunk.len() == 5_001));
    }
    finish_writes_all_lines_whole_and_in_order => {
        let (writer, allow_write, output) = blocked_writer();
        for number in 0..100 {
            put(&writer, Priority::Ordinary, &format!("{number}\n"));
        }
        for _ in 0..100 {
            let _allowed = allow_write.send(());
        }
        writer.finish();
        let all: String = output.iter().collect();
        let numbers: Vec<u32> = all.lines().map(|line| line.parse().expect("a number")).collect();
        assert!(all.ends_with('\n'));
        assert_eq!(numbers, (0..100).collect::<Vec<u32>>());
    }
}
