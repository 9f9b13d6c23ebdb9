//! The HTTP server: tasks, directives, mode and statistics.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rand::RngExt as _;
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use sassafras_runtime::Context;
use sassafras_util::Error;
use sassafras_util::FastMap;

use crate::announce::announce;
use crate::mode::Mode;
use crate::record::Recorder;
use crate::settings::Settings;

const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before a failed announcement is retried, such as while the agent starts.
const ANNOUNCE_RETRY: Duration = Duration::from_millis(100);
/// Delay after an announcement of leaving, in which task starts that the agent has already sent
/// arrive.
const LEAVE_DELAY: Duration = Duration::from_millis(200);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

type HttpResponse = Response<Full<Bytes>>;

/// Fields of a task payload that control the stand-in.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct TaskPayload {
    work_ms: u64,
    fail: bool,
    result_bytes: usize,
}

/// Error that makes the server close the connection without a response.
#[derive(Debug, displaydoc::Display)]
enum ConnectionError {
    /// connection closed without a response
    Dropped,
}

impl std::error::Error for ConnectionError {}

impl From<Infallible> for ConnectionError {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// State shared by all connections.
#[derive(Debug)]
struct Shared {
    settings: Settings,
    ctx: Context,
    started: Instant,
    mode: Mutex<Mode>,
    recorder: Mutex<Recorder>,
    /// Stop signals of running tasks, by task id.
    stops: Mutex<FastMap<String, oneshot::Sender<()>>>,
    /// Method and path of each directive received.
    directives: Mutex<Vec<String>>,
}

/// Runs the stand-in until a stop is requested, and then waits for the running tasks up to the
/// drain time-out.
///
/// # Errors
///
/// Returns an error if the listener or the record file cannot be opened.
pub async fn run(settings: Settings, ctx: Context) -> Result<(), Error> {
    let listener = TcpListener::bind(settings.listen)
        .await
        .map_err(|e| Error::from(e).context(format!("listener {}", settings.listen)))?;
    let bound = listener.local_addr()?;
    let shared = Arc::new(Shared {
        started: ctx.clock.now(),
        mode: Mutex::new(settings.mode.clone()),
        recorder: Mutex::new(Recorder::open(settings.record_file.as_deref())?),
        stops: Mutex::default(),
        directives: Mutex::default(),
        ctx: ctx.clone(),
        settings,
    });
    slog::info!(ctx.log, "listening"; "address" => %bound, "agent" => %shared.settings.agent);
    let server = tokio::spawn(accept_connections(Arc::clone(&shared), listener));
    let mut stop = ctx.stop.clone();
    let announcing = async {
        loop {
            let accepted = announce(&shared.settings, bound, false).await;
            let delay = if accepted {
                ANNOUNCE_INTERVAL
            } else {
                ANNOUNCE_RETRY
            };
            tokio::time::sleep(delay).await;
        }
    };
    tokio::select! {
        () = announcing => {}
        () = stop.wait() => {}
    }
    drain(&shared, bound).await;
    server.abort();
    Ok(())
}

/// Announces that the stand-in is leaving, and waits for the running tasks up to the drain
/// time-out.
async fn drain(shared: &Shared, bound: std::net::SocketAddr) {
    let deadline = Instant::now() + shared.settings.drain_timeout;
    let mut next_announcement = Instant::now();
    loop {
        if Instant::now() >= next_announcement {
            announce(&shared.settings, bound, true).await;
            tokio::time::sleep(LEAVE_DELAY).await;
            next_announcement = Instant::now() + ANNOUNCE_INTERVAL;
        }
        if lock(&shared.recorder).stats().running == 0 || Instant::now() >= deadline {
            // Leaves time for the last responses to be written.
            tokio::time::sleep(POLL_INTERVAL).await;
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn accept_connections(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        };
        drop(stream.set_nodelay(true));
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let service = service_fn(|request| handle_request(Arc::clone(&shared), request));
            let http = hyper::server::conn::http1::Builder::new();
            // Connection errors are expected: failure modes close connections.
            drop(http.serve_connection(TokioIo::new(stream), service).await);
        });
    }
}

async fn handle_request(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<HttpResponse, ConnectionError> {
    let path = request.uri().path().to_owned();
    let task_path = shared.settings.path.clone();
    match (request.method().clone(), path.as_str()) {
        (Method::POST, p) if p == task_path => start_task(shared, request).await,
        (Method::PUT, "/mode") => Ok(set_mode(&shared, request).await),
        (Method::GET, "/mode") => {
            let mode = serde_json::to_string(&*lock(&shared.mode)).unwrap_or_default();
            Ok(respond(StatusCode::OK, mode))
        }
        (Method::GET, "/starts") => {
            Ok(respond(StatusCode::OK, lock(&shared.recorder).json_lines()))
        }
        (Method::GET, "/directives") => {
            Ok(respond(StatusCode::OK, lock(&shared.directives).join("\n")))
        }
        (Method::GET, "/stats") => {
            let stats = lock(&shared.recorder).stats();
            Ok(respond(
                StatusCode::OK,
                serde_json::to_string(&stats).unwrap_or_default(),
            ))
        }
        (method, p) => match p.strip_prefix(&format!("{task_path}/")) {
            Some(rest) => Ok(handle_directive(&shared, &method, rest)),
            None => Ok(respond(StatusCode::NOT_FOUND, "no such resource")),
        },
    }
}

async fn start_task(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<HttpResponse, ConnectionError> {
    let id = request
        .headers()
        .get("task-id")
        .and_then(|v| v.to_str().ok())
        .unwrap_or("")
        .to_owned();
    let Ok(body) = request.into_body().collect().await else {
        return Err(ConnectionError::Dropped);
    };
    let body = body.to_bytes();
    let mode = lock(&shared.mode).clone();
    if with_probability(mode.refuse_rate) {
        let mut refusal = respond(StatusCode::SERVICE_UNAVAILABLE, "refused");
        refusal
            .headers_mut()
            .insert("task-ran", hyper::header::HeaderValue::from_static("false"));
        return Ok(refusal);
    }
    let index = lock(&shared.recorder).record_start(&id, shared.ctx.clock.unix_ms());
    // A spawned task keeps running when the agent's connection breaks, as on a real endpoint.
    let run = tokio::spawn(run_task(Arc::clone(&shared), id, index, body, mode));
    run.await.unwrap_or(Err(ConnectionError::Dropped))
}

async fn run_task(
    shared: Arc<Shared>,
    id: String,
    index: usize,
    body: Bytes,
    mode: Mode,
) -> Result<HttpResponse, ConnectionError> {
    let payload: TaskPayload = serde_json::from_slice(&body).unwrap_or_default();
    let record_end = |outcome: &str| {
        lock(&shared.stops).remove(&id);
        lock(&shared.recorder).record_end(index, shared.ctx.clock.unix_ms(), outcome);
    };
    if with_probability(mode.drop_rate) {
        record_end("dropped");
        return Err(ConnectionError::Dropped);
    }
    if payload.fail || with_probability(mode.fail_rate) {
        record_end("failed");
        return Ok(respond(
            StatusCode::INTERNAL_SERVER_ERROR,
            "failed on request",
        ));
    }
    let (stop, stopped) = oneshot::channel();
    lock(&shared.stops).insert(id.clone(), stop);
    let uptime = shared.ctx.clock.now() - shared.started;
    let run_time = mode.run_time(Duration::from_millis(payload.work_ms), uptime);
    let hang = with_probability(mode.hang_rate);
    let work = async {
        if hang {
            std::future::pending::<()>().await;
        }
        if !run_time.is_zero() {
            tokio::time::sleep(run_time).await;
        }
    };
    let outcome = tokio::select! {
        () = work => "done",
        _ = stopped => "stopped",
    };
    record_end(outcome);
    if outcome == "stopped" {
        return Ok(respond(StatusCode::CONFLICT, "stopped"));
    }
    Ok(respond(
        StatusCode::OK,
        task_result(&id, &body, payload.result_bytes),
    ))
}

/// Returns a result that repeats the task id and the payload, so that results can be told apart.
fn task_result(id: &str, payload: &[u8], padding: usize) -> String {
    #[derive(serde::Serialize)]
    struct Reply<'a> {
        task: &'a str,
        payload: Option<&'a RawValue>,
        #[serde(skip_serializing_if = "String::is_empty")]
        padding: String,
    }
    let reply = Reply {
        task: id,
        payload: serde_json::from_slice(payload).ok(),
        padding: "x".repeat(padding),
    };
    serde_json::to_string(&reply).unwrap_or_default()
}

async fn set_mode(shared: &Shared, request: Request<Incoming>) -> HttpResponse {
    let Ok(body) = request.into_body().collect().await else {
        return respond(StatusCode::BAD_REQUEST, "body cut short");
    };
    let mode: Mode = match serde_json::from_slice(&body.to_bytes()) {
        Ok(mode) => mode,
        Err(e) => return respond(StatusCode::BAD_REQUEST, e.to_string()),
    };
    if let Err(reason) = mode.validate() {
        return respond(StatusCode::BAD_REQUEST, reason);
    }
    *lock(&shared.mode) = mode;
    respond(StatusCode::NO_CONTENT, "")
}

fn handle_directive(shared: &Shared, method: &Method, rest: &str) -> HttpResponse {
    let settings = &shared.settings;
    let supported = match (method, rest.rsplit_once('/').map(|(_, action)| action)) {
        (&Method::DELETE, _) => settings.stop,
        (&Method::POST, Some("checkpoint")) => settings.checkpoint,
        (&Method::POST, Some("throttle")) => settings.throttle,
        _ => false,
    };
    if !supported {
        return respond(StatusCode::NOT_FOUND, "not supported");
    }
    lock(&shared.directives).push(format!("{method} {rest}"));
    if method == Method::DELETE {
        let Some(stop) = lock(&shared.stops).remove(rest) else {
            return respond(StatusCode::NOT_FOUND, "not running");
        };
        // The send fails only if the task has just ended.
        let _ = stop.send(());
    }
    respond(StatusCode::NO_CONTENT, "")
}

fn respond(status: StatusCode, body: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

fn with_probability(rate: f64) -> bool {
    rate > 0.0 && rand::rng().random_bool(rate)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
