//! Links between availability zones that can be cut.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use sassafras_proxy::Faults;
use sassafras_proxy::Link;
use sassafras_util::Error;

/// The proxied links of a cluster, by the zone that a cut isolates with them.
#[derive(Debug)]
pub(crate) struct Zones {
    proxied: bool,
    links: Vec<(usize, usize, Link)>,
}

impl Zones {
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
        self.link(zone, zone, target).await
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
        self.link(from, to, target).await
    }

    async fn link(
        &mut self,
        from: usize,
        to: usize,
        target: SocketAddr,
    ) -> Result<SocketAddr, Error> {
        if !self.proxied {
            return Ok(target);
        }
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let link = Link::start(any, target, self.links.len() as u64).await?;
        let addr = link.addr();
        self.links.push((from, to, link));
        Ok(addr)
    }

    /// Holds back everything between a zone and the others, or lets it through again.
    pub(crate) fn cut(&self, zone: usize, cut: bool) {
        let faults = if cut {
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
