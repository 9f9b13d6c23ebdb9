//! The `sassafras-standin` program.

use std::process::ExitCode;

use sassafras_standin::Settings;
use sassafras_standin::run;

fn main() -> ExitCode {
    sassafras_runtime::main("sassafras-standin", Settings::load, run)
}
