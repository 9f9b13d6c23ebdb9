//! Starts tasks and carries directives over HTTP/1.1, on a bounded pool of connections.
//!
//! No request is ever sent twice. A pooled connection that turns out closed is replaced only
//! when the client library hands the request back, which it does only before it has written
//! any part of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::engine::Completion;
use crate::engine::DirectiveAction;
use crate::engine::Start;
use crate::engine::TaskDirective;
use crate::engine::TaskOutcome;

/// Largest result of a task, in bytes.
const MAX_RESULT: usize = 1024 * 1024;
/// Time for a connection on the same host to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for a directive to be answered.
const DIRECTIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest part of an error answer that is kept as the reason, in bytes.
const MAX_REASON: usize = 200;

type Sender = SendRequest<Full<Bytes>>;

/// A bounded pool of connections to one address of the endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Pool(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    addr: SocketAddr,
    size: Mutex<u32>,
    limit: Semaphore,
    idle: Mutex<Vec<Sender>>,
}

/// Why a request got no response.
enum Fault {
    /// Nothing of it was sent.
    Unsent(String),
    /// The endpoint may have received it.
    Broken(String),
}

impl Pool {
    /// Creates a pool of at most `connections` connections.
    pub(crate) fn new(addr: SocketAddr, connections: u32) -> Self {
        Self(Arc::new(Inner {
            addr,
            size: Mutex::new(connections),
            limit: Semaphore::new(connections as usize),
            idle: Mutex::default(),
        }))
    }

    /// Changes the number of connections; fewer take effect as connections fall idle.
    pub(crate) fn resize(&self, connections: u32) {
        let old = std::mem::replace(&mut *lock(&self.0.size), connections);
        if connections > old {
            self.0.limit.add_permits((connections - old) as usize);
        } else if connections < old {
            lock(&self.0.idle).clear();
            let inner = Arc::clone(&self.0);
            tokio::spawn(async move {
                if let Ok(permits) = inner.limit.acquire_many(old - connections).await {
                    permits.forget();
                }
            });
        }
    }

    /// Starts a task and waits for its end.
    pub(crate) async fn start(&self, start: Start) -> Completion {
        let Ok(_permit) = self.0.limit.acquire().await else {
            return ended(
                start.id,
                TaskOutcome::NotRun("endpoint replaced".into()),
                Instant::now(),
            );
        };
        let began = Instant::now();
        let id = start.id;
        let request = match start_request(self.0.addr, start) {
            Ok(request) => request,
            Err(e) => return ended(id, TaskOutcome::NotRun(e.to_string().into()), began),
        };
        let end = match self.exchange(request).await {
            Ok((sender, response)) => self.interpret(sender, response).await,
            Err(Fault::Unsent(reason)) => TaskOutcome::NotRun(reason.into()),
            Err(Fault::Broken(reason)) => TaskOutcome::Lost(reason.into()),
        };
        ended(id, end, began)
    }

    /// Carries a directive to the endpoint. Its outcome shows in the task's own end.
    pub(crate) async fn direct(&self, directed: TaskDirective) {
        let path = &directed.target.path;
        let task = &directed.task;
        let request = match directed.action {
            DirectiveAction::Stop => Request::delete(format!("{path}/{task}")),
            DirectiveAction::Checkpoint => Request::post(format!("{path}/{task}/checkpoint")),
            DirectiveAction::Throttle => Request::post(format!("{path}/{task}/throttle")),
        };
        let request = request
            .header("host", self.0.addr.to_string())
            .body(Full::default());
        let Ok(request) = request else { return };
        let send = async {
            let _permit = self.0.limit.acquire().await.ok()?;
            let (sender, response) = self.exchange(request).await.ok()?;
            let body = Limited::new(response.into_body(), MAX_RESULT)
                .collect()
                .await;
            body.ok().map(|_| self.keep(sender))
        };
        let carried = matches!(timeout(DIRECTIVE_TIMEOUT, send).await, Ok(Some(())));
        metrics::counter!("agent_directives", "carried" => carried.to_string()).increment(1);
    }

    /// Sends a request on a pooled or a new connection.
    async fn exchange(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Sender, Response<Incoming>), Fault> {
        loop {
            let (mut sender, pooled) = match self.take_idle().await {
                Some(sender) => (sender, true),
                None => (self.connect().await?, false),
            };
            let mut error = match sender.try_send_request(request).await {
                Ok(response) => return Ok((sender, response)),
                Err(error) => error,
            };
            let reason = error.error().to_string();
            match error.take_message() {
                Some(unsent) if pooled => request = unsent,
                Some(_) => return Err(Fault::Unsent(format!("connection closed: {reason}"))),
                None => return Err(Fault::Broken(format!("connection broke: {reason}"))),
            }
        }
    }

    async fn take_idle(&self) -> Option<Sender> {
        loop {
            let mut sender = lock(&self.0.idle).pop()?;
            if sender.ready().await.is_ok() {
                return Some(sender);
            }
        }
    }

    async fn connect(&self) -> Result<Sender, Fault> {
        let addr = self.0.addr;
        let unsent = |e: &dyn std::fmt::Display| Fault::Unsent(format!("connect {addr}: {e}"));
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(unsent(&e)),
            Err(e) => return Err(unsent(&e)),
        };
        stream.set_nodelay(true).map_err(|e| unsent(&e))?;
        let (sender, conn) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| unsent(&e))?;
        tokio::spawn(conn);
        Ok(sender)
    }

    async fn interpret(&self, sender: Sender, response: Response<Incoming>) -> TaskOutcome {
        let status = response.status();
        let refused = matches!(
            status,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
        ) && response
            .headers()
            .get("task-ran")
            .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"false"));
        let body = Limited::new(response.into_body(), MAX_RESULT)
            .collect()
            .await;
        if body.is_ok() {
            self.keep(sender);
        }
        match body {
            _ if refused => {
                TaskOutcome::NotRun(format!("endpoint refused with status {status}").into())
            }
            Ok(body) if status.is_success() => TaskOutcome::Done(body.to_bytes()),
            Ok(body) => {
                let bytes = body.to_bytes();
                let text = String::from_utf8_lossy(&bytes[..bytes.len().min(MAX_REASON)]);
                TaskOutcome::Errored(format!("status {}: {text}", status.as_u16()).into())
            }
            Err(e) if e.is::<LengthLimitError>() => {
                TaskOutcome::Errored("result exceeds 1 MiB".into())
            }
            Err(_) if !status.is_success() => {
                TaskOutcome::Errored(format!("status {}", status.as_u16()).into())
            }
            Err(e) => TaskOutcome::Lost(format!("connection broke: {e}").into()),
        }
    }

    fn keep(&self, sender: Sender) {
        if !sender.is_closed() {
            lock(&self.0.idle).push(sender);
        }
    }
}

fn start_request(
    addr: SocketAddr,
    start: Start,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut request = Request::post(start.target.path.as_str())
        .header("host", addr.to_string())
        .header("content-type", "application/json")
        .header("task-id", start.task)
        .header("task-kind", start.kind.as_str());
    if let Some(left) = start.deadline {
        request = request.header("task-deadline-ms", left.as_millis().to_string());
    }
    request.body(Full::new(start.payload))
}

fn ended(id: u64, end: TaskOutcome, began: Instant) -> Completion {
    Completion {
        id,
        outcome: end,
        service_time: began.elapsed(),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
