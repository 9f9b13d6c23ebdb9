//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Parser;
use clap::ValueEnum;

use crate::driver::Credentials;
use crate::scenario::Scenario;

/// Generates load, compares placement policies and measures single figures.
#[derive(Clone, Debug, Parser)]
#[command(version)]
pub struct Args {
    /// The scenario: baia-serena, ppgs, one-fails-all, two-slow, wrong-run-times, burst,
    /// cancel-wave, entry-killed or zone-cut.
    #[arg(long, required_unless_present = "measure")]
    pub scenario: Option<Scenario>,
    /// Measures a single figure instead.
    #[arg(long, conflicts_with = "scenario", requires = "embedded")]
    pub measure: Option<Measure>,
    /// Offered work as shares of the total speed of all slots, separated by commas.
    #[arg(long, default_value = "0.7", value_delimiter = ',')]
    pub load: Vec<f64>,
    /// Start of the random numbers.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Length of the counted part of a run.
    #[arg(long, default_value_t = 15)]
    pub seconds: u64,
    /// Length of the part before it that only warms up.
    #[arg(long, default_value_t = 3)]
    pub warmup: u64,
    /// Runs all roles on threads of this process.
    #[arg(long, conflicts_with_all = ["entries", "standins", "metrics"])]
    pub embedded: bool,
    /// Caller API of each entry.
    #[arg(long, value_delimiter = ',', required_unless_present = "embedded")]
    pub entries: Vec<SocketAddr>,
    /// Address of each stand-in.
    #[arg(long, value_delimiter = ',', required_unless_present = "embedded")]
    pub standins: Vec<SocketAddr>,
    /// Metrics page of each process.
    #[arg(long, value_delimiter = ',')]
    pub metrics: Vec<SocketAddr>,
    /// The two teams and their bearer tokens, as TEAM:TOKEN.
    #[arg(long, value_delimiter = ',', value_parser = parse_team, default_value = "team-a:team-a-token,team-b:team-b-token")]
    pub teams: Vec<Credentials>,
    /// Placement policies to compare; each gets a cluster of its own.
    #[arg(long, value_delimiter = ',', default_value = "expected")]
    pub policies: Vec<String>,
    /// Folder for a markdown table and plots.
    #[arg(long)]
    pub report: Option<PathBuf>,
    /// Log level of the embedded roles.
    #[arg(long, default_value = "error")]
    pub log_level: String,
}

/// A single figure.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum Measure {
    /// Response time of one job at a time.
    Unloaded,
    /// Task starts a second through one entry.
    Starts,
    /// Claims a second and their latency.
    Claims,
    /// What agents cost control.
    Agents,
}

fn parse_team(text: &str) -> Result<Credentials, String> {
    let (team, token) = text.split_once(':').ok_or("accepted: TEAM:TOKEN")?;
    Ok(Credentials {
        team: team.to_owned(),
        token: token.to_owned(),
    })
}
