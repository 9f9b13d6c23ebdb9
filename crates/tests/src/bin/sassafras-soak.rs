//! Injects random faults into clusters of real processes.

use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;

use sassafras_tests::run_isolated;
use sassafras_tests::soak;

/// Executes one plan of random faults per seed and prints one line of key=value pairs per seed to
/// stdout.
#[derive(Debug, Parser)]
struct Args {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// Seconds during which faults start.
    #[arg(long, default_value_t = 15)]
    seconds: u64,
    /// Prints the plans without running them.
    #[arg(long)]
    plan: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let length = Duration::from_secs(args.seconds);
    let mut failed = 0;
    for seed in args.seed..args.seed + args.runs {
        if args.plan {
            println!("seed={seed} plan={:?}", soak::plan(seed, length));
            continue;
        }
        let result = run_isolated(move || soak::run(seed, length));
        match &result {
            Ok(()) => println!("seed={seed} result=pass"),
            Err(e) => println!("seed={seed} result=fail detail={e:?}"),
        }
        failed += u64::from(result.is_err());
    }
    println!("runs={} failed={failed}", args.runs);
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
