//! Formats tables, spans and times as text.

use std::fmt::Write;

/// Returns a table whose columns are aligned and separated by two spaces.
#[must_use]
pub fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = head.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let head: Vec<String> = head.iter().map(|cell| (*cell).to_owned()).collect();
    let mut text = String::new();
    for row in std::iter::once(&head).chain(rows) {
        let cells = row.iter().zip(&widths);
        let cells: Vec<_> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        let line = cells.join("  ");
        let _always_ok = writeln!(text, "{}", line.trim_end());
    }
    text
}

/// Returns a span as text, such as `1h 5m`.
#[must_use]
pub fn span(span_ms: u64) -> String {
    humantime::format_duration(std::time::Duration::from_millis(span_ms)).to_string()
}

/// Returns a time as RFC 3339 text.
#[must_use]
pub fn time(at_ms: u64) -> String {
    // RFC 3339 ends with the year 9999; only an invalid recording can have a later time.
    let at_ms = at_ms.min(253_402_300_799_999);
    let at = std::time::SystemTime::UNIX_EPOCH + std::time::Duration::from_millis(at_ms);
    humantime::format_rfc3339_seconds(at).to_string()
}
