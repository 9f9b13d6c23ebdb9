//! Settings that every process has.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;

use sassafras_config::IniDoc;
use sassafras_util::Error;
use sassafras_util::Name;
use sassafras_wire::ClusterKey;

/// Shortest accepted cluster key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// Settings that every process has.
#[derive(Clone, Debug)]
pub struct CommonSettings {
    /// The node's name, unique in the cluster.
    pub name: Name,
    /// The availability zone of the node.
    pub zone: Name,
    /// Where peers connect to this node.
    pub listen: SocketAddr,
    /// The address that this node tells its peers; differs from `listen` behind a proxy.
    pub advertise: SocketAddr,
    /// The control members, by name.
    pub control: Vec<(Name, SocketAddr)>,
    /// The key that the cluster's processes share.
    pub key: ClusterKey,
    /// Events below this level are not logged.
    pub level: slog::Level,
    /// Where the metrics page is served, if anywhere.
    pub metrics: Option<SocketAddr>,
}

impl CommonSettings {
    /// Takes the sections `[node]`, `[cluster]`, `[log]` and `[metrics]`.
    ///
    /// # Errors
    ///
    /// Names the file, line and key of the first fault, and what is accepted.
    pub fn load(doc: &mut IniDoc) -> Result<Self, Error> {
        let name = doc.take("node", "name", NAME, Name::checked)?;
        let zone = doc.take("node", "zone", NAME, Name::checked)?;
        let listen = doc.take("node", "listen", ADDR, parse_addr)?;
        let advertise = doc.take_or("node", "advertise", ADDR, listen, parse_addr)?;
        let control = take_control_members(doc)?;
        let level = doc.take_or("log", "level", LEVELS, slog::Level::Info, |t| {
            t.parse().ok()
        })?;
        let metrics = doc.take_optional("metrics", "listen", ADDR, parse_addr)?;
        let key = take_cluster_key(doc)?;
        Ok(Self {
            name,
            zone,
            listen,
            advertise,
            control,
            key,
            level,
            metrics,
        })
    }
}

const NAME: &str = "1 to 128 characters of A-Z a-z 0-9 . _ -";
const ADDR: &str = "IP address and port, such as 127.0.0.1:7000";
const CONTROL: &str = "name@IP:PORT of each control member, separated by commas";
const SEEDS: &str = "IP or IP:PORT of control hosts, separated by commas; the ports are not used";
const LEVELS: &str = "critical, error, warning, info, debug or trace";

/// Parses an IP address and port.
pub fn parse_addr(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Takes the control members, `[cluster] control`, or the hosts of some of them,
/// `[cluster] seeds` with `[cluster] control_port`. Members known by their hosts are named
/// after the hosts' addresses.
///
/// # Errors
///
/// Fails when the keys are missing or malformed.
pub fn take_control_members(doc: &mut IniDoc) -> Result<Vec<(Name, SocketAddr)>, Error> {
    let seeds = doc.take_optional("cluster", "seeds", SEEDS, parse_seeds)?;
    let Some(seeds) = seeds else {
        return doc.take("cluster", "control", CONTROL, parse_control);
    };
    let port = doc.take("cluster", "control_port", "1 to 65535", |t| {
        t.parse().ok().filter(|port| *port > 0)
    })?;
    let member = |ip: IpAddr| (Name::from(ip.to_string()), SocketAddr::new(ip, port));
    Ok(seeds.into_iter().map(member).collect())
}

/// Takes `[cluster] key_file` and reads the cluster key from it.
///
/// # Errors
///
/// Fails when the key is missing, or when the file cannot be read or holds too few bytes.
pub fn take_cluster_key(doc: &mut IniDoc) -> Result<ClusterKey, Error> {
    let path = doc.take("cluster", "key_file", "path of a file", |t| {
        Some(PathBuf::from(t))
    })?;
    read_key(&path).map_err(|reason| {
        let reason = format!("{}: {reason}", path.display());
        doc.contradiction("cluster", "key_file", &reason)
    })
}

fn parse_control(text: &str) -> Option<Vec<(Name, SocketAddr)>> {
    let parse = |part: &str| {
        let (name, addr) = part.trim().split_once('@')?;
        Some((Name::checked(name)?, parse_addr(addr)?))
    };
    text.split(',').map(parse).collect()
}

fn parse_seeds(text: &str) -> Option<Vec<IpAddr>> {
    let parse = |part: &str| {
        let part = part.trim();
        let ip = part.parse().ok();
        ip.or_else(|| parse_addr(part).map(|addr| addr.ip()))
    };
    text.split(',').map(parse).collect()
}

fn read_key(path: &std::path::Path) -> Result<ClusterKey, String> {
    let bytes = std::fs::read(path).map_err(|e| e.to_string())?;
    let key = bytes.trim_ascii();
    if key.len() < MIN_KEY_BYTES {
        return Err(format!("the key has fewer than {MIN_KEY_BYTES} bytes"));
    }
    Ok(ClusterKey::new(key))
}
