//! The `sassafras-quickstart` program.

use std::process::ExitCode;

use clap::Parser as _;

use sassafras_quickstart::Args;

fn main() -> ExitCode {
    let args = Args::parse();
    match sassafras_runtime::block_on(sassafras_quickstart::run(&args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("program=sassafras-quickstart error={:?}", e.to_string());
            ExitCode::FAILURE
        }
    }
}
