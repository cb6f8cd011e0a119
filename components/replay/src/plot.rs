//! Draws latency over time as SVG.

use std::path::Path;

use anyhow::{Context, Result};
use plotters::prelude::*;

use crate::Report;

const SIZE_PX: (u32, u32) = (960, 480);

/// Draws p50 and p99 of short statements by intended start, with a vertical line at each fault.
///
/// # Errors
/// Fails if the file cannot be written.
pub fn plot(report: &Report, path: &Path) -> Result<()> {
    draw(report, path).with_context(|| format!("draw {}", path.display()))
}

fn draw(report: &Report, path: &Path) -> Result<()> {
    let seconds = |us: u64| us as f64 / 1e6;
    let ms = |us: u64| us as f64 / 1e3;
    let end_s = report
        .series
        .last()
        .map_or(1.0, |bucket| seconds(bucket.due_us) + 0.1);
    let max_latency_ms = report
        .series
        .iter()
        .map(|bucket| bucket.p99_us)
        .max()
        .map_or(1.0, ms);
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(
            format!("{} {}", report.trace, report.label),
            ("sans-serif", 18),
        )
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end_s, (0.5..max_latency_ms.max(1.0) * 1.5).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("intended start, s")
        .y_desc("latency of short work, ms")
        .draw()?;
    let quantile_points = |quantile: fn(&crate::report::Bucket) -> u64| {
        report
            .series
            .iter()
            .map(move |bucket| (seconds(bucket.due_us), ms(quantile(bucket))))
    };
    chart
        .draw_series(LineSeries::new(
            quantile_points(|bucket| bucket.p50_us),
            BLUE,
        ))?
        .label("p50")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], BLUE));
    chart
        .draw_series(LineSeries::new(
            quantile_points(|bucket| bucket.p99_us),
            RED,
        ))?
        .label("p99")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], RED));
    for (at_us, text) in &report.faults {
        let x = seconds(*at_us);
        let ends = [(x, 0.5), (x, max_latency_ms.max(1.0) * 1.5)];
        chart.draw_series(LineSeries::new(ends, BLACK))?;
        let style = ("sans-serif", 12).into_font().color(&BLACK);
        let label = Text::new(text.clone(), (x, max_latency_ms.max(1.0) * 1.4), style);
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
