//! Report page: HTML with plots as SVG.

use std::fmt::Write;

use anyhow::anyhow;
use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, IntoLogRange, IntoSegmentedCoord, LineSeries, Palette,
    Palette99, PathElement, Rectangle, SVGBackend, SegmentValue, WHITE,
};

use crate::measures::{Measures, PERCENTILES};

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (860, 360);

/// Font of captions and its size in pixels.
const CAPTION: (&str, u32) = ("sans-serif", 18);

/// Font of labels and its size in pixels.
const LABEL: (&str, u32) = ("sans-serif", 16);

/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1_000.0;

/// Bars with names.
type Bars = Vec<(String, f64)>;

/// Renders the page. `text` is the report as text.
///
/// # Errors
/// Returns an error where a plot can't be drawn.
pub fn page(measures: &Measures, text: &str) -> anyhow::Result<String> {
    let served = measures.accounts.iter();
    let served: Bars = served
        .map(|account| (account.id.clone(), account.share() * 100.0))
        .collect();
    let refusals = measures.refusals.iter();
    let refusals: Bars = refusals
        .map(|(code, count)| (code.clone(), crate::measures::ratio(*count, 1)))
        .collect();
    let mut page = String::from(
        "<!DOCTYPE html>\n<html lang=\"en\">\n<head><meta charset=\"utf-8\"/>\
         <title>apricotlug report</title></head>\n<body>\n<h1>apricotlug report</h1>\n",
    );
    if !measures.routes.is_empty() {
        page += &latencies(measures)?;
    }
    for (caption, rows) in [
        ("Served of admitted requests by client account, %", served),
        ("Refusals by code", refusals),
    ] {
        if !rows.is_empty() {
            page += &bars(caption, &rows)?;
        }
    }
    write!(page, "<pre>{}</pre>\n</body>\n</html>\n", escape(text))?;
    Ok(page)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// Draws the latency of each route over the percentiles.
fn latencies(measures: &Measures) -> anyhow::Result<String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(failed)?;
        let all = measures.routes.values().flat_map(|it| &it.curve_us);
        let all = all.map(|us| *us as f64 / US_PER_MS);
        let (low, high) = all.fold((f64::MAX, f64::MIN), |(low, high), ms| {
            (low.min(ms), high.max(ms))
        });
        let mut chart = ChartBuilder::on(&area)
            .caption("Latency by route", CAPTION)
            .margin(10)
            .x_label_area_size(40)
            .y_label_area_size(70)
            .build_cartesian_2d(0.0..100.0, (low * 0.8..high * 1.25).log_scale())
            .map_err(failed)?;
        chart
            .configure_mesh()
            .max_light_lines(1)
            .label_style(LABEL)
            .x_desc("percentile")
            .y_desc("ms")
            .draw()
            .map_err(failed)?;
        for (i, (route, latency)) in measures.routes.iter().enumerate() {
            let style = Palette99::pick(i).stroke_width(2);
            let points = PERCENTILES.iter().zip(&latency.curve_us);
            let points = points.map(|(percent, us)| (*percent, *us as f64 / US_PER_MS));
            chart
                .draw_series(LineSeries::new(points, style))
                .map_err(failed)?
                .label(route)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], style));
        }
        chart
            .configure_series_labels()
            .label_font(LABEL)
            .background_style(WHITE)
            .draw()
            .map_err(failed)?;
        area.present().map_err(failed)?;
    }
    Ok(svg)
}

/// Draws a horizontal bar for each row, the first on top.
fn bars(caption: &str, rows: &[(String, f64)]) -> anyhow::Result<String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(failed)?;
        let most = rows.iter().map(|row| row.1).fold(1.0, f64::max);
        let name = |at: &SegmentValue<usize>| match at {
            SegmentValue::CenterOf(i) => {
                let row = rows.len().checked_sub(i + 1).and_then(|i| rows.get(i));
                row.map(|row| row.0.clone()).unwrap_or_default()
            }
            _ => String::new(),
        };
        let mut chart = ChartBuilder::on(&area)
            .caption(caption, CAPTION)
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(160)
            .build_cartesian_2d(0.0..most * 1.05, (0..rows.len()).into_segmented())
            .map_err(failed)?;
        chart
            .configure_mesh()
            .disable_y_mesh()
            .max_light_lines(1)
            .label_style(LABEL)
            .y_labels(rows.len())
            .y_label_formatter(&name)
            .draw()
            .map_err(failed)?;
        let bars = rows.iter().rev().enumerate().map(|(i, row)| {
            let corners = [
                (0.0, SegmentValue::Exact(i)),
                (row.1, SegmentValue::Exact(i + 1)),
            ];
            let mut bar = Rectangle::new(corners, Palette99::pick(i).filled());
            bar.set_margin(3, 3, 0, 0);
            bar
        });
        chart.draw_series(bars).map_err(failed)?;
        area.present().map_err(failed)?;
    }
    Ok(svg)
}

fn failed(error: impl std::fmt::Debug) -> anyhow::Error {
    anyhow!("a plot can't be drawn: {error:?}")
}
