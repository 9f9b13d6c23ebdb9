//! Picks free ports on loopback.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;

use sassafras_util::Error;
use sassafras_util::random_u64;

/// Below the range from which systems commonly take the ports of outgoing connections, so
/// that no connection takes a port between the check and its use.
const RANGE: std::ops::Range<u16> = 10_000..32_000;

/// Hands out free ports, each once.
#[derive(Debug)]
pub(crate) struct Ports {
    next: u16,
    left: usize,
}

impl Ports {
    pub(crate) fn new() -> Self {
        let span = u64::from(RANGE.end - RANGE.start);
        Self {
            next: RANGE.start + (random_u64() % span) as u16,
            left: RANGE.len(),
        }
    }

    pub(crate) fn next(&mut self) -> Result<SocketAddr, Error> {
        while self.left > 0 {
            self.left -= 1;
            let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, self.next));
            self.next += 1;
            if self.next == RANGE.end {
                self.next = RANGE.start;
            }
            if TcpListener::bind(addr).is_ok() {
                return Ok(addr);
            }
        }
        Err(Error::new("no free port on loopback"))
    }
}
