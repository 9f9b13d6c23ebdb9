//! The entry process.

use std::process::ExitCode;

use sassafras_entry::Settings;

fn main() -> ExitCode {
    sassafras_runtime::main("sassafras-entry", Settings::load, sassafras_entry::run)
}
