//! Charts of burn rates over time.

use std::error::Error;
use std::fmt::{self, Display};

use plotters::prelude::*;

use crate::burn::{BurnReport, ObjectiveReport};
use crate::increments::ratio;
use crate::text::{span, time};

/// Size of the chart, in pixels; it fits a page and stays readable at half the size.
const SIZE_PIXELS: (u32, u32) = (960, 540);

/// Colours that people with colour blindness can tell apart (the palette of Okabe and Ito).
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(230, 159, 0),
];

/// Factor above the highest point, so that no line touches the frame.
const HEADROOM: f64 = 1.15;

/// Reason why a chart can't be drawn.
#[derive(Debug)]
pub enum ChartError {
    /// The recording has no burn rate for any objective.
    Empty,
    /// The drawing library failed.
    Draw(Box<str>),
}

impl Display for ChartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("there is no burn rate to draw"),
            Self::Draw(cause) => write!(f, "the chart can't be drawn: {cause}"),
        }
    }
}

impl Error for ChartError {}

/// Returns a chart of the burn rates over time, as SVG text.
///
/// # Errors
///
/// Returns an error when no objective was measured.
pub fn svg(report: &BurnReport) -> Result<String, ChartError> {
    let drawn: Vec<_> = report
        .objectives
        .iter()
        .filter(|objective| !objective.history.is_empty())
        .collect();
    if drawn.is_empty() {
        return Err(ChartError::Empty);
    }
    let mut text = String::new();
    draw(report, &drawn, &mut text).map_err(|cause| ChartError::Draw(cause.to_string().into()))?;
    Ok(text)
}

fn draw(
    report: &BurnReport,
    drawn: &[&ObjectiveReport],
    text: &mut String,
) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::with_string(text, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let minutes = |at_ms: u64| ratio(at_ms.saturating_sub(report.from_ms), 60_000);
    let end_minutes = minutes(report.to_ms).max(f64::MIN_POSITIVE);
    let top_burn_rate = top_burn_rate(drawn);
    let title = format!(
        "Burn of error budgets, over a sliding window of up to {}",
        span(report.history_window_ms)
    );
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(16)
        .x_label_area_size(48)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..end_minutes, 0.0..top_burn_rate)?;
    chart
        .configure_mesh()
        .x_desc(format!("minutes since {}", time(report.from_ms)))
        .y_desc("burn rate (1 = the budget lasts 30 days)")
        .label_style(("sans-serif", 14))
        .axis_desc_style(("sans-serif", 15))
        .light_line_style(WHITE)
        .draw()?;
    for (index, objective) in drawn.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let points = objective.history.iter();
        let points = points.map(|point| (minutes(point.at_ms), point.burn_rate));
        let line = LineSeries::new(points, colour.stroke_width(2));
        chart
            .draw_series(line)?
            .label(&*objective.objective)
            .legend(move |(x, y)| {
                PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2))
            });
    }
    for (rate, name) in reference_lines(drawn, top_burn_rate) {
        let line = [(0.0, rate), (end_minutes, rate)];
        let style = BLACK.mix(0.5).stroke_width(1);
        chart
            .draw_series(DashedLineSeries::new(line, 6, 4, style))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], style));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.85))
        .border_style(BLACK.mix(0.3))
        .label_font(("sans-serif", 14))
        .draw()?;
    area.present()?;
    Ok(())
}

fn top_burn_rate(drawn: &[&ObjectiveReport]) -> f64 {
    let points = drawn.iter().flat_map(|objective| &objective.history);
    let highest = points.map(|point| point.burn_rate).fold(1.0, f64::max);
    highest * HEADROOM
}

/// Returns the dashed lines: a burn rate of 1, and the lowest page alert if it is below the top of the chart.
fn reference_lines(drawn: &[&ObjectiveReport], top_burn_rate: f64) -> Vec<(f64, String)> {
    let mut reference_lines = vec![(1.0, "budget is used up after 30 days".to_owned())];
    let windows = drawn
        .iter()
        .filter_map(|objective| objective.windows.first());
    let lowest = windows.min_by(|left, right| left.alert_at.total_cmp(&right.alert_at));
    if let Some(window) = lowest.filter(|window| window.alert_at < top_burn_rate) {
        let name = format!(
            "page at {:.1} over {}",
            window.alert_at,
            span(window.window_ms)
        );
        reference_lines.push((window.alert_at, name));
    }
    reference_lines
}
