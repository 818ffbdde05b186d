//! Runs a case, or a worker for one.

mod fleet;
mod truncated;
mod worker;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("worker") => {
            worker::run(&arguments[1..]);
            ExitCode::SUCCESS
        }
        Some("truncated") => ExitCode::from(truncated::run(&arguments[1])),
        _ => {
            eprintln!("usage: standin truncated RECORD");
            ExitCode::from(2)
        }
    }
}
