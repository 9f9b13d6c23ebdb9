//! Tests of the command-line arguments and of a complete run.

use clap::Parser as _;

use sassafras_quickstart::Args;
use sassafras_quickstart::run;

/// Guards against a caller API with a public token that is reachable from other hosts.
#[test]
fn only_loopback_addresses_are_accepted() {
    let parse = |addr: &str| Args::try_parse_from(["sassafras-quickstart", "--serve", addr]);
    for rejected in ["0.0.0.0:8080", "192.0.2.1:8080", "[::]:8080"] {
        parse(rejected).unwrap_err();
    }
    for accepted in ["127.0.0.1:8080", "[::1]:8080"] {
        parse(accepted).unwrap();
    }
}

/// Guards against incompatible roles: the sample job must complete, and every role must stop
/// without an error.
#[test]
fn sample_job_completes_and_all_roles_stop() {
    let args = Args {
        serve: None,
        log_level: "error".to_owned(),
    };
    sassafras_runtime::block_on(run(&args)).unwrap();
}
