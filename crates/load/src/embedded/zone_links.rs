//! Proxied links between availability zones, which can be partitioned.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use sassafras_proxy::Faults;
use sassafras_proxy::Link;
use sassafras_util::Error;

/// The proxied links of a cluster, each with the two zones whose partition interrupts it.
#[derive(Debug)]
pub(crate) struct ZoneLinks {
    proxied: bool,
    links: Vec<(usize, usize, Link)>,
}

impl ZoneLinks {
    pub(crate) fn new(proxied: bool) -> Self {
        Self {
            proxied,
            links: Vec::new(),
        }
    }

    /// Returns the address through which other zones reach `target` in `zone`.
    pub(crate) async fn inbound(
        &mut self,
        zone: usize,
        target: SocketAddr,
    ) -> Result<SocketAddr, Error> {
        self.add_link(zone, zone, target).await
    }

    /// Returns the address through which zone `from` reaches `target` in zone `to`.
    pub(crate) async fn between(
        &mut self,
        from: usize,
        to: usize,
        target: SocketAddr,
    ) -> Result<SocketAddr, Error> {
        if from == to {
            return Ok(target);
        }
        self.add_link(from, to, target).await
    }

    async fn add_link(
        &mut self,
        from: usize,
        to: usize,
        target: SocketAddr,
    ) -> Result<SocketAddr, Error> {
        if !self.proxied {
            return Ok(target);
        }
        let ephemeral = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let link = Link::start(ephemeral, target, self.links.len() as u64).await?;
        let addr = link.addr();
        self.links.push((from, to, link));
        Ok(addr)
    }

    /// Blocks all traffic between a zone and the others, or forwards it again.
    pub(crate) fn set_partitioned(&self, zone: usize, partitioned: bool) {
        let faults = if partitioned {
            Faults::partition()
        } else {
            Faults::default()
        };
        for (from, to, link) in &self.links {
            if *from == zone || *to == zone {
                link.set_faults(faults);
            }
        }
    }
}
