//! The `sassafrasctl` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut out = std::io::stdout().lock();
    let mut err = std::io::stderr();
    sassafras_ctl::run(std::env::args_os(), &mut out, &mut err).into()
}
