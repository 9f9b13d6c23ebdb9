//! Execution of the command-line arguments.

use sassafras_util::Error;

use crate::args::Args;
use crate::args::Measure;
use crate::http_client::HttpClient;
use crate::measure;
use crate::report;
use crate::run::RunOptions;
use crate::run::Target;
use crate::run::run;
use crate::run::run_embedded;
use crate::summary::Summary;

/// Runs the selected scenario or measurement and prints its metrics, one line per run.
///
/// # Errors
///
/// Fails when the target cannot be reached or started, the measurement fails or a report cannot
/// be written.
pub async fn execute(args: &Args) -> Result<(), Error> {
    let level = args.log_level.parse();
    let level =
        level.map_err(|()| Error::new(format!("unknown log level {:?}", args.log_level)))?;
    let log = sassafras_runtime::logger(level, "sassafras-load");
    if let Some(kind) = args.measure {
        return match kind {
            Measure::Unloaded => measure::unloaded(args.seconds, &log).await,
            Measure::Starts => measure::starts(args.seconds, &log).await,
            Measure::Claims => measure::claims(args.seconds, &log).await,
            Measure::Agents => measure::agents(args.seconds, &log).await,
        };
    }
    let Some(scenario) = &args.scenario else {
        return Ok(());
    };
    let mut runs = Vec::new();
    for load in &args.load {
        let options = RunOptions {
            scenario: scenario.clone(),
            load: *load,
            seed: args.seed,
            seconds: args.seconds,
            warmup: args.warmup,
            log_level: args.log_level.clone(),
        };
        if args.embedded {
            for policy in &args.policies {
                runs.push(print_summary(run_embedded(&options, policy, &log).await?));
            }
        } else {
            runs.push(print_summary(
                run(&options, &external_target(args), &mut None).await?,
            ));
        }
    }
    if runs.len() > 1 {
        println!("{}", report::table(&runs));
    }
    if let Some(dir) = &args.report {
        std::fs::create_dir_all(dir).map_err(|e| Error::from(e).context(dir.display()))?;
        report::write(dir, &runs)?;
    }
    Ok(())
}

fn print_summary(summary: Summary) -> Summary {
    println!("{summary}");
    summary
}

fn external_target(args: &Args) -> Target {
    let callers =
        |addrs: &[std::net::SocketAddr]| addrs.iter().map(|a| HttpClient::new(*a)).collect();
    Target {
        entries: callers(&args.entries),
        standins: callers(&args.standins),
        metrics: callers(&args.metrics),
        teams: args.teams.clone(),
        policy: "-".to_owned(),
    }
}
