//! The HTTP resource where the endpoint announces itself.

use std::net::SocketAddr;

use salvo::Depot;
use salvo::Handler;
use salvo::Listener as _;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::Server;
use salvo::async_trait;
use salvo::conn::Acceptor as _;
use salvo::conn::TcpListener;
use salvo::http::StatusCode;
use salvo::prelude::FlowCtrl;
use salvo::writing::Text;
use serde::Deserialize;
use tokio::sync::mpsc;

use sassafras_util::Error;
use sassafras_util::Name;

/// Largest announcement, in bytes.
const MAX_BODY: usize = 64 * 1024;
/// Most slots and connections that an endpoint may announce.
const MAX_COUNT: u32 = 100_000;

/// What an endpoint announces about itself.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Announcement {
    /// Where the endpoint accepts tasks.
    pub address: SocketAddr,
    /// Path of the task resource.
    pub path: String,
    /// Tasks that may run at a time.
    pub slots: u32,
    /// Connections that may be open at a time.
    pub connections: u32,
    /// Cores of the host.
    #[serde(default)]
    pub cores: u32,
    /// Memory of the host in MiB.
    #[serde(default)]
    pub memory_mb: u64,
    /// Accelerators of the host.
    #[serde(default)]
    pub accelerators: u32,
    /// Rack of the host.
    #[serde(default)]
    pub rack: String,
    /// Kinds of task that the endpoint runs; empty accepts every kind.
    #[serde(default)]
    pub kinds: Vec<String>,
    /// Whether the endpoint takes new tasks.
    pub state: EndpointState,
    /// Whether running tasks can be checkpointed.
    #[serde(default)]
    pub checkpoint: bool,
    /// Whether running tasks can be throttled.
    #[serde(default)]
    pub throttle: bool,
    /// Whether running tasks can be stopped.
    #[serde(default)]
    pub stop: bool,
}

/// Whether an endpoint takes new tasks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    /// It takes new tasks.
    Active,
    /// It finishes what runs and takes nothing new.
    Leaving,
}

impl Announcement {
    /// Parses the body of an announcement.
    ///
    /// # Errors
    ///
    /// Names the field that is missing or out of range.
    pub fn parse(body: &[u8]) -> Result<Self, Error> {
        let parsed: Self = serde_json::from_slice(body).map_err(Error::new)?;
        let counts = [("slots", parsed.slots), ("connections", parsed.connections)];
        if let Some((name, _)) = counts.iter().find(|(_, n)| !(1..=MAX_COUNT).contains(n)) {
            return Err(Error::new(format!("{name}: accepted: 1 to {MAX_COUNT}")));
        }
        let path = &parsed.path;
        if !path.starts_with('/') || path.ends_with('/') || path.parse::<hyper::Uri>().is_err() {
            return Err(Error::new(
                "path: accepted: an absolute path such as /tasks",
            ));
        }
        if parsed.kinds.iter().any(|k| Name::checked(k).is_none()) {
            return Err(Error::new("kinds: accepted: names of kinds of task"));
        }
        Ok(parsed)
    }

    /// Returns the number of tasks that may run at a time; each needs a connection.
    pub fn capacity(&self) -> u32 {
        self.slots.min(self.connections)
    }
}

struct Accept(mpsc::Sender<Announcement>);

#[async_trait]
impl Handler for Accept {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let body = match req.payload_with_max_size(MAX_BODY).await {
            Ok(body) => body,
            Err(e) => return refuse(res, &Error::new(e)),
        };
        match Announcement::parse(body) {
            Ok(announcement) => {
                if self.0.send(announcement).await.is_err() {
                    res.status_code(StatusCode::SERVICE_UNAVAILABLE);
                } else {
                    res.status_code(StatusCode::NO_CONTENT);
                }
            }
            Err(e) => refuse(res, &e),
        }
    }
}

fn refuse(res: &mut Response, e: &Error) {
    metrics::counter!("agent_announcements_refused").increment(1);
    res.status_code(StatusCode::BAD_REQUEST);
    res.render(Text::Plain(e.to_string()));
}

/// Serves `PUT /v1/endpoint` on `addr` in the background.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub(crate) async fn serve(
    addr: SocketAddr,
    announcements: mpsc::Sender<Announcement>,
) -> Result<SocketAddr, Error> {
    let acceptor = TcpListener::new(addr)
        .try_bind()
        .await
        .map_err(|e| Error::new(e).context(format!("endpoint listener {addr}")))?;
    let bound = acceptor
        .holdings()
        .first()
        .and_then(|h| h.local_addr.clone().into_std())
        .unwrap_or(addr);
    let router = Router::with_path("v1/endpoint").put(Accept(announcements));
    tokio::spawn(Server::new(acceptor).serve(router));
    Ok(bound)
}
