//! HTTP resource that receives the endpoint's announcements.

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
use tokio::sync::oneshot;

use sassafras_util::Error;
use sassafras_util::Name;

/// Maximum size of an announcement.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum number of slots and of connections that an endpoint may announce.
const MAX_COUNT: u32 = 100_000;

/// An endpoint's announcement of its address, capacity and features.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Announcement {
    /// Address at which the endpoint accepts tasks.
    pub address: SocketAddr,
    /// Path of the task resource.
    pub path: String,
    /// Maximum number of tasks running at a time.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
    /// CPU cores of the host.
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
    /// Kinds of task that the endpoint runs. If empty, it runs every kind.
    #[serde(default)]
    pub kinds: Vec<String>,
    /// Whether the endpoint accepts new tasks.
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

/// Whether an endpoint accepts new tasks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    /// The endpoint accepts new tasks.
    Active,
    /// The endpoint finishes its running tasks and accepts no new ones.
    Leaving,
}

impl Announcement {
    /// Parses the body of an announcement.
    ///
    /// # Errors
    ///
    /// Returns an error that names the missing or invalid field.
    pub fn parse(body: &[u8]) -> Result<Self, Error> {
        let parsed: Self = serde_json::from_slice(body).map_err(Error::new)?;
        let counts = [("slots", parsed.slots), ("connections", parsed.connections)];
        if let Some((name, _)) = counts.iter().find(|(_, n)| !(1..=MAX_COUNT).contains(n)) {
            return Err(Error::new(format!(
                "{name}: must be between 1 and {MAX_COUNT}"
            )));
        }
        let path = &parsed.path;
        if !path.starts_with('/') || path.ends_with('/') || path.parse::<hyper::Uri>().is_err() {
            return Err(Error::new(
                "path: must be an absolute path without a trailing slash, such as /tasks",
            ));
        }
        if parsed.kinds.iter().any(|k| Name::checked(k).is_none()) {
            return Err(Error::new(
                "kinds: must contain only valid names of task kinds",
            ));
        }
        Ok(parsed)
    }

    /// Returns the maximum number of tasks running at a time. Each task needs a connection.
    pub fn capacity(&self) -> u32 {
        self.slots.min(self.connections)
    }
}

/// An announcement, and the channel for whether the agent accepts it.
pub(crate) type Announced = (Announcement, oneshot::Sender<bool>);

struct AnnouncementHandler(mpsc::Sender<Announced>);

impl AnnouncementHandler {
    /// Passes an announcement on, and returns whether the agent accepts it. `None` if it is stopping.
    async fn pass(&self, announcement: Announcement) -> Option<bool> {
        let (sender, accepted) = oneshot::channel();
        self.0.send((announcement, sender)).await.ok()?;
        accepted.await.ok()
    }
}

#[async_trait]
impl Handler for AnnouncementHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let body = match req.payload_with_max_size(MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(e) => return reject(res, &Error::new(e)),
        };
        match Announcement::parse(body) {
            Ok(announcement) => match self.pass(announcement).await {
                Some(true) => {
                    res.status_code(StatusCode::NO_CONTENT);
                }
                Some(false) => {
                    let e = Error::new("address: an endpoint with another address is in use");
                    reject(res, &e);
                    res.status_code(StatusCode::CONFLICT);
                }
                None => {
                    res.status_code(StatusCode::SERVICE_UNAVAILABLE);
                }
            },
            Err(e) => reject(res, &e),
        }
    }
}

fn reject(res: &mut Response, e: &Error) {
    metrics::counter!("agent_announcements_refused").increment(1);
    res.status_code(StatusCode::BAD_REQUEST);
    res.render(Text::Plain(e.to_string()));
}

/// Serves `PUT /v1/endpoint` on `addr` in the background and returns the bound address.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(crate) async fn serve(
    addr: SocketAddr,
    announcements: mpsc::Sender<Announced>,
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
    let router = Router::with_path("v1/endpoint").put(AnnouncementHandler(announcements));
    tokio::spawn(Server::new(acceptor).serve(router));
    Ok(bound)
}
