//! Free ports on loopback, for processes whose address others must know before they start.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::ops::Range;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

use sassafras_util::random_u64;

/// Below the range from which systems commonly take the ports of outgoing connections, so
/// that no connection takes a port between the check and its use.
const PORTS: Range<u16> = 10_000..32_000;

/// Returns an address that nothing listens on, and that this process was not given before.
pub fn free_addr() -> SocketAddr {
    static FIRST: OnceLock<u16> = OnceLock::new();
    static COUNT: AtomicU16 = AtomicU16::new(0);
    // Test processes that run at the same time start at different ports.
    let first = *FIRST.get_or_init(|| (random_u64() % PORTS.len() as u64) as u16);
    loop {
        let offset = first.wrapping_add(COUNT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + offset % PORTS.len() as u16;
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}
