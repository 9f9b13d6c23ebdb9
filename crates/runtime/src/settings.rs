//! Settings common to all processes.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;

use sassafras_config::IniDoc;
use sassafras_util::Error;
use sassafras_util::Name;
use sassafras_wire::ClusterKey;

/// Minimum length of a cluster key.
const MIN_KEY_BYTES: usize = 16;

/// Settings common to all processes.
#[derive(Clone, Debug)]
pub struct CommonSettings {
    /// Name of the node, unique in the cluster.
    pub name: Name,
    /// Availability zone of the node.
    pub zone: Name,
    /// Address on which the node accepts links.
    pub listen: SocketAddr,
    /// Address announced to peers. Differs from `listen` behind a proxy.
    pub advertise: SocketAddr,
    /// Names and addresses of the control members.
    pub control: Vec<(Name, SocketAddr)>,
    /// Shared key of the cluster.
    pub key: ClusterKey,
    /// Minimum level of logged events.
    pub level: slog::Level,
    /// Address of the metrics page, if it is enabled.
    pub metrics: Option<SocketAddr>,
}

impl CommonSettings {
    /// Takes the sections `[node]`, `[cluster]`, `[log]` and `[metrics]`.
    ///
    /// # Errors
    ///
    /// The error names the file, line and key of the first invalid setting, and the accepted
    /// values.
    pub fn load(doc: &mut IniDoc) -> Result<Self, Error> {
        let name = doc.take("node", "name", NAME_FORMAT, Name::checked)?;
        let zone = doc.take("node", "zone", NAME_FORMAT, Name::checked)?;
        let listen = doc.take("node", "listen", ADDR_FORMAT, parse_addr)?;
        let advertise = doc.take_or("node", "advertise", ADDR_FORMAT, listen, parse_addr)?;
        let control = take_control_members(doc)?;
        let level = doc.take_or("log", "level", LEVEL_FORMAT, slog::Level::Info, |t| {
            t.parse().ok()
        })?;
        let metrics = doc.take_optional("metrics", "listen", ADDR_FORMAT, parse_addr)?;
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

const NAME_FORMAT: &str = "1 to 128 characters of A-Z a-z 0-9 . _ -";
const ADDR_FORMAT: &str = "IP address and port, such as 127.0.0.1:7000";
const CONTROL_FORMAT: &str = "name@IP:PORT of each control member, separated by commas";
const SEEDS_FORMAT: &str =
    "IP or IP:PORT of control hosts, separated by commas; the ports are not used";
const LEVEL_FORMAT: &str = "critical, error, warning, info, debug or trace";

/// Parses an IP address and port.
pub fn parse_addr(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Takes the control members from `[cluster] control`, or from `[cluster] seeds` and
/// `[cluster] control_port`.
///
/// The seeds are the hosts of some of the members. A member given as a seed is named after the
/// IP address of its host.
///
/// # Errors
///
/// Fails if a required key is missing or malformed.
pub fn take_control_members(doc: &mut IniDoc) -> Result<Vec<(Name, SocketAddr)>, Error> {
    let seeds = doc.take_optional("cluster", "seeds", SEEDS_FORMAT, parse_seeds)?;
    let Some(seeds) = seeds else {
        return doc.take("cluster", "control", CONTROL_FORMAT, parse_control);
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
/// Fails if the key is missing, or if the file cannot be read or is too short.
pub fn take_cluster_key(doc: &mut IniDoc) -> Result<ClusterKey, Error> {
    let path = doc.take("cluster", "key_file", "path of a file", |t| {
        Some(PathBuf::from(t))
    })?;
    read_key(&path).map_err(|reason| {
        let reason = format!("{}: {reason}", path.display());
        doc.key_error("cluster", "key_file", &reason)
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
