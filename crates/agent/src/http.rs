//! HTTP/1.1 client of the endpoint: starts tasks and sends directives on a bounded connection pool.
//!
//! No request is sent twice. If a pooled connection turns out to be closed, the request moves to
//! another connection only if hyper returns it, which hyper does only if it has written no part of
//! it.

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

/// Maximum size of a task's result.
const MAX_RESULT_BYTES: usize = 1024 * 1024;
/// Time limit for opening a connection to the endpoint, which is on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for a directive, from waiting for a connection to the end of the response.
const DIRECTIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum part of an error response's body that is kept as the reason.
const MAX_REASON_BYTES: usize = 200;

type Sender = SendRequest<Full<Bytes>>;

/// A bounded pool of connections to one address of the endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Pool(Arc<PoolInner>);

#[derive(Debug)]
struct PoolInner {
    addr: SocketAddr,
    size: Mutex<u32>,
    permits: Semaphore,
    idle: Mutex<Vec<Sender>>,
}

/// Why a request got no response.
enum RequestError {
    /// No part of the request was sent.
    Unsent(String),
    /// The endpoint may have received the request.
    Interrupted(String),
}

impl Pool {
    pub(crate) fn new(addr: SocketAddr, connections: u32) -> Self {
        Self(Arc::new(PoolInner {
            addr,
            size: Mutex::new(connections),
            permits: Semaphore::new(connections as usize),
            idle: Mutex::default(),
        }))
    }

    /// Changes the maximum number of connections. A lower limit takes effect as running requests
    /// end.
    pub(crate) fn resize(&self, connections: u32) {
        let old = std::mem::replace(&mut *lock(&self.0.size), connections);
        if connections > old {
            self.0.permits.add_permits((connections - old) as usize);
        } else if connections < old {
            lock(&self.0.idle).clear();
            let inner = Arc::clone(&self.0);
            tokio::spawn(async move {
                if let Ok(permits) = inner.permits.acquire_many(old - connections).await {
                    permits.forget();
                }
            });
        }
    }

    /// Starts a task and waits for its outcome.
    pub(crate) async fn start(&self, start: Start) -> Completion {
        let Ok(_permit) = self.0.permits.acquire().await else {
            return completion(
                start.id,
                TaskOutcome::NotRun("endpoint replaced".into()),
                Instant::now(),
            );
        };
        let started_at = Instant::now();
        let id = start.id;
        let request = match start_request(self.0.addr, start) {
            Ok(request) => request,
            Err(e) => return completion(id, TaskOutcome::NotRun(e.to_string().into()), started_at),
        };
        let outcome = match self.send_request(request).await {
            Ok((sender, response)) => self.read_outcome(sender, response).await,
            Err(RequestError::Unsent(reason)) => TaskOutcome::NotRun(reason.into()),
            Err(RequestError::Interrupted(reason)) => TaskOutcome::Lost(reason.into()),
        };
        completion(id, outcome, started_at)
    }

    /// Sends a directive to the endpoint. Its effect shows in the outcome of the task.
    pub(crate) async fn send_directive(&self, directive: TaskDirective) {
        let path = &directive.target.path;
        let task = &directive.task;
        let request = match directive.action {
            DirectiveAction::Stop => Request::delete(format!("{path}/{task}")),
            DirectiveAction::Checkpoint => Request::post(format!("{path}/{task}/checkpoint")),
            DirectiveAction::Throttle => Request::post(format!("{path}/{task}/throttle")),
        };
        let request = request
            .header("host", self.0.addr.to_string())
            .body(Full::default());
        let Ok(request) = request else { return };
        let send = async {
            let _permit = self.0.permits.acquire().await.ok()?;
            let (sender, response) = self.send_request(request).await.ok()?;
            let body = Limited::new(response.into_body(), MAX_RESULT_BYTES)
                .collect()
                .await;
            body.ok().map(|_| self.put_idle(sender))
        };
        let delivered = matches!(timeout(DIRECTIVE_TIMEOUT, send).await, Ok(Some(())));
        metrics::counter!("agent_directives", "carried" => delivered.to_string()).increment(1);
    }

    /// Sends a request on a pooled or a new connection and waits for the response's head.
    async fn send_request(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Sender, Response<Incoming>), RequestError> {
        loop {
            let (mut sender, reused) = match self.take_idle().await {
                Some(sender) => (sender, true),
                None => (self.connect().await?, false),
            };
            let mut error = match sender.try_send_request(request).await {
                Ok(response) => return Ok((sender, response)),
                Err(error) => error,
            };
            let reason = error.error().to_string();
            match error.take_message() {
                Some(unsent) if reused => request = unsent,
                Some(_) => {
                    return Err(RequestError::Unsent(format!("connection closed: {reason}")));
                }
                None => {
                    return Err(RequestError::Interrupted(format!(
                        "connection broke: {reason}"
                    )));
                }
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

    async fn connect(&self) -> Result<Sender, RequestError> {
        let addr = self.0.addr;
        let unsent =
            |e: &dyn std::fmt::Display| RequestError::Unsent(format!("connect {addr}: {e}"));
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

    /// Reads the response to a task start and derives the task's outcome.
    async fn read_outcome(&self, sender: Sender, response: Response<Incoming>) -> TaskOutcome {
        let status = response.status();
        let refused = matches!(
            status,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
        ) && response
            .headers()
            .get("task-ran")
            .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"false"));
        let body = Limited::new(response.into_body(), MAX_RESULT_BYTES)
            .collect()
            .await;
        if body.is_ok() {
            self.put_idle(sender);
        }
        match body {
            _ if refused => {
                TaskOutcome::NotRun(format!("endpoint refused with status {status}").into())
            }
            Ok(body) if status.is_success() => TaskOutcome::Done(body.to_bytes()),
            Ok(body) => {
                let bytes = body.to_bytes();
                let text = String::from_utf8_lossy(&bytes[..bytes.len().min(MAX_REASON_BYTES)]);
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

    /// Returns a connection to the pool unless it is closed.
    fn put_idle(&self, sender: Sender) {
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
    if let Some(remaining) = start.deadline {
        request = request.header("task-deadline-ms", remaining.as_millis().to_string());
    }
    request.body(Full::new(start.payload))
}

fn completion(id: u64, outcome: TaskOutcome, started_at: Instant) -> Completion {
    Completion {
        id,
        outcome,
        service_time: started_at.elapsed(),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
