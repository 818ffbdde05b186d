//! Prints measured values as tables, with the lines fitted to them.

use hinge_capacity::fit::Fit;
use hinge_capacity::reading::Rates;

/// Bytes of a KB in the tables.
pub const KB: f64 = 1_000.0;
/// Bytes of a MB in the tables.
const MB: f64 = 1_000_000.0;

/// A table of named values by size.
#[derive(Debug)]
pub struct Table {
    title: String,
    size: &'static str,
    rows: Vec<(f64, Vec<(&'static str, f64)>)>,
}

impl Table {
    pub fn new(title: impl Into<String>, size: &'static str) -> Self {
        Self {
            title: title.into(),
            size,
            rows: Vec::new(),
        }
    }

    pub fn add(&mut self, size: u32, values: Vec<(&'static str, f64)>) {
        self.rows.push((f64::from(size), values));
    }

    /// Prints the table, and the fitted line of each value.
    pub fn print(&self) {
        let Some((_, first)) = self.rows.first() else {
            return;
        };
        let names: Vec<&str> = first.iter().map(|(name, _)| *name).collect();
        println!(
            "\n### {}\n\n| {} | {} |",
            self.title,
            self.size,
            names.join(" | ")
        );
        println!("|{}", " --- |".repeat(names.len() + 1));
        for (size, values) in &self.rows {
            let cells: Vec<String> = values
                .iter()
                .map(|(_, value)| format!("{value:.3}"))
                .collect();
            println!("| {size} | {} |", cells.join(" | "));
        }
        println!();
        for (at, name) in names.iter().enumerate() {
            let points: Vec<(f64, f64)> = self
                .rows
                .iter()
                .map(|(size, values)| (*size, values[at].1))
                .collect();
            if let Some(fit) = Fit::least_squares(&points) {
                println!("- {name}: {fit}");
            }
        }
    }
}

/// Returns the values of a process that every table has.
pub fn common_values(rates: &Rates) -> Vec<(&'static str, f64)> {
    vec![
        ("core %", rates.core_fraction * 100.0),
        ("resident MB", rates.resident_bytes / MB),
        ("own MB", rates.anonymous_bytes / MB),
        ("control KB/s", rates.control_bytes / KB),
        ("control messages/s", rates.control_messages),
    ]
}
