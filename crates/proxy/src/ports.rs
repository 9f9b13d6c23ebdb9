//! Allocates loopback ports for processes whose addresses must be known before they start.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::ops::Range;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

use sassafras_util::random_u64;

/// Lies below the usual ephemeral port range, so that no outgoing connection takes a port between
/// the check and its use.
const PORT_RANGE: Range<u16> = 10_000..32_000;

/// Returns a loopback address on which nothing listens, and which this process has not allocated
/// before.
pub fn free_addr() -> SocketAddr {
    static FIRST_OFFSET: OnceLock<u16> = OnceLock::new();
    static ALLOCATED: AtomicU16 = AtomicU16::new(0);
    // A random start keeps concurrent test processes from choosing the same ports.
    let first = *FIRST_OFFSET.get_or_init(|| (random_u64() % PORT_RANGE.len() as u64) as u16);
    loop {
        let offset = first.wrapping_add(ALLOCATED.fetch_add(1, Ordering::Relaxed));
        let port = PORT_RANGE.start + offset % PORT_RANGE.len() as u16;
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}
