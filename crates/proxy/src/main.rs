//! The `sassafras-proxy` program.

use std::process::ExitCode;

use sassafras_proxy::Settings;
use sassafras_proxy::run;

fn main() -> ExitCode {
    sassafras_runtime::main("sassafras-proxy", Settings::load, run)
}
