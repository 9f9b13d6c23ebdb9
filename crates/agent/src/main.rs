//! The `sassafras-agent` program.

use std::process::ExitCode;

use sassafras_agent::Settings;
use sassafras_agent::run;

fn main() -> ExitCode {
    sassafras_runtime::main("sassafras-agent", Settings::load, run)
}
