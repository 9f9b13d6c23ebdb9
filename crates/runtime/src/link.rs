//! One link: its handshake, its reader and its writer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt as _;
use futures_util::StreamExt as _;
use prost::Message as _;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use sassafras_util::Error;
use sassafras_util::Name;
use sassafras_util::random_u64;
use sassafras_wire::Body;
use sassafras_wire::FrameCodec;
use sassafras_wire::MAX_FRAME_BYTES;
use sassafras_wire::PROTOCOL_VERSION;
use sassafras_wire::proto::Challenge;
use sassafras_wire::proto::Frame;
use sassafras_wire::proto::NodeRef;
use sassafras_wire::proto::Proof;
use sassafras_wire::proto::Role;
use sassafras_wire::proto::Welcome;

use crate::net::ConnId;
use crate::net::NetEvent;
use crate::net::Peer;
use crate::net::Shared;

/// Bytes that may wait for a slow peer before its link is closed.
const MAX_BACKLOG_BYTES: usize = 64 * 1024 * 1024;
/// Frames taken from the backlog before they are flushed to the socket.
const FLUSH_FRAMES: usize = 64;
/// A link sends something at least this often.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// A link that hears nothing for this long is closed.
const SILENCE: Duration = Duration::from_secs(3);
/// Largest frame accepted before the peer has proved the cluster key, in bytes.
const HANDSHAKE_BYTES: usize = 4096;

pub(crate) type Stream = Framed<TcpStream, FrameCodec>;

/// The sending end of a link's backlog.
#[derive(Debug)]
pub(crate) struct Outbox {
    frames: mpsc::UnboundedSender<(Frame, usize)>,
    waiting: Arc<AtomicUsize>,
}

/// The receiving end of a link's backlog.
#[derive(Debug)]
pub(crate) struct Inbox {
    frames: mpsc::UnboundedReceiver<(Frame, usize)>,
    waiting: Arc<AtomicUsize>,
}

impl Outbox {
    pub(crate) fn new() -> (Self, Inbox) {
        let (tx, rx) = mpsc::unbounded_channel();
        let waiting = Arc::<AtomicUsize>::default();
        (
            Self {
                frames: tx,
                waiting: Arc::clone(&waiting),
            },
            Inbox {
                frames: rx,
                waiting,
            },
        )
    }

    /// Queues a frame unless the backlog is full or the link is closed.
    pub(crate) fn send(&self, frame: Frame) -> bool {
        let size = frame.encoded_len();
        if self.waiting.fetch_add(size, Ordering::Relaxed) + size > MAX_BACKLOG_BYTES {
            return false;
        }
        self.frames.send((frame, size)).is_ok()
    }
}

impl Inbox {
    fn taken(&self, frame: (Frame, usize)) -> Frame {
        self.waiting.fetch_sub(frame.1, Ordering::Relaxed);
        frame.0
    }
}

/// Opens a link on a connection that this process accepted.
pub(crate) async fn accept(
    shared: &Shared,
    socket: TcpStream,
    addr: SocketAddr,
) -> Result<(Stream, Peer), Error> {
    let mut stream = framed(socket)?;
    let nonce = nonce();
    send(
        &mut stream,
        Body::Challenge(Challenge {
            version: PROTOCOL_VERSION,
            nonce: nonce.clone(),
        }),
    )
    .await?;
    let Body::Proof(proof) = receive(&mut stream).await? else {
        return Err(Error::new("expected a proof"));
    };
    if !shared.key.verify_proof(&nonce, &proof) {
        return Err(Error::new("wrong cluster key"));
    }
    let welcome = Welcome {
        node: Some(NodeRef::from(&shared.node)),
        role: shared.role.into(),
        zone: shared.zone.to_string(),
        mac: Bytes::new(),
    };
    let welcome = shared.key.sign_welcome(&nonce, &proof.nonce, welcome);
    send(&mut stream, Body::Welcome(welcome)).await?;
    let peer = peer(proof.node, proof.role, &proof.zone, addr)?;
    Ok((unbounded(stream), peer))
}

/// Opens a link on a connection that this process dialled.
pub(crate) async fn dial(
    shared: &Shared,
    socket: TcpStream,
    addr: SocketAddr,
) -> Result<(Stream, Peer), Error> {
    let mut stream = framed(socket)?;
    let Body::Challenge(challenge) = receive(&mut stream).await? else {
        return Err(Error::new("expected a challenge"));
    };
    if challenge.version != PROTOCOL_VERSION {
        return Err(Error::new(format!(
            "peer speaks protocol version {}",
            challenge.version
        )));
    }
    let own = nonce();
    let proof = Proof {
        nonce: own.clone(),
        node: Some(NodeRef::from(&shared.node)),
        role: shared.role.into(),
        zone: shared.zone.to_string(),
        mac: Bytes::new(),
    };
    let proof = shared.key.sign_proof(&challenge.nonce, proof);
    send(&mut stream, Body::Proof(proof)).await?;
    let Body::Welcome(welcome) = receive(&mut stream).await? else {
        return Err(Error::new("expected a welcome"));
    };
    if !shared.key.verify_welcome(&challenge.nonce, &own, &welcome) {
        return Err(Error::new("peer does not know the cluster key"));
    }
    let peer = peer(welcome.node, welcome.role, &welcome.zone, addr)?;
    Ok((unbounded(stream), peer))
}

/// Moves frames in both directions until the link closes, and returns why it did.
pub(crate) async fn pump(
    stream: Stream,
    mut inbox: Inbox,
    conn: ConnId,
    events: &mpsc::Sender<NetEvent>,
) -> &'static str {
    let (mut sink, mut source) = stream.split();
    let write = async {
        loop {
            let first = match timeout(KEEPALIVE, inbox.frames.recv()).await {
                Ok(Some(frame)) => inbox.taken(frame),
                Ok(None) => return "closed",
                Err(_) => Frame::default(),
            };
            if sink.feed(first).await.is_err() {
                return "write failed";
            }
            for _ in 0..FLUSH_FRAMES {
                let Ok(frame) = inbox.frames.try_recv() else {
                    break;
                };
                let frame = inbox.taken(frame);
                if sink.feed(frame).await.is_err() {
                    return "write failed";
                }
            }
            if sink.flush().await.is_err() {
                return "write failed";
            }
        }
    };
    let read = async {
        loop {
            match timeout(SILENCE, source.next()).await {
                Ok(Some(Ok(frame))) if frame.body.is_none() => {}
                Ok(Some(Ok(frame))) => {
                    if events.send(NetEvent::Frame { conn, frame }).await.is_err() {
                        return "loop ended";
                    }
                }
                Ok(Some(Err(_))) => {
                    metrics::counter!("link_malformed").increment(1);
                    return "read failed";
                }
                Ok(None) => return "closed by peer",
                Err(_) => return "silent",
            }
        }
    };
    tokio::select! {
        reason = read => reason,
        reason = write => reason,
    }
}

fn framed(socket: TcpStream) -> Result<Stream, Error> {
    socket.set_nodelay(true)?;
    Ok(Framed::new(socket, FrameCodec::new(HANDSHAKE_BYTES)))
}

/// Lifts the frame limit of the handshake, keeping bytes that were read ahead.
fn unbounded(stream: Stream) -> Stream {
    stream.map_codec(|_| FrameCodec::new(MAX_FRAME_BYTES))
}

fn nonce() -> Bytes {
    let parts = [random_u64().to_be_bytes(), random_u64().to_be_bytes()];
    Bytes::copy_from_slice(&parts.concat())
}

async fn send(stream: &mut Stream, body: Body) -> Result<(), Error> {
    let frame = Frame {
        request: 0,
        reply: false,
        body: Some(body),
    };
    stream.send(frame).await.map_err(Error::new)
}

async fn receive(stream: &mut Stream) -> Result<Body, Error> {
    let frame = stream
        .next()
        .await
        .ok_or_else(|| Error::new("closed during the handshake"))?;
    frame
        .map_err(Error::new)?
        .body
        .ok_or_else(|| Error::new("empty frame in the handshake"))
}

fn peer(node: Option<NodeRef>, role: i32, zone: &str, addr: SocketAddr) -> Result<Peer, Error> {
    let node = node.try_into().map_err(Error::new)?;
    let role = Role::try_from(role).map_err(Error::new)?;
    let zone = Name::checked(zone).ok_or_else(|| Error::new("bad zone name"))?;
    Ok(Peer {
        node,
        role,
        zone,
        addr,
    })
}
