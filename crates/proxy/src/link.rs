//! One proxied link: a listener, its connections, and the faults in force.

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

/// Bytes read from one side in one go.
const CHUNK_BYTES: usize = 64 * 1024;
/// Chunks on their way through a delay before reading stops.
const CHUNKS: usize = 64;

/// What every connection of a link watches.
#[derive(Clone, Copy, Debug, Default)]
struct State {
    faults: Faults,
    resets: u64,
}

/// A proxied link to one target. Dropping it closes its listener and its connections.
#[derive(Debug)]
pub struct Link {
    addr: SocketAddr,
    state: watch::Sender<State>,
    task: AbortHandle,
}

impl Link {
    /// Listens on `listen` and forwards to `target`; `seed` fixes the random delays.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(listen: SocketAddr, target: SocketAddr, seed: u64) -> Result<Self, Error> {
        let listener = TcpListener::bind(listen)
            .await
            .map_err(|e| Error::from(e).context(format!("proxy listener {listen}")))?;
        let addr = listener.local_addr()?;
        let (state, watcher) = watch::channel(State::default());
        let task = tokio::spawn(accept(listener, target, watcher, seed)).abort_handle();
        Ok(Self { addr, state, task })
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
        self.task.abort();
        self.reset_connections();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    state: watch::Receiver<State>,
    seed: u64,
) {
    let mut seeds = StdRng::seed_from_u64(seed);
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        let faults = state.borrow().faults;
        if faults.refuse {
            continue;
        }
        if faults.duplicate {
            // The second connection only has to reach the target; whether it does is of no interest.
            tokio::spawn(async move { drop(TcpStream::connect(target).await) });
        }
        let rng = StdRng::seed_from_u64(seeds.random());
        tokio::spawn(forward(client, target, state.clone(), rng));
    }
}

async fn forward(
    client: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<State>,
    mut rng: StdRng,
) {
    let resets = state.borrow_and_update().resets;
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    for socket in [&client, &server] {
        // Without this a delayed stream of small frames would wait for acknowledgements as well.
        drop(socket.set_nodelay(true));
    }
    let back_rng = StdRng::seed_from_u64(rng.random());
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let to = pump(client_read, server_write, state.clone(), to_target, rng);
    let back = pump(
        server_read,
        client_write,
        state.clone(),
        to_client,
        back_rng,
    );
    let reset = async {
        // The sender lives as long as the link, which aborts nothing before it resets.
        drop(state.wait_for(|s| s.resets != resets).await);
    };
    tokio::select! {
        () = both(to, back) => {}
        () = reset => {}
    }
}

/// Runs both directions to their ends, so that a half-closed connection stays usable.
async fn both(
    to: impl Future<Output = io::Result<()>>,
    back: impl Future<Output = io::Result<()>>,
) {
    // Either side's failure ends its direction, as it would without the proxy.
    drop(tokio::join!(to, back));
}

/// The delay and the block of one direction.
type Direction = fn(&Faults) -> (u64, bool);

fn to_target(f: &Faults) -> (u64, bool) {
    (f.delay_ms, f.block_to)
}

fn to_client(f: &Faults) -> (u64, bool) {
    (f.back_ms, f.block_back)
}

async fn pump(
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    direction: Direction,
    mut rng: StdRng,
) -> io::Result<()> {
    let mut queue = VecDeque::<(Instant, Vec<u8>)>::new();
    let mut open = true;
    let mut buf = vec![0; CHUNK_BYTES];
    while open || !queue.is_empty() {
        let faults = state.borrow_and_update().faults;
        let (delay_ms, blocked) = direction(&faults);
        let due = queue.front().map(|(at, _)| *at);
        tokio::select! {
            n = read.read(&mut buf), if open && queue.len() < CHUNKS => {
                let n = n?;
                if n == 0 {
                    open = false;
                    continue;
                }
                let jitter = rng.random_range(0..=faults.jitter_ms);
                let at = Instant::now() + Duration::from_millis(delay_ms + jitter);
                // Bytes of one connection never overtake each other.
                let at = queue.back().map_or(at, |(last, _)| at.max(*last));
                queue.push_back((at, buf[..n].to_vec()));
            }
            () = sleep_until(due), if due.is_some() && !blocked => {
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

async fn sleep_until(due: Option<Instant>) {
    match due {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
