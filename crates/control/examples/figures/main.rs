//! Measures control: `cargo run --release -p hinge-control --example figures -- FIGURE`.
//!
//! FIGURE is one of `commits`, `election`, `in-force`, `bytes`, `memory` and `recovery`; the results are in
//! `docs/design/control.md`.

mod fleet;
mod log;
mod memory;
mod traffic;

#[tokio::main]
async fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("commits") => log::commits().await,
        Some("election") => log::election().await,
        Some("in-force") => log::in_force().await,
        Some("bytes") => traffic::bytes().await,
        Some("memory") => memory::memory().await,
        Some("recovery") => log::recovery().await,
        _ => eprintln!("allowed are commits, election, in-force, bytes, memory and recovery"),
    }
}
