//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Parser;
use clap::ValueEnum;

use crate::driver::Credentials;
use crate::scenario::Scenario;

/// Generates load, compares placement policies and runs micro-benchmarks.
#[derive(Clone, Debug, Parser)]
#[command(version)]
pub struct Args {
    /// Scenario to run: baia-serena, ppgs, one-fails-all, two-slow, wrong-run-times, burst,
    /// cancel-wave, entry-killed or zone-cut.
    #[arg(long, required_unless_present = "measure")]
    pub scenario: Option<Scenario>,
    /// Measurement to run instead of a scenario.
    #[arg(long, conflicts_with = "scenario", requires = "embedded")]
    pub measure: Option<Measure>,
    /// Offered load as a fraction of the total speed of all slots; several values, separated by
    /// commas, give one run each.
    #[arg(long, default_value = "0.7", value_delimiter = ',')]
    pub load: Vec<f64>,
    /// Seed of the random number generator.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Duration of a run or measurement after the warm-up, in seconds.
    #[arg(long, default_value_t = 15)]
    pub seconds: u64,
    /// Duration of the warm-up, whose jobs are not measured, in seconds.
    #[arg(long, default_value_t = 3)]
    pub warmup: u64,
    /// Runs a cluster on threads of this process.
    #[arg(long, conflicts_with_all = ["entries", "standins", "metrics"])]
    pub embedded: bool,
    /// Addresses of the caller APIs of the entries, separated by commas.
    #[arg(long, value_delimiter = ',', required_unless_present = "embedded")]
    pub entries: Vec<SocketAddr>,
    /// Addresses of the stand-ins, separated by commas.
    #[arg(long, value_delimiter = ',', required_unless_present = "embedded")]
    pub standins: Vec<SocketAddr>,
    /// Addresses of the metrics pages of the processes, separated by commas.
    #[arg(long, value_delimiter = ',')]
    pub metrics: Vec<SocketAddr>,
    /// The two teams and their bearer tokens, as TEAM:TOKEN,TEAM:TOKEN.
    #[arg(long, value_delimiter = ',', value_parser = parse_team, default_value = "team-a:team-a-token,team-b:team-b-token")]
    pub teams: Vec<Credentials>,
    /// Placement policies to compare, separated by commas; each runs on a new embedded cluster.
    #[arg(long, value_delimiter = ',', default_value = "expected")]
    pub policies: Vec<String>,
    /// Directory for a Markdown table, CSV files and plots of the runs.
    #[arg(long)]
    pub report: Option<PathBuf>,
    /// Log level of this program and of the embedded roles.
    #[arg(long, default_value = "error")]
    pub log_level: String,
}

/// A measurement.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum Measure {
    /// Response time of one job at a time, without other load.
    Unloaded,
    /// Task starts per second through one entry.
    Starts,
    /// Claims per second and their latency.
    Claims,
    /// Load that agents put on the control group.
    Agents,
}

fn parse_team(text: &str) -> Result<Credentials, String> {
    let (team, token) = text.split_once(':').ok_or("expected TEAM:TOKEN")?;
    Ok(Credentials {
        team: team.to_owned(),
        token: token.to_owned(),
    })
}
