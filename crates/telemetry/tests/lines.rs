//! Checks that logging never waits for the output, and what is dropped first.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};

use hinge_cases::cases;
use hinge_telemetry::lines::{Lines, Weight};

/// Stands in for an output that takes nothing until it is told to, and then shows what it was given.
struct Output {
    may_take: Receiver<()>,
    taken: Sender<String>,
}

impl Write for Output {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.may_take.recv().map_err(io::Error::other)?;
        let text = String::from_utf8_lossy(buf).into_owned();
        self.taken.send(text).map_err(io::Error::other)?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn blocked() -> (Lines, Sender<()>, Receiver<String>) {
    let (let_take, may_take) = channel();
    let (taken, seen) = channel();
    (Lines::spawn(Output { may_take, taken }), let_take, seen)
}

fn put(lines: &Lines, weight: Weight, line: &str) {
    let mut intake = lines.intake(weight);
    intake
        .write_all(line.as_bytes())
        .expect("a line is never refused");
}

const LINE: &str = "an ordinary line of some hundred bytes, as a gateway writes one for each request that it has served\n";

cases! {
    an_output_that_takes_nothing_holds_nobody_up_and_loses_ordinary_lines_first => {
        let (lines, let_take, seen) = blocked();
        // The thread waits in the output with these.
        put(&lines, Weight::Ordinary, "first\n");
        for _ in 0..20_000 {
            put(&lines, Weight::Ordinary, LINE);
        }
        put(&lines, Weight::Failure, "a failure\n");
        let _taken = let_take.send(());
        let mut all = String::new();
        while !all.contains("Dropped lines") {
            all.push_str(&seen.recv().expect("the thread goes on"));
            let _taken = let_take.send(());
        }
        assert!(all.contains("a failure\n"), "the line of a failure was dropped");
        let kept = all.matches(LINE).count();
        let told = all.lines().last().expect("there are lines");
        let dropped: usize = told.rsplit("count=").next().expect("it tells the count").parse().expect("a number");
        assert_eq!(kept + dropped, 20_000);
        assert!(kept < 6_000, "{kept} lines are kept: memory is not bounded");
    }
    lines_are_written_in_pieces_that_a_pipe_takes_whole => {
        let (lines, let_take, seen) = blocked();
        put(&lines, Weight::Ordinary, &"x".repeat(5_000));
        put(&lines, Weight::Ordinary, "\n");
        for _ in 0..100 {
            put(&lines, Weight::Ordinary, LINE);
        }
        for _ in 0..100 {
            let _taken = let_take.send(());
        }
        lines.finish();
        let pieces: Vec<String> = seen.iter().collect();
        assert!(pieces.len() > 2);
        assert!(pieces.iter().all(|piece| piece.ends_with('\n')));
        assert!(pieces.iter().all(|piece| piece.len() <= 4096 || piece.len() == 5_001));
    }
    lines_are_written_whole_and_in_order_before_the_end => {
        let (lines, let_take, seen) = blocked();
        for number in 0..100 {
            put(&lines, Weight::Ordinary, &format!("{number}\n"));
        }
        for _ in 0..100 {
            let _taken = let_take.send(());
        }
        lines.finish();
        let all: String = seen.iter().collect();
        let numbers: Vec<u32> = all.lines().map(|line| line.parse().expect("a number")).collect();
        assert!(all.ends_with('\n'));
        assert_eq!(numbers, (0..100).collect::<Vec<u32>>());
    }
}
