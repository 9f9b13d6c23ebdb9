//! The handshake and the I/O of a single link.

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

/// Limit of the send queue. The link of a peer that falls further behind is closed.
const MAX_QUEUE_BYTES: usize = 64 * 1024 * 1024;
/// Number of queued frames written between two flushes of the socket.
const FRAMES_PER_FLUSH: usize = 64;
/// Maximum size of a frame accepted from an unauthenticated peer.
const MAX_HANDSHAKE_BYTES: usize = 4096;

/// How a link shows that it works, and notices that it does not.
#[derive(Clone, Copy, Debug)]
pub struct LinkTiming {
    /// Interval at which an otherwise idle link sends an empty frame.
    pub keepalive: Duration,
    /// Time without a received frame after which the link is closed.
    pub receive_timeout: Duration,
}

impl Default for LinkTiming {
    fn default() -> Self {
        Self {
            keepalive: Duration::from_secs(1),
            receive_timeout: Duration::from_secs(3),
        }
    }
}

pub(crate) type Stream = Framed<TcpStream, FrameCodec>;

/// The sending end of a link's send queue.
#[derive(Debug)]
pub(crate) struct FrameSender {
    frames: mpsc::UnboundedSender<(Frame, usize)>,
    queued_bytes: Arc<AtomicUsize>,
}

/// The receiving end of a link's send queue.
#[derive(Debug)]
pub(crate) struct FrameReceiver {
    frames: mpsc::UnboundedReceiver<(Frame, usize)>,
    queued_bytes: Arc<AtomicUsize>,
}

impl FrameSender {
    pub(crate) fn new() -> (Self, FrameReceiver) {
        let (tx, rx) = mpsc::unbounded_channel();
        let queued_bytes = Arc::<AtomicUsize>::default();
        (
            Self {
                frames: tx,
                queued_bytes: Arc::clone(&queued_bytes),
            },
            FrameReceiver {
                frames: rx,
                queued_bytes,
            },
        )
    }

    /// Queues a frame. Returns `false` if the queue is full or the link is closed.
    pub(crate) fn send(&self, frame: Frame) -> bool {
        let size = frame.encoded_len();
        if self.queued_bytes.fetch_add(size, Ordering::Relaxed) + size > MAX_QUEUE_BYTES {
            return false;
        }
        self.frames.send((frame, size)).is_ok()
    }
}

impl FrameReceiver {
    /// Subtracts a received frame from the queue size and returns the frame.
    fn release(&self, frame: (Frame, usize)) -> Frame {
        self.queued_bytes.fetch_sub(frame.1, Ordering::Relaxed);
        frame.0
    }
}

/// Performs the handshake on an accepted connection.
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
        return Err(Error::new("handshake: expected a Proof frame"));
    };
    if !shared.key.verify_proof(&nonce, &proof) {
        return Err(Error::new(
            "handshake: proof does not match the cluster key",
        ));
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
    Ok((lift_frame_limit(stream), peer))
}

/// Performs the handshake on a dialled connection.
pub(crate) async fn dial(
    shared: &Shared,
    socket: TcpStream,
    addr: SocketAddr,
) -> Result<(Stream, Peer), Error> {
    let mut stream = framed(socket)?;
    let Body::Challenge(challenge) = receive(&mut stream).await? else {
        return Err(Error::new("handshake: expected a Challenge frame"));
    };
    if challenge.version != PROTOCOL_VERSION {
        return Err(Error::new(format!(
            "handshake: peer uses protocol version {}, expected {PROTOCOL_VERSION}",
            challenge.version
        )));
    }
    let own_nonce = nonce();
    let proof = Proof {
        nonce: own_nonce.clone(),
        node: Some(NodeRef::from(&shared.node)),
        role: shared.role.into(),
        zone: shared.zone.to_string(),
        mac: Bytes::new(),
    };
    let proof = shared.key.sign_proof(&challenge.nonce, proof);
    send(&mut stream, Body::Proof(proof)).await?;
    let Body::Welcome(welcome) = receive(&mut stream).await? else {
        return Err(Error::new("handshake: expected a Welcome frame"));
    };
    if !shared
        .key
        .verify_welcome(&challenge.nonce, &own_nonce, &welcome)
    {
        return Err(Error::new(
            "handshake: welcome does not match the cluster key",
        ));
    }
    let peer = peer(welcome.node, welcome.role, &welcome.zone, addr)?;
    Ok((lift_frame_limit(stream), peer))
}

/// Sends queued frames and forwards received ones until the link closes. Returns the reason.
pub(crate) async fn run(
    stream: Stream,
    mut queue: FrameReceiver,
    conn: ConnId,
    timing: LinkTiming,
    events: &mpsc::Sender<NetEvent>,
) -> &'static str {
    let (mut sink, mut source) = stream.split();
    let write = async {
        loop {
            let first = match timeout(timing.keepalive, queue.frames.recv()).await {
                Ok(Some(frame)) => queue.release(frame),
                Ok(None) => return "closed",
                Err(_) => Frame::default(),
            };
            if sink.feed(first).await.is_err() {
                return "write failed";
            }
            for _ in 0..FRAMES_PER_FLUSH {
                let Ok(frame) = queue.frames.try_recv() else {
                    break;
                };
                let frame = queue.release(frame);
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
            match timeout(timing.receive_timeout, source.next()).await {
                Ok(Some(Ok(frame))) if frame.body.is_none() => {}
                Ok(Some(Ok(frame))) => {
                    if events.send(NetEvent::Frame { conn, frame }).await.is_err() {
                        return "event receiver dropped";
                    }
                }
                Ok(Some(Err(_))) => {
                    metrics::counter!("link_malformed").increment(1);
                    return "read failed";
                }
                Ok(None) => return "closed by peer",
                Err(_) => return "receive timeout",
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
    Ok(Framed::new(socket, FrameCodec::new(MAX_HANDSHAKE_BYTES)))
}

/// Replaces the frame size limit of the handshake, and keeps bytes already read into the buffer.
fn lift_frame_limit(stream: Stream) -> Stream {
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
        .ok_or_else(|| Error::new("connection closed during the handshake"))?;
    frame
        .map_err(Error::new)?
        .body
        .ok_or_else(|| Error::new("empty frame in the handshake"))
}

fn peer(node: Option<NodeRef>, role: i32, zone: &str, addr: SocketAddr) -> Result<Peer, Error> {
    let node = node.try_into().map_err(Error::new)?;
    let role = Role::try_from(role).map_err(Error::new)?;
    let zone = Name::checked(zone).ok_or_else(|| Error::new("handshake: invalid zone name"))?;
    Ok(Peer {
        node,
        role,
        zone,
        addr,
    })
}
