//! The results as JSON and as tables.

use std::collections;
use std::fs;
use std::io;
use std::path;

use comfy_table::Cell;
use comfy_table::Table;
use serde::Serialize;

use crate::bounds;
use crate::measure;
use crate::slopes;

/// Everything that one run measured.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Results {
    /// Seeds of the scenarios.
    pub seeds: Vec<u64>,
    /// The policy against the two routers.
    pub routers: Vec<measure::Measure>,
    /// The queue disciplines under the policy's choice of replicas.
    pub disciplines: Vec<measure::Measure>,
    /// The bounds, over all seeds.
    pub checks: Vec<bounds::Check>,
    /// State and cost for the capacity page.
    pub slopes: Vec<slopes::Slope>,
}

impl Results {
    /// Writes `results.json` into a directory, which is made if it is not there.
    ///
    /// # Errors
    ///
    /// When the file cannot be written.
    pub fn write(&self, dir: &path::Path) -> io::Result<()> {
        fs::create_dir_all(dir)?;
        let text = serde_json::to_string_pretty(self).map_err(io::Error::other)?;
        fs::write(dir.join("results.json"), text)
    }

    /// Whether every bound holds.
    #[must_use]
    pub fn hold(&self) -> bool {
        self.checks.iter().all(bounds::Check::holds)
    }
}

/// A table of measures, one row for each system and class of the model.
#[must_use]
pub fn measures(measures: &[measure::Measure]) -> Table {
    let mut table = table(&[
        "deployment",
        "scenario",
        "system",
        "class",
        "requests",
        "attained",
        "refused",
        "failed",
        "first p95 ms",
        "gap p95 ms",
        "dispatched",
        "team ratio",
        "goodput tok/s",
        "wasted",
        "cached",
    ]);
    for seen in measures {
        for class in [seen.top(), seen.lowest()] {
            table.add_row(row(seen, class));
        }
    }
    table
}

fn row(seen: &measure::Measure, class: &measure::ClassMeasure) -> Vec<Cell> {
    let texts = [
        seen.deployment.to_owned(),
        seen.scenario.name().to_owned(),
        seen.system.to_owned(),
        class.name.clone(),
        class.requests.to_string(),
        percent(class.attained),
        percent(class.refused),
        percent(class.failed),
        format!("{:.0}", class.first_ms),
        format!("{:.1}", class.gap_ms),
        percent(class.dispatched),
        format!("{:.2}", class.team_ratio),
        format!("{:.0}", seen.goodput),
        percent(seen.wasted_share),
        percent(seen.hit_share),
    ];
    texts.into_iter().map(Cell::new).collect()
}

/// A table of the bounds, each with the seed that comes nearest to breaking it.
#[must_use]
pub fn checks(checks: &[bounds::Check]) -> Table {
    let mut table = table(&["bound", "deployment", "scenario", "measured", "limit", ""]);
    let mut worst = collections::BTreeMap::new();
    for check in checks {
        let key = (check.deployment, check.scenario.name(), check.name);
        let known = worst.entry(key).or_insert(check);
        if check.margin() < known.margin() {
            *known = check;
        }
    }
    for check in worst.into_values() {
        let sign = if check.at_most { "<=" } else { ">=" };
        table.add_row([
            check.name.to_owned(),
            check.deployment.to_owned(),
            check.scenario.name().to_owned(),
            format!("{:.3}", check.value),
            format!("{sign} {:.3}", check.bound),
            (if check.holds() { "holds" } else { "BROKEN" }).to_owned(),
        ]);
    }
    table
}

/// A table of the slopes.
#[must_use]
pub fn slopes(slopes: &[slopes::Slope]) -> Table {
    let mut table = table(&["slope", "at", "value", "unit"]);
    for slope in slopes {
        let value = format!("{:.0}", slope.value);
        table.add_row([slope.name, &slope.count.to_string(), &value, slope.unit]);
    }
    table
}

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header(header.iter().map(Cell::new));
    table
}

fn percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}
