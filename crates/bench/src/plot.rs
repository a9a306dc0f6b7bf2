//! Plots of the measures as SVG.

use std::path;

use plotters::prelude::*;
use quick_error::quick_error;

use crate::measure;
use crate::scenario;
use crate::system;

quick_error! {
    /// Why a plot could not be drawn.
    #[derive(Debug)]
    pub enum PlotError {
        /// The library failed, as a rule because the file cannot be written.
        Draw(reason: String) {
            display("cannot draw the plot: {}", reason)
        }
    }
}

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (960, 420);

/// Colours of the systems.
const COLOURS: [RGBColor; 3] =
    [RGBColor(0, 90, 156), RGBColor(200, 120, 30), RGBColor(130, 130, 130)];

/// Share of a scenario's width that its bars take.
const BARS: f64 = 0.75;

/// Draws the attainment of a class of one deployment over all scenarios, a bar for each system.
///
/// # Errors
///
/// [`PlotError::Draw`] when the file cannot be written.
pub fn attainment(
    file: &path::Path,
    title: &str,
    measures: &[&measure::Measure],
    class: usize,
) -> Result<(), PlotError> {
    let value = |seen: &measure::Measure| seen.classes[class].attained * 100.0;
    bars(file, title, measures, "attained, in 100", 105.0, value)
}

/// Draws the goodput of one deployment over all scenarios, a bar for each system.
///
/// # Errors
///
/// [`PlotError::Draw`] when the file cannot be written.
pub fn goodput(
    file: &path::Path,
    title: &str,
    measures: &[&measure::Measure],
) -> Result<(), PlotError> {
    let most = measures.iter().map(|seen| seen.goodput).fold(1.0, f64::max);
    bars(file, title, measures, "goodput, tokens/s", most * 1.05, |seen| seen.goodput)
}

fn bars(
    file: &path::Path,
    title: &str,
    measures: &[&measure::Measure],
    unit: &str,
    most: f64,
    value: impl Fn(&measure::Measure) -> f64,
) -> Result<(), PlotError> {
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(failed)?;
    let names = scenario::Scenario::ALL.map(scenario::Scenario::name);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..names.len() as f64, 0.0..most)
        .map_err(failed)?;
    let label = |x: &f64| names.get(x.floor() as usize).copied().unwrap_or_default().to_owned();
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(names.len() + 1)
        .x_label_formatter(&label)
        .x_label_offset(60)
        .y_desc(unit)
        .draw()
        .map_err(failed)?;
    for (system, colour) in COLOURS.into_iter().enumerate() {
        let name = system::System::ROUTERS[system].name;
        let own = measures.iter().filter(|seen| seen.system == name);
        let rectangles = own.map(|seen| {
            let at = names.iter().position(|name| *name == seen.scenario.name()).unwrap_or(0);
            let width = BARS / COLOURS.len() as f64;
            let left = at as f64 + 0.12 + system as f64 * width;
            Rectangle::new([(left, 0.0), (left + width, value(seen))], colour.filled())
        });
        let series = chart.draw_series(rectangles).map_err(failed)?;
        let key = move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.filled());
        series.label(name).legend(key);
    }
    let mut labels = chart.configure_series_labels();
    labels.background_style(WHITE).border_style(BLACK).draw().map_err(failed)?;
    root.present().map_err(failed)
}

fn failed(error: impl std::fmt::Display) -> PlotError {
    PlotError::Draw(error.to_string())
}
