//! Entry point of the `sassafras-load` program.

use std::process::ExitCode;

use clap::Parser as _;

use sassafras_load::Args;

fn main() -> ExitCode {
    let args = Args::parse();
    match sassafras_runtime::block_on(sassafras_load::execute(&args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("program=sassafras-load error={:?}", e.to_string());
            ExitCode::FAILURE
        }
    }
}
