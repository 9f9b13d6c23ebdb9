//! Runs the fault matrix and writes the results as a table.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use clap::Parser;

use sassafras_tests::matrix::Cell;
use sassafras_tests::matrix::CellResult;
use sassafras_tests::matrix::cells;
use sassafras_tests::matrix::run_cells;

/// Runs the fault matrix and prints one line of key=value pairs per cell to stdout.
#[derive(Debug, Parser)]
struct Args {
    /// Seed of the run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Runs only cells whose description contains this text, such as fault=Kill.
    #[arg(long, default_value = "")]
    only: String,
    /// Runs every n-th of the selected cells.
    #[arg(long, default_value_t = 1)]
    every: usize,
    /// Starts no cell after this many minutes.
    #[arg(long, default_value_t = 600)]
    minutes: u64,
    /// Clusters that run concurrently, at most 3.
    #[arg(long, default_value_t = 3)]
    parallel: usize,
    /// Writes the table to this file.
    #[arg(long)]
    table: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let all = cells();
    let chosen: Vec<Cell> = all
        .iter()
        .filter(|c| c.exclusion_reason().is_none() && c.to_string().contains(&args.only))
        .step_by(args.every.max(1))
        .copied()
        .collect();
    let end = Instant::now() + Duration::from_secs(args.minutes * 60);
    let results = Mutex::new(Vec::<CellResult>::new());
    let done = |result: CellResult| {
        println!("{result}");
        lock(&results).push(result);
    };
    run_cells(
        &chosen,
        args.seed,
        args.parallel,
        || Instant::now() < end,
        done,
    );
    let results = lock(&results);
    let failed = results.iter().filter(|r| r.failure.is_some()).count();
    println!(
        "seed={} chosen={} run={} failed={failed}",
        args.seed,
        chosen.len(),
        results.len()
    );
    if let Some(file) = &args.table
        && let Err(e) = std::fs::write(file, table(&all, &results))
    {
        eprintln!("{}: {e}", file.display());
        return ExitCode::FAILURE;
    }
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Returns one row per step and target, with a column per fault.
fn table(all: &[Cell], results: &[CellResult]) -> String {
    let mut rows = BTreeMap::<(usize, String), Vec<(String, &str)>>::new();
    let mut steps = Vec::new();
    for cell in all {
        if !steps.contains(&cell.step) {
            steps.push(cell.step);
        }
        let result = results.iter().find(|r| r.cell == *cell);
        let text = match (cell.exclusion_reason(), result) {
            (Some(_), _) => "-",
            (None, None) => "not run",
            (None, Some(r)) if r.failure.is_none() => "pass",
            (None, Some(_)) => "**fail**",
        };
        let row = format!("{:?} | {:?}", cell.step, cell.target);
        let columns = rows.entry((steps.len(), row)).or_default();
        columns.push((format!("{:?}", cell.fault), text));
    }
    rows.retain(|_, columns| columns.iter().any(|(_, text)| *text != "-"));
    let mut out = String::new();
    if let Some(columns) = rows.values().next() {
        let faults: Vec<&str> = columns.iter().map(|(f, _)| f.as_str()).collect();
        // Writing to a string cannot fail.
        let _ = writeln!(out, "| step | target | {} |", faults.join(" | "));
        let _ = writeln!(out, "|{}", "---|".repeat(faults.len() + 2));
    }
    for ((_, row), columns) in &rows {
        let texts: Vec<&str> = columns.iter().map(|(_, t)| *t).collect();
        // Writing to a string cannot fail.
        let _ = writeln!(out, "| {row} | {} |", texts.join(" | "));
    }
    out
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
