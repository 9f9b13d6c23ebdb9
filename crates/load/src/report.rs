//! Markdown table, CSV files and SVG plots of a set of runs.

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::path::Path;

use plotters::prelude::*;

use sassafras_util::Error;

use crate::summary::Summary;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (720, 420);
const COLOURS: [RGBColor; 6] = [BLUE, RED, GREEN, MAGENTA, BLACK, CYAN];

/// Formats a Markdown table with one row per run.
pub fn table(runs: &[Summary]) -> String {
    let mut text = String::from(
        "| scenario | policy | seed | load | jobs | tasks | p50 | p99 | all p50 | all p99 | other p99 | \
         wasted/1000 | double | partial | lost | failed | refused | cancelled |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for run in runs {
        let key = &run.key;
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} | {:.1} | {} | {} | {} | {} | {} | {} |",
            key.scenario,
            key.policy,
            key.seed,
            key.load,
            run.jobs,
            run.tasks,
            run.ratio_p50,
            run.ratio_p99,
            run.all_p50,
            run.all_p99,
            run.other_p99,
            run.wasted_per_1000,
            run.double_starts,
            run.partial_answers,
            run.lost_answers,
            run.failed.values().sum::<usize>(),
            run.refused.values().sum::<usize>(),
            run.cancelled
        );
    }
    text
}

/// Formats the jobs of a run as CSV, one line per job.
pub fn jobs_csv(run: &Summary) -> String {
    let mut text = String::from("team,at_ms,tasks,ideal_ms,response_ms,ratio,verdict\n");
    for row in &run.rows {
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{},{},{},{},{},{:.3},{:?}",
            row.team,
            row.at.as_millis(),
            row.tasks,
            row.ideal.as_millis(),
            row.outcome.response_time.as_millis(),
            row.ratio(),
            row.outcome.result
        );
    }
    text
}

/// Writes `runs.md`, `ratio.svg`, `waste.svg` and a CSV file with the jobs of each run into an
/// existing directory.
///
/// # Errors
///
/// Fails when a file cannot be written or a plot cannot be drawn.
pub fn write(dir: &Path, runs: &[Summary]) -> Result<(), Error> {
    let file = dir.join("runs.md");
    std::fs::write(&file, table(runs)).map_err(|e| Error::from(e).context(file.display()))?;
    for run in runs {
        let key = &run.key;
        let name = format!("jobs-{}-{}-{}.csv", key.scenario, key.policy, key.load);
        let file = dir.join(name);
        std::fs::write(&file, jobs_csv(run)).map_err(|e| Error::from(e).context(file.display()))?;
    }
    draw_ratio(&dir.join("ratio.svg"), runs).map_err(|e| e.context("ratio.svg"))?;
    draw_waste(&dir.join("waste.svg"), runs).map_err(|e| e.context("waste.svg"))
}

/// Plots the p99 ratio against the load, with one line per scenario and policy.
fn draw_ratio(file: &Path, runs: &[Summary]) -> Result<(), Error> {
    let y_max = runs.iter().map(|r| r.ratio_p99).fold(1.0, f64::max) * 1.1;
    let area = SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(Error::new)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "p99 of response over ideal, jobs up to 100 tasks",
            ("sans-serif", 16),
        )
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..1.0, 0.0..y_max)
        .map_err(Error::new)?;
    chart
        .configure_mesh()
        .x_desc("offered load")
        .y_desc("ratio")
        .draw()
        .map_err(Error::new)?;
    let name = |r: &Summary| format!("{} {}", r.key.scenario, r.key.policy);
    let names: BTreeSet<String> = runs.iter().map(name).collect();
    for (index, series) in names.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let mut points: Vec<(f64, f64)> = runs
            .iter()
            .filter(|r| name(r) == *series)
            .map(|r| (r.key.load, r.ratio_p99))
            .collect();
        points.sort_by(|a, b| a.0.total_cmp(&b.0));
        let dots = points.iter().map(|p| Circle::new(*p, 3, colour.filled()));
        chart.draw_series(dots).map_err(Error::new)?;
        chart
            .draw_series(LineSeries::new(points, &colour))
            .map_err(Error::new)?
            .label(series)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], colour.filled()));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .draw()
        .map_err(Error::new)?;
    area.present().map_err(Error::new)
}

/// Plots the wasted messages per 1,000 tasks as one stacked bar per run.
fn draw_waste(file: &Path, runs: &[Summary]) -> Result<(), Error> {
    let reasons: BTreeSet<&String> = runs.iter().flat_map(|r| r.waste.keys()).collect();
    let reasons: Vec<&String> = reasons.into_iter().collect();
    let value = |run: &Summary, reason: &String| {
        let total: u64 = run.waste.values().sum();
        let count = run.waste.get(reason).copied().unwrap_or(0) as f64;
        if total == 0 {
            return 0.0;
        }
        run.wasted_per_1000 * count / total as f64
    };
    let y_max = runs.iter().map(|r| r.wasted_per_1000).fold(1.0, f64::max) * 1.1;
    let area = SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(Error::new)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "wasted messages for each 1,000 tasks, by run and reason",
            ("sans-serif", 16),
        )
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..runs.len().max(1) as f64, 0.0..y_max)
        .map_err(Error::new)?;
    let label = |x: &f64| {
        runs.get(*x as usize)
            .map(|r| format!("{} {}", r.key.scenario, r.key.policy))
            .unwrap_or_default()
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(runs.len())
        .x_label_formatter(&label)
        .draw()
        .map_err(Error::new)?;
    for (index, reason) in reasons.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let bars = runs.iter().enumerate().map(|(position, run)| {
            let below: f64 = reasons[..index].iter().map(|r| value(run, r)).sum();
            let (left, right) = (position as f64 + 0.2, position as f64 + 0.8);
            Rectangle::new(
                [(left, below), (right, below + value(run, reason))],
                colour.filled(),
            )
        });
        chart
            .draw_series(bars)
            .map_err(Error::new)?
            .label(reason.as_str())
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], colour.filled()));
    }
    if !reasons.is_empty() {
        chart
            .configure_series_labels()
            .border_style(BLACK)
            .draw()
            .map_err(Error::new)?;
    }
    area.present().map_err(Error::new)
}
