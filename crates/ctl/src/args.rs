//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Args as ClapArgs;
use clap::Parser;
use clap::Subcommand;
use clap_complete::Shell;

use sassafras_util::Name;

/// Operates a sassafraslever cluster.
///
/// Exit codes: 0 done, 1 failed, 2 usage, 3 conflict, 4 unavailable.
#[derive(Debug, Parser)]
#[command(name = "sassafrasctl", version)]
pub(crate) struct Args {
    /// Settings file (INI) with `[operator]` and `[cluster]`.
    #[arg(
        long,
        global = true,
        value_name = "FILE",
        env = "SASSAFRASCTL_SETTINGS"
    )]
    pub(crate) settings: Option<PathBuf>,
    /// Prints JSON for scripts instead of text.
    #[arg(long, global = true)]
    pub(crate) json: bool,
    /// Time-out of a request to the control group, in milliseconds.
    #[arg(long, global = true, value_name = "N", default_value = "5000", value_parser = parse_ms)]
    pub(crate) timeout_ms: Duration,
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Asks for a team's requirements, or checks a file of answers.
    Questionnaire {
        /// Checks this file of answers instead of asking.
        #[arg(long, value_name = "FILE", conflicts_with = "out")]
        answers: Option<PathBuf>,
        /// Writes the answers to this file instead of standard output.
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Generates declarations of teams from their answers.
    Generate {
        /// Files of answers, one for each team.
        #[arg(long, value_name = "FILE", required = true, num_args = 1..)]
        answers: Vec<PathBuf>,
        /// Folder of declarations; files `team/NAME.ini` are written below it.
        #[arg(long, value_name = "DIR")]
        out: PathBuf,
    },
    /// Shows how a folder of declarations differs from the configuration in force.
    Plan {
        /// Folder of declarations.
        dir: PathBuf,
    },
    /// Applies a folder of declarations and waits until all nodes report the new version.
    Apply(ApplyArgs),
    /// Shows the control group, the nodes and the items in force.
    Status,
    /// Shows the audit trail.
    Audit {
        /// Shows only records with an index above this one.
        #[arg(long, value_name = "INDEX", default_value_t = 0)]
        after: u64,
        /// Shows at most this many records.
        #[arg(long, value_name = "N", default_value_t = 1000)]
        limit: u32,
    },
    /// Drains a node: it finishes its running work and accepts no new work.
    Drain(NodeArgs),
    /// Pauses a node: it accepts no work until `resume`.
    Pause(NodeArgs),
    /// Returns a paused or draining node to service.
    Resume(NodeArgs),
    /// Evacuates an availability zone: no task starts there until `restore`.
    Evacuate(ZoneArgs),
    /// Takes an evacuated availability zone back.
    Restore(ZoneArgs),
    /// Generates a random token and prints it with its SHA-256.
    Token,
    /// Changes the members of the control group.
    Member {
        #[command(subcommand)]
        change: MemberCommand,
    },
    /// Prints the completion script of a shell.
    Completions {
        /// Shell to print the script for.
        shell: Shell,
    },
}

#[derive(ClapArgs, Debug)]
pub(crate) struct ApplyArgs {
    /// Folder of declarations.
    pub(crate) dir: PathBuf,
    /// Version that the change is based on, as shown by `plan`; the version in force if not given.
    #[arg(long, value_name = "VERSION")]
    pub(crate) base: Option<u64>,
    /// Identifies the change; resending it with the same folder and id has no further effect.
    #[arg(long, value_name = "ID", value_parser = parse_name)]
    pub(crate) request_id: Option<Name>,
    /// Time to wait for all nodes to report the version, in milliseconds; 0 does not wait.
    #[arg(long, value_name = "N", default_value = "10000", value_parser = parse_ms)]
    pub(crate) wait_ms: Duration,
}

#[derive(ClapArgs, Debug)]
pub(crate) struct NodeArgs {
    /// Name of the node.
    #[arg(value_parser = parse_name)]
    pub(crate) node: Name,
    /// Identifies the command; resending it with the same id has no further effect.
    #[arg(long, value_name = "ID", value_parser = parse_name)]
    pub(crate) request_id: Option<Name>,
}

#[derive(ClapArgs, Debug)]
pub(crate) struct ZoneArgs {
    /// Name of the availability zone.
    #[arg(value_parser = parse_name)]
    pub(crate) zone: Name,
}

#[derive(Debug, Subcommand)]
pub(crate) enum MemberCommand {
    /// Adds a member as a learner: it replicates the log and has no vote.
    Add {
        /// Name of the member.
        #[arg(value_parser = parse_name)]
        name: Name,
        /// Address at which peers connect to the member.
        address: SocketAddr,
    },
    /// Promotes a learner to a voter.
    Promote {
        /// Name of the member.
        #[arg(value_parser = parse_name)]
        name: Name,
    },
    /// Removes a member.
    Remove {
        /// Name of the member.
        #[arg(value_parser = parse_name)]
        name: Name,
    },
}

fn parse_name(text: &str) -> Result<Name, String> {
    Name::checked(text).ok_or_else(|| "accepted: 1 to 128 characters of A-Z a-z 0-9 . _ -".into())
}

fn parse_ms(text: &str) -> Result<Duration, String> {
    let ms: u64 = text.parse().map_err(|e| format!("{e}"))?;
    Ok(Duration::from_millis(ms))
}
