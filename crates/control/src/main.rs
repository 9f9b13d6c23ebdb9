//! The control process.

use std::process::ExitCode;

use sassafras_control::Settings;

fn main() -> ExitCode {
    sassafras_runtime::main("sassafras-control", Settings::load, sassafras_control::run)
}
