//! Authenticated links between processes.
//!
//! The I/O of each link runs in its own task. The owner of [`NetEvents`] receives the events of
//! all links on one channel, and sends frames through [`Net`] without blocking.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt as _;
use slog::Logger;
use slog::debug;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use sassafras_util::Error;
use sassafras_util::FastMap;
use sassafras_util::Name;
use sassafras_wire::ClusterKey;
use sassafras_wire::NodeRef;
use sassafras_wire::proto::Frame;
use sassafras_wire::proto::Role;

use crate::link;
use crate::link::FrameSender;
use crate::link::LinkTiming;

/// Capacity of the event channel. Links stop reading while it is full.
const EVENT_QUEUE: usize = 8192;
/// Maximum number of open links before new connections are refused.
const MAX_LINKS: usize = 16_384;
/// Timeout for connecting and the handshake. Shorter than the initial SYN retransmission timeout
/// of 1 s, so that a host that has just come up is reached sooner.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);
const MIN_REDIAL_DELAY: Duration = Duration::from_millis(50);
const MAX_REDIAL_DELAY: Duration = Duration::from_millis(400);

/// Identifies a link within this process. IDs are not reused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ConnId(u64);

/// The authenticated process at the other end of a link.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Name and incarnation.
    pub node: NodeRef,
    /// Role in the cluster.
    pub role: Role,
    /// Availability zone.
    pub zone: Name,
    /// Remote address of the connection.
    pub addr: SocketAddr,
}

/// An event of a link.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "moved once per frame; boxing would allocate for each"
)]
pub enum NetEvent {
    /// A link is open and both sides are authenticated.
    Up {
        /// The new link.
        conn: ConnId,
        /// The process at the other end.
        peer: Peer,
        /// The name passed to [`Net::dial`], or `None` if the peer opened the link.
        dialled: Option<Name>,
    },
    /// A frame arrived.
    Frame {
        /// The link it arrived on.
        conn: ConnId,
        /// The frame, always with a body.
        frame: Frame,
    },
    /// A link is closed. No more events of this link follow.
    Down {
        /// The closed link.
        conn: ConnId,
    },
}

/// Receives the events of all links.
#[derive(Debug)]
pub struct NetEvents(mpsc::Receiver<NetEvent>);

impl NetEvents {
    /// Waits for the next event.
    pub async fn next(&mut self) -> NetEvent {
        match self.0.recv().await {
            Some(event) => event,
            None => std::future::pending().await,
        }
    }

    /// Returns the next event if one is available.
    pub fn try_next(&mut self) -> Option<NetEvent> {
        self.0.try_recv().ok()
    }
}

/// The links of a process. Clones refer to the same links.
#[derive(Clone, Debug)]
pub struct Net(Arc<Shared>);

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) node: NodeRef,
    pub(crate) role: Role,
    pub(crate) zone: Name,
    pub(crate) key: ClusterKey,
    pub(crate) log: Logger,
    /// Timing of links between entries and agents.
    agent_timing: LinkTiming,
    events: mpsc::Sender<NetEvent>,
    next_conn: AtomicU64,
    links: Mutex<FastMap<ConnId, FrameSender>>,
    dials: Mutex<FastMap<Name, tokio::task::AbortHandle>>,
}

impl Net {
    /// Creates the network endpoint of a process, without any links.
    pub fn new(
        node: NodeRef,
        role: Role,
        zone: Name,
        key: ClusterKey,
        log: Logger,
    ) -> (Self, NetEvents) {
        Self::with_agent_timing(node, role, zone, key, log, LinkTiming::default())
    }

    /// Creates the network endpoint of a process whose links between entries and agents have a
    /// timing of their own.
    pub fn with_agent_timing(
        node: NodeRef,
        role: Role,
        zone: Name,
        key: ClusterKey,
        log: Logger,
        agent_timing: LinkTiming,
    ) -> (Self, NetEvents) {
        let (events, receiver) = mpsc::channel(EVENT_QUEUE);
        let shared = Shared {
            node,
            role,
            zone,
            key,
            log,
            agent_timing,
            events,
            next_conn: AtomicU64::new(1),
            links: Mutex::default(),
            dials: Mutex::default(),
        };
        (Self(Arc::new(shared)), NetEvents(receiver))
    }

    /// Starts to accept links on `addr` and returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn listen(&self, addr: SocketAddr) -> Result<SocketAddr, Error> {
        let context = |e: std::io::Error| Error::from(e).context(format!("listener {addr}"));
        let listener = TcpListener::bind(addr).await.map_err(context)?;
        let bound = listener.local_addr().map_err(context)?;
        tokio::spawn(accept_links(Arc::clone(&self.0), listener));
        Ok(bound)
    }

    /// Maintains a link to `addr`, and reconnects with exponential back-off and jitter.
    ///
    /// A second call with the same name replaces the first.
    pub fn dial(&self, name: Name, addr: SocketAddr) {
        let task = tokio::spawn(maintain_link(Arc::clone(&self.0), name.clone(), addr));
        if let Some(previous) = lock(&self.0.dials).insert(name, task.abort_handle()) {
            previous.abort();
        }
    }

    /// Closes the named link and stops reconnecting it.
    pub fn disconnect(&self, name: &Name) {
        if let Some(task) = lock(&self.0.dials).remove(name) {
            task.abort();
        }
    }

    /// Queues a frame for sending. Returns `false` if the link is down or its send queue is full.
    ///
    /// A link with a full send queue is closed, because its peer does not read.
    pub fn send(&self, conn: ConnId, frame: Frame) -> bool {
        let mut links = lock(&self.0.links);
        let sent = links.get(&conn).is_some_and(|queue| queue.send(frame));
        if !sent && links.remove(&conn).is_some() {
            metrics::counter!("link_backlog_closed").increment(1);
            warn!(self.0.log, "link closed"; "conn" => conn.0, "reason" => "send queue full");
        }
        sent
    }

    /// Closes a link. Its `Down` event follows.
    pub fn close(&self, conn: ConnId) {
        lock(&self.0.links).remove(&conn);
    }
}

impl Shared {
    fn timing(&self, peer: Role) -> LinkTiming {
        match (self.role, peer) {
            (Role::Entry, Role::Agent) | (Role::Agent, Role::Entry) => self.agent_timing,
            _ => LinkTiming::default(),
        }
    }

    /// Runs an open link until it closes, and reports its `Up` and `Down` events.
    async fn run_link(&self, stream: link::Stream, peer: Peer, dialled: Option<Name>) {
        let conn = ConnId(self.next_conn.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = FrameSender::new();
        let mut guard = LinkGuard { shared: self, conn };
        let timing = self.timing(peer.role);
        lock(&self.links).insert(conn, sender);
        debug!(self.log, "link up"; "conn" => conn.0, "peer" => %peer.node, "addr" => %peer.addr);
        if self
            .events
            .send(NetEvent::Up {
                conn,
                peer,
                dialled,
            })
            .await
            .is_err()
        {
            return;
        }
        let reason = link::run(stream, receiver, conn, timing, &self.events).await;
        debug!(self.log, "link down"; "conn" => conn.0, "reason" => reason);
        guard.finish().await;
    }
}

/// Removes a link and reports it as down, even if the link's task is aborted.
struct LinkGuard<'a> {
    shared: &'a Shared,
    conn: ConnId,
}

impl LinkGuard<'_> {
    async fn finish(&mut self) {
        lock(&self.shared.links).remove(&self.conn);
        let down = NetEvent::Down { conn: self.conn };
        // Fails only if the receiver of the events was dropped.
        drop(self.shared.events.send(down).await);
        // Tells `drop` that the link was already reported as down.
        self.conn = ConnId(0);
    }
}

impl Drop for LinkGuard<'_> {
    fn drop(&mut self) {
        if self.conn.0 == 0 {
            return;
        }
        lock(&self.shared.links).remove(&self.conn);
        let down = NetEvent::Down { conn: self.conn };
        if let Err(mpsc::error::TrySendError::Full(down)) = self.shared.events.try_send(down) {
            let events = self.shared.events.clone();
            tokio::spawn(async move { events.send(down).await });
        }
    }
}

async fn accept_links(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let Ok((stream, addr)) = listener.accept().await else {
            tokio::time::sleep(MIN_REDIAL_DELAY).await;
            continue;
        };
        if lock(&shared.links).len() >= MAX_LINKS {
            metrics::counter!("link_refused", "reason" => "too_many").increment(1);
            continue;
        }
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            match timeout(OPEN_TIMEOUT, link::accept(&shared, stream, addr)).await {
                Ok(Ok((stream, peer))) => shared.run_link(stream, peer, None).await,
                Ok(Err(e)) => report_refused(&shared, addr, &e),
                Err(_) => report_refused(&shared, addr, &Error::new("handshake timed out")),
            }
        });
    }
}

fn report_refused(shared: &Shared, addr: SocketAddr, e: &Error) {
    metrics::counter!("link_refused", "reason" => "handshake").increment(1);
    warn!(shared.log, "link refused"; "addr" => %addr, "error" => %e);
}

async fn maintain_link(shared: Arc<Shared>, name: Name, addr: SocketAddr) {
    let mut delay = MIN_REDIAL_DELAY;
    loop {
        let open = async {
            let stream = TcpStream::connect(addr).await?;
            link::dial(&shared, stream, addr).await
        };
        match timeout(OPEN_TIMEOUT, open).await {
            Ok(Ok((stream, peer))) => {
                delay = MIN_REDIAL_DELAY;
                shared.run_link(stream, peer, Some(name.clone())).await;
            }
            Ok(Err(e)) => debug!(shared.log, "dial failed"; "addr" => %addr, "error" => %e),
            Err(_) => debug!(shared.log, "dial failed"; "addr" => %addr, "error" => "timed out"),
        }
        // Jitter keeps processes from reconnecting to a restarted process all at once.
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(delay.mul_f64(jitter)).await;
        delay = (delay * 2).min(MAX_REDIAL_DELAY);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
