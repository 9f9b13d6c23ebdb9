//! Tests of the quickstart's command line and of a whole run.

use clap::Parser as _;

use sassafras_quickstart::Args;
use sassafras_quickstart::run;

/// Guards against a caller API with a public token that other hosts can reach.
#[test]
fn only_loopback_is_served() {
    let parse = |addr: &str| Args::try_parse_from(["sassafras-quickstart", "--serve", addr]);
    for refused in ["0.0.0.0:8080", "192.0.2.1:8080", "[::]:8080"] {
        parse(refused).unwrap_err();
    }
    for served in ["127.0.0.1:8080", "[::1]:8080"] {
        parse(served).unwrap();
    }
}

/// Guards against roles that no longer work together: a whole job must be answered and
/// every role must stop without an error.
#[test]
fn sample_job_is_answered_and_all_roles_stop() {
    let args = Args {
        serve: None,
        log_level: "error".to_owned(),
    };
    sassafras_runtime::block_on(run(&args)).unwrap();
}
