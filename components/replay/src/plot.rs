//! Latency over time as an SVG drawing.

use std::path::Path;

use anyhow::{Context, Result};
use plotters::prelude::*;

use crate::Report;

const SIZE: (u32, u32) = (960, 480);

/// Draws p50 and p99 of short work by intended start, with a line at each fault.
///
/// # Errors
/// Fails if the file cannot be written.
pub fn plot(report: &Report, path: &Path) -> Result<()> {
    draw(report, path).with_context(|| format!("draw {}", path.display()))
}

fn draw(report: &Report, path: &Path) -> Result<()> {
    let seconds = |us: u64| us as f64 / 1e6;
    let ms = |us: u64| us as f64 / 1e3;
    let end = report
        .series
        .last()
        .map_or(1.0, |point| seconds(point.due_us) + 0.1);
    let top = report
        .series
        .iter()
        .map(|point| point.p99_us)
        .max()
        .map_or(1.0, ms);
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(
            format!("{} {}", report.trace, report.label),
            ("sans-serif", 18),
        )
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end, (0.5..top.max(1.0) * 1.5).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("intended start, s")
        .y_desc("latency of short work, ms")
        .draw()?;
    let line = |pick: fn(&crate::report::Point) -> u64| {
        report
            .series
            .iter()
            .map(move |p| (seconds(p.due_us), ms(pick(p))))
    };
    chart
        .draw_series(LineSeries::new(line(|p| p.p50_us), BLUE))?
        .label("p50")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], BLUE));
    chart
        .draw_series(LineSeries::new(line(|p| p.p99_us), RED))?
        .label("p99")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], RED));
    for (at, text) in &report.faults {
        let x = seconds(*at);
        let mark = [(x, 0.5), (x, top.max(1.0) * 1.5)];
        chart.draw_series(LineSeries::new(mark, BLACK))?;
        let style = ("sans-serif", 12).into_font().color(&BLACK);
        let label = Text::new(text.clone(), (x, top.max(1.0) * 1.4), style);
        chart.draw_series(std::iter::once(label))?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
