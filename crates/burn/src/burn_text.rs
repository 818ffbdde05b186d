//! The burn report as text.

use std::fmt::{self, Display};

use crate::burn::{BurnReport, Burner, Level, ObjectiveReport, WindowReport};
use crate::increments::Coverage;
use crate::text::{span, table, time};

impl Display for BurnReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.coverage.is_empty() {
            return f.write_str("no samples");
        }
        let recorded = span(self.to_ms - self.from_ms);
        writeln!(
            f,
            "recorded {recorded}, from {} to {}",
            time(self.from_ms),
            time(self.to_ms)
        )?;
        for objective in &self.objectives {
            write!(f, "\n{objective}")?;
        }
        if self.objectives.is_empty() && self.unmeasured.is_empty() {
            writeln!(
                f,
                "\nthe configuration has no objectives; add a table [objectives.NAME]"
            )?;
        }
        for unmeasured in &self.unmeasured {
            writeln!(
                f,
                "\n{}: not measured: {}",
                unmeasured.objective, unmeasured.reason
            )?;
        }
        write_coverage(f, &self.coverage, self.is_cut)
    }
}

/// Writes what is missing in a recording; nothing for a complete one.
pub(crate) fn write_coverage(
    f: &mut fmt::Formatter<'_>,
    coverage: &[Coverage],
    is_cut: bool,
) -> fmt::Result {
    if is_cut {
        writeln!(f, "\nthe last line of the samples is cut, and was left out")?;
    }
    for instance in coverage {
        let gaps_in_recording = gaps_in_recording(instance);
        if !gaps_in_recording.is_empty() {
            writeln!(
                f,
                "\n{}: {}",
                instance.instance,
                gaps_in_recording.join("; ")
            )?;
        }
    }
    Ok(())
}

fn gaps_in_recording(coverage: &Coverage) -> Vec<String> {
    let mut gaps_in_recording = Vec::new();
    if coverage.missing > 0 {
        let all = coverage.missing + coverage.pages;
        let cause = coverage.cause.as_deref().unwrap_or_default();
        gaps_in_recording.push(format!(
            "{} of {all} pages are missing, the last because: {cause}",
            coverage.missing
        ));
    }
    if let Some(gap_ms) = coverage.longest_gap_ms {
        gaps_in_recording.push(format!("a gap of {} was taken as even", span(gap_ms)));
    }
    if coverage.restarts > 0 {
        gaps_in_recording.push(format!(
            "{} restarts; counts between the last page and a restart are lost",
            coverage.restarts
        ));
    }
    if coverage.is_unusable {
        gaps_in_recording.push(format!(
            "{} pages give no difference, so nothing of it is counted",
            coverage.pages
        ));
    }
    gaps_in_recording
}

impl Display for ObjectiveReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let target = target(self.target);
        writeln!(f, "{}: {target} {}", self.objective, self.description)?;
        if let Some(bound_s) = self.measured_at_s {
            writeln!(
                f,
                "  measured at {bound_s} s, the histogram's next lower bound"
            )?;
        }
        let counts = format!("{:.0} bad of {:.0} requests", self.bad, self.requests);
        match self.budget_left {
            Some(left) => writeln!(f, "  {} of the budget is left ({counts})", percent(left))?,
            None => writeln!(f, "  no requests, so the budget is whole")?,
        }
        let windows: Vec<_> = self.windows.iter().map(window_row).collect();
        let head = [
            "WINDOW",
            "RECORDED",
            "BAD",
            "BURN",
            "SHORT",
            "SHORT BURN",
            "ALERT AT",
            "ALERT",
        ];
        write_indented(f, &table(&head, &windows))?;
        if self.burners.is_empty() {
            return Ok(());
        }
        let burners: Vec<_> = self.burners.iter().map(burner_row).collect();
        let head = ["TEAM", "CLASS", "POOL", "CAUSE", "BAD", "PART"];
        write_indented(f, &table(&head, &burners))
    }
}

fn write_indented(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    text.lines().try_for_each(|line| writeln!(f, "  {line}"))
}

fn window_row(window: &WindowReport) -> Vec<String> {
    let alert = match window.alert {
        None => "-",
        Some(Level::Page) => "page",
        Some(Level::Ticket) => "ticket",
        Some(Level::Trend) => "trend",
    };
    vec![
        span(window.window_ms),
        span(window.covered_ms),
        format!("{:.0} of {:.0}", window.bad, window.requests),
        rate(window.burn_rate),
        span(window.short_window_ms),
        rate(window.short_burn_rate),
        format!("{:.1}", window.alert_at),
        alert.to_owned(),
    ]
}

fn burner_row(burner: &Burner) -> Vec<String> {
    let or_unknown = |text: &str| if text.is_empty() { "?" } else { text }.to_owned();
    vec![
        or_unknown(&burner.team),
        or_unknown(&burner.class),
        or_unknown(&burner.pool),
        burner.cause.to_string(),
        format!("{:.0}", burner.bad),
        percent(burner.part),
    ]
}

fn rate(rate: Option<f64>) -> String {
    rate.map_or("-".to_owned(), |rate| format!("{rate:.2}"))
}

/// Returns a fraction as a percentage with one decimal place.
pub(crate) fn percent(part: f64) -> String {
    format!("{:.1} %", part * 100.0)
}

/// Returns a target as a percentage with as many decimal places as it needs, as in the configuration.
fn target(part: f64) -> String {
    let text = format!("{:.4}", part * 100.0);
    let text = text.trim_end_matches('0').trim_end_matches('.');
    format!("{text} %")
}
