//! Command-line arguments.

use std::net::SocketAddr;

use clap::Parser;

/// Runs all roles in one process on loopback, submits a sample job and prints its results.
#[derive(Clone, Debug, Parser)]
#[command(version)]
pub struct Args {
    /// Serves the caller API on this loopback address until SIGTERM, with team `demo` and
    /// bearer token `demo`.
    #[arg(long, value_name = "ADDR", value_parser = parse_loopback)]
    pub serve: Option<SocketAddr>,
    /// Log level of all roles.
    #[arg(long, default_value = "error")]
    pub log_level: String,
}

/// Parses a loopback address. Others are rejected, since the token of team `demo` is public.
fn parse_loopback(text: &str) -> Result<SocketAddr, String> {
    let addr: SocketAddr = text
        .parse()
        .map_err(|e| format!("{e}; accepted: IP:PORT"))?;
    if addr.ip().is_loopback() {
        Ok(addr)
    } else {
        Err("accepted: a loopback address, since the token of team demo is public".to_owned())
    }
}
