//! A proxied link: a listener, its connections and their faults.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use sassafras_util::Error;

use crate::faults::Faults;

/// Size of the read buffer.
const CHUNK_BYTES: usize = 64 * 1024;
/// Delayed or blocked chunks of one direction before reading stops.
const MAX_QUEUED_CHUNKS: usize = 64;

/// State of a link that its connections watch.
#[derive(Clone, Copy, Debug, Default)]
struct LinkState {
    faults: Faults,
    /// Number of resets; a connection ends when it increases.
    resets: u64,
}

/// A proxied link to one target. Dropping it closes its listener and its connections.
#[derive(Debug)]
pub struct Link {
    addr: SocketAddr,
    state: watch::Sender<LinkState>,
    listener: AbortHandle,
}

impl Link {
    /// Listens on `listen` and forwards to `target`; `seed` determines the random delays.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(listen: SocketAddr, target: SocketAddr, seed: u64) -> Result<Self, Error> {
        let listener = TcpListener::bind(listen)
            .await
            .map_err(|e| Error::from(e).context(format!("proxy listener {listen}")))?;
        let addr = listener.local_addr()?;
        let (state, watcher) = watch::channel(LinkState::default());
        let listener =
            tokio::spawn(accept_connections(listener, target, watcher, seed)).abort_handle();
        Ok(Self {
            addr,
            state,
            listener,
        })
    }

    /// Returns the address that the link listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Applies `faults` to open and new connections.
    pub fn set_faults(&self, faults: Faults) {
        self.state.send_modify(|s| s.faults = faults);
    }

    /// Resets every open connection.
    pub fn reset_connections(&self) {
        self.state.send_modify(|s| s.resets += 1);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.listener.abort();
        self.reset_connections();
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    state: watch::Receiver<LinkState>,
    seed: u64,
) {
    let mut seed_rng = StdRng::seed_from_u64(seed);
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        let faults = state.borrow().faults;
        if faults.refuse {
            continue;
        }
        if faults.duplicate {
            // Errors are ignored: the target sees at most an additional connection.
            tokio::spawn(async move { drop(TcpStream::connect(target).await) });
        }
        let rng = StdRng::seed_from_u64(seed_rng.random());
        tokio::spawn(forward(client, target, state.clone(), rng));
    }
}

async fn forward(
    client: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<LinkState>,
    mut rng: StdRng,
) {
    let resets = state.borrow_and_update().resets;
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    for socket in [&client, &server] {
        // Nagle's algorithm would add the delay of acknowledgements to small frames.
        drop(socket.set_nodelay(true));
    }
    let back_rng = StdRng::seed_from_u64(rng.random());
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let request_path = forward_bytes(client_read, server_write, state.clone(), to_target, rng);
    let response_path = forward_bytes(
        server_read,
        client_write,
        state.clone(),
        to_client,
        back_rng,
    );
    let reset = async {
        // An error means that the link was dropped, which resets its connections too.
        drop(state.wait_for(|s| s.resets != resets).await);
    };
    tokio::select! {
        () = join_directions(request_path, response_path) => {}
        () = reset => {}
    }
}

/// Forwards both directions until each has ended, so that a half-closed connection stays usable.
async fn join_directions(
    request_path: impl Future<Output = io::Result<()>>,
    response_path: impl Future<Output = io::Result<()>>,
) {
    // An error ends only its own direction, as it would without the proxy.
    drop(tokio::join!(request_path, response_path));
}

/// Returns the delay in milliseconds of one direction, and whether it is blocked.
type Direction = fn(&Faults) -> (u64, bool);

fn to_target(f: &Faults) -> (u64, bool) {
    (f.delay_ms, f.block_to)
}

fn to_client(f: &Faults) -> (u64, bool) {
    (f.back_ms, f.block_back)
}

/// Forwards bytes of one direction, delayed or withheld according to the faults.
async fn forward_bytes(
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
    direction: Direction,
    mut rng: StdRng,
) -> io::Result<()> {
    let mut queue = VecDeque::<(Instant, Vec<u8>)>::new();
    let mut reading = true;
    let mut buf = vec![0; CHUNK_BYTES];
    while reading || !queue.is_empty() {
        let faults = state.borrow_and_update().faults;
        let (delay_ms, blocked) = direction(&faults);
        let next_due = queue.front().map(|(due, _)| *due);
        tokio::select! {
            n = read.read(&mut buf), if reading && queue.len() < MAX_QUEUED_CHUNKS => {
                let n = n?;
                if n == 0 {
                    reading = false;
                    continue;
                }
                let jitter = rng.random_range(0..=faults.jitter_ms);
                let due = Instant::now() + Duration::from_millis(delay_ms + jitter);
                // Jitter must not reorder the bytes of a connection.
                let due = queue.back().map_or(due, |(last, _)| due.max(*last));
                queue.push_back((due, buf[..n].to_vec()));
            }
            () = sleep_until(next_due), if next_due.is_some() && !blocked => {
                if let Some((_, chunk)) = queue.pop_front() {
                    write.write_all(&chunk).await?;
                }
            }
            changed = state.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
            }
        }
    }
    write.shutdown().await
}

/// Sleeps until `due`, or forever if there is none.
async fn sleep_until(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due).await,
        None => std::future::pending().await,
    }
}
