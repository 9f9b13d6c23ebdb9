//! Authenticated links between processes, as events on one channel.
//!
//! Tasks of the runtime do the I/O of each link; the owner of [`NetEvents`] sees links come
//! up, frames arrive, and links go down, and sends frames through [`Net`] without waiting.

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
use crate::link::Outbox;

/// Events that may wait for the loop before links stop reading.
const EVENT_BACKLOG: usize = 8192;
/// Links that one process accepts at a time.
const MAX_ACCEPTED: usize = 16_384;
/// Time for a connection to open and to prove the key. It is below the second after which a
/// lost opening packet is sent again, so that a host that just came up is reached sooner.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);
const MIN_REDIAL: Duration = Duration::from_millis(50);
const MAX_REDIAL: Duration = Duration::from_millis(400);

/// Identifies one link of this process; never used again after the link is down.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ConnId(u64);

/// The process at the other end of a link, as it proved on opening it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name and incarnation.
    pub node: NodeRef,
    /// Its role.
    pub role: Role,
    /// Its availability zone.
    pub zone: Name,
    /// The remote address of the link.
    pub addr: SocketAddr,
}

/// What happened on a link.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "moved once per frame; boxing would allocate for each"
)]
pub enum NetEvent {
    /// A link is open and both sides have proved the cluster key.
    Up {
        /// The new link.
        conn: ConnId,
        /// The process at the other end.
        peer: Peer,
        /// The name given to [`Net::dial`], for links that this process opened.
        dialled: Option<Name>,
    },
    /// A frame arrived.
    Frame {
        /// The link it arrived on.
        conn: ConnId,
        /// The frame, always with a body.
        frame: Frame,
    },
    /// A link is closed; nothing more arrives on it.
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

    /// Returns an event that is already there.
    pub fn try_next(&mut self) -> Option<NetEvent> {
        self.0.try_recv().ok()
    }
}

/// Opens and serves links; clones share them.
#[derive(Clone, Debug)]
pub struct Net(Arc<Shared>);

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) node: NodeRef,
    pub(crate) role: Role,
    pub(crate) zone: Name,
    pub(crate) key: ClusterKey,
    pub(crate) log: Logger,
    events: mpsc::Sender<NetEvent>,
    next: AtomicU64,
    links: Mutex<FastMap<ConnId, Outbox>>,
    dials: Mutex<FastMap<Name, tokio::task::AbortHandle>>,
}

impl Net {
    /// Creates the links of one process.
    pub fn new(
        node: NodeRef,
        role: Role,
        zone: Name,
        key: ClusterKey,
        log: Logger,
    ) -> (Self, NetEvents) {
        let (events, receiver) = mpsc::channel(EVENT_BACKLOG);
        let shared = Shared {
            node,
            role,
            zone,
            key,
            log,
            events,
            next: AtomicU64::new(1),
            links: Mutex::default(),
            dials: Mutex::default(),
        };
        (Self(Arc::new(shared)), NetEvents(receiver))
    }

    /// Accepts links on `addr` and returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn listen(&self, addr: SocketAddr) -> Result<SocketAddr, Error> {
        let context = |e: std::io::Error| Error::from(e).context(format!("listener {addr}"));
        let listener = TcpListener::bind(addr).await.map_err(context)?;
        let bound = listener.local_addr().map_err(context)?;
        tokio::spawn(accept(Arc::clone(&self.0), listener));
        Ok(bound)
    }

    /// Keeps a link to `addr` open, with growing and jittered pauses between tries.
    /// A second call with the same name replaces the first.
    pub fn dial(&self, name: Name, addr: SocketAddr) {
        let task = tokio::spawn(redial(Arc::clone(&self.0), name.clone(), addr));
        if let Some(old) = lock(&self.0.dials).insert(name, task.abort_handle()) {
            old.abort();
        }
    }

    /// Stops keeping the named link open and closes it.
    pub fn disconnect(&self, name: &Name) {
        if let Some(task) = lock(&self.0.dials).remove(name) {
            task.abort();
        }
    }

    /// Sends a frame. Returns `false` when the link is down or its backlog is full; a link
    /// whose backlog is full is closed, since its peer does not read.
    pub fn send(&self, conn: ConnId, frame: Frame) -> bool {
        let mut links = lock(&self.0.links);
        let sent = links.get(&conn).is_some_and(|outbox| outbox.send(frame));
        if !sent && links.remove(&conn).is_some() {
            metrics::counter!("link_backlog_closed").increment(1);
            warn!(self.0.log, "link closed"; "conn" => conn.0, "reason" => "backlog full");
        }
        sent
    }

    /// Closes a link; its `Down` event follows.
    pub fn close(&self, conn: ConnId) {
        lock(&self.0.links).remove(&conn);
    }
}

impl Shared {
    /// Runs an open link until it closes, between its `Up` and `Down` events.
    async fn run(&self, stream: link::Stream, peer: Peer, dialled: Option<Name>) {
        let conn = ConnId(self.next.fetch_add(1, Ordering::Relaxed));
        let (outbox, inbox) = Outbox::new();
        let mut registered = Registered { shared: self, conn };
        lock(&self.links).insert(conn, outbox);
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
        let reason = link::pump(stream, inbox, conn, &self.events).await;
        debug!(self.log, "link down"; "conn" => conn.0, "reason" => reason);
        registered.finish().await;
    }
}

/// Removes a link and reports it down, also when its task is aborted.
struct Registered<'a> {
    shared: &'a Shared,
    conn: ConnId,
}

impl Registered<'_> {
    async fn finish(&mut self) {
        lock(&self.shared.links).remove(&self.conn);
        let down = NetEvent::Down { conn: self.conn };
        // Fails only when the loop that would hear of it has ended.
        drop(self.shared.events.send(down).await);
        self.conn = ConnId(0);
    }
}

impl Drop for Registered<'_> {
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

async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let Ok((stream, addr)) = listener.accept().await else {
            tokio::time::sleep(MIN_REDIAL).await;
            continue;
        };
        if lock(&shared.links).len() >= MAX_ACCEPTED {
            metrics::counter!("link_refused", "reason" => "too_many").increment(1);
            continue;
        }
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            match timeout(OPEN_TIMEOUT, link::accept(&shared, stream, addr)).await {
                Ok(Ok((stream, peer))) => shared.run(stream, peer, None).await,
                Ok(Err(e)) => refused(&shared, addr, &e),
                Err(_) => refused(&shared, addr, &Error::new("handshake timed out")),
            }
        });
    }
}

fn refused(shared: &Shared, addr: SocketAddr, e: &Error) {
    metrics::counter!("link_refused", "reason" => "handshake").increment(1);
    warn!(shared.log, "link refused"; "addr" => %addr, "error" => %e);
}

async fn redial(shared: Arc<Shared>, name: Name, addr: SocketAddr) {
    let mut pause = MIN_REDIAL;
    loop {
        let open = async {
            let stream = TcpStream::connect(addr).await?;
            link::dial(&shared, stream, addr).await
        };
        match timeout(OPEN_TIMEOUT, open).await {
            Ok(Ok((stream, peer))) => {
                pause = MIN_REDIAL;
                shared.run(stream, peer, Some(name.clone())).await;
            }
            Ok(Err(e)) => debug!(shared.log, "dial failed"; "addr" => %addr, "error" => %e),
            Err(_) => debug!(shared.log, "dial failed"; "addr" => %addr, "error" => "timed out"),
        }
        // Jitter keeps many processes from redialling a restarted one in step.
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(pause.mul_f64(jitter)).await;
        pause = (pause * 2).min(MAX_REDIAL);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
