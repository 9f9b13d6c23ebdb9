//! The HTTP server: tasks, directives and the run-time controls.

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

const ANNOUNCE_EVERY: Duration = Duration::from_secs(1);
/// Pause after an announcement that failed, such as while the agent starts.
const ANNOUNCE_RETRY: Duration = Duration::from_millis(100);
/// Pause between an announcement of leaving and the end, for starts already on their way.
const LINGER: Duration = Duration::from_millis(200);
const POLL: Duration = Duration::from_millis(20);

type Answer = Response<Full<Bytes>>;

/// What the payload of a task may ask of the stand-in.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Ask {
    work_ms: u64,
    fail: bool,
    result_bytes: usize,
}

/// A connection that is closed instead of answered.
#[derive(Debug, displaydoc::Display)]
enum Closed {
    /// closed without an answer
    Dropped,
}

impl std::error::Error for Closed {}

impl From<Infallible> for Closed {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    ctx: Context,
    born: Instant,
    mode: Mutex<Mode>,
    recorder: Mutex<Recorder>,
    stops: Mutex<FastMap<String, oneshot::Sender<()>>>,
    directives: Mutex<Vec<String>>,
}

/// Runs the stand-in until a stop is asked for and the running tasks have ended.
///
/// # Errors
///
/// Fails when the listener or the record file cannot be opened.
pub async fn run(settings: Settings, ctx: Context) -> Result<(), Error> {
    let listener = TcpListener::bind(settings.listen)
        .await
        .map_err(|e| Error::from(e).context(format!("listener {}", settings.listen)))?;
    let bound = listener.local_addr()?;
    let shared = Arc::new(Shared {
        born: ctx.clock.now(),
        mode: Mutex::new(settings.mode.clone()),
        recorder: Mutex::new(Recorder::open(settings.record.as_deref())?),
        stops: Mutex::default(),
        directives: Mutex::default(),
        ctx: ctx.clone(),
        settings,
    });
    slog::info!(ctx.log, "stand-in started"; "address" => %bound, "agent" => %shared.settings.agent);
    let server = tokio::spawn(accept(Arc::clone(&shared), listener));
    let mut stop = ctx.stop.clone();
    let announcing = async {
        loop {
            let known = announce(&shared.settings, bound, false).await;
            let pause = if known {
                ANNOUNCE_EVERY
            } else {
                ANNOUNCE_RETRY
            };
            tokio::time::sleep(pause).await;
        }
    };
    tokio::select! {
        () = announcing => {}
        () = stop.wait() => {}
    }
    leave(&shared, bound).await;
    server.abort();
    Ok(())
}

/// Announces that the stand-in leaves, and waits for the running tasks.
async fn leave(shared: &Shared, bound: std::net::SocketAddr) {
    let until = Instant::now() + shared.settings.drain;
    let mut next = Instant::now();
    loop {
        if Instant::now() >= next {
            announce(&shared.settings, bound, true).await;
            tokio::time::sleep(LINGER).await;
            next = Instant::now() + ANNOUNCE_EVERY;
        }
        if lock(&shared.recorder).stats().running == 0 || Instant::now() >= until {
            // Lets the last answers reach the sockets.
            tokio::time::sleep(POLL).await;
            return;
        }
        tokio::time::sleep(POLL).await;
    }
}

async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(POLL).await;
            continue;
        };
        drop(stream.set_nodelay(true));
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let service = service_fn(|request| answer(Arc::clone(&shared), request));
            let http = hyper::server::conn::http1::Builder::new();
            // A connection closed by either side is part of the failure modes.
            drop(http.serve_connection(TokioIo::new(stream), service).await);
        });
    }
}

async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Result<Answer, Closed> {
    let path = request.uri().path().to_owned();
    let tasks = shared.settings.path.clone();
    match (request.method().clone(), path.as_str()) {
        (Method::POST, p) if p == tasks => start(shared, request).await,
        (Method::PUT, "/mode") => Ok(set_mode(&shared, request).await),
        (Method::GET, "/mode") => {
            let mode = serde_json::to_string(&*lock(&shared.mode)).unwrap_or_default();
            Ok(respond(StatusCode::OK, mode))
        }
        (Method::GET, "/starts") => Ok(respond(StatusCode::OK, lock(&shared.recorder).lines())),
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
        (method, p) => match p.strip_prefix(&format!("{tasks}/")) {
            Some(rest) => Ok(directive(&shared, &method, rest)),
            None => Ok(respond(StatusCode::NOT_FOUND, "no such resource")),
        },
    }
}

async fn start(shared: Arc<Shared>, request: Request<Incoming>) -> Result<Answer, Closed> {
    let id = request
        .headers()
        .get("task-id")
        .and_then(|v| v.to_str().ok())
        .unwrap_or("")
        .to_owned();
    let Ok(body) = request.into_body().collect().await else {
        return Err(Closed::Dropped);
    };
    let body = body.to_bytes();
    let mode = lock(&shared.mode).clone();
    if chance(mode.refuse_rate) {
        let mut refusal = respond(StatusCode::SERVICE_UNAVAILABLE, "refused");
        refusal
            .headers_mut()
            .insert("task-ran", hyper::header::HeaderValue::from_static("false"));
        return Ok(refusal);
    }
    let number = lock(&shared.recorder).start(&id, shared.ctx.clock.unix_ms());
    // The work goes on when the agent's connection breaks, as on a real endpoint.
    let work = tokio::spawn(work(Arc::clone(&shared), id, number, body, mode));
    work.await.unwrap_or(Err(Closed::Dropped))
}

async fn work(
    shared: Arc<Shared>,
    id: String,
    number: usize,
    body: Bytes,
    mode: Mode,
) -> Result<Answer, Closed> {
    let ask: Ask = serde_json::from_slice(&body).unwrap_or_default();
    let end = |outcome: &str| {
        lock(&shared.stops).remove(&id);
        lock(&shared.recorder).end(number, shared.ctx.clock.unix_ms(), outcome);
    };
    if chance(mode.drop_rate) {
        end("dropped");
        return Err(Closed::Dropped);
    }
    if ask.fail || chance(mode.fail_rate) {
        end("failed");
        return Ok(respond(
            StatusCode::INTERNAL_SERVER_ERROR,
            "failed on request",
        ));
    }
    let (stop, stopped) = oneshot::channel();
    lock(&shared.stops).insert(id.clone(), stop);
    let age = shared.ctx.clock.now() - shared.born;
    let run_time = mode.run_time(Duration::from_millis(ask.work_ms), age);
    let hang = chance(mode.hang_rate);
    let working = async {
        if hang {
            std::future::pending::<()>().await;
        }
        if !run_time.is_zero() {
            tokio::time::sleep(run_time).await;
        }
    };
    let outcome = tokio::select! {
        () = working => "done",
        _ = stopped => "stopped",
    };
    end(outcome);
    if outcome == "stopped" {
        return Ok(respond(StatusCode::CONFLICT, "stopped"));
    }
    Ok(respond(
        StatusCode::OK,
        result(&id, &body, ask.result_bytes),
    ))
}

/// Returns the task's name and its payload, so that a reader can tell answers apart.
fn result(id: &str, payload: &[u8], padding: usize) -> String {
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

async fn set_mode(shared: &Shared, request: Request<Incoming>) -> Answer {
    let Ok(body) = request.into_body().collect().await else {
        return respond(StatusCode::BAD_REQUEST, "body cut short");
    };
    let mode: Mode = match serde_json::from_slice(&body.to_bytes()) {
        Ok(mode) => mode,
        Err(e) => return respond(StatusCode::BAD_REQUEST, e.to_string()),
    };
    if let Err(reason) = mode.check() {
        return respond(StatusCode::BAD_REQUEST, reason);
    }
    *lock(&shared.mode) = mode;
    respond(StatusCode::NO_CONTENT, "")
}

fn directive(shared: &Shared, method: &Method, rest: &str) -> Answer {
    let settings = &shared.settings;
    let supported = match (method, rest.rsplit_once('/').map(|(_, verb)| verb)) {
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
        // Fails only when the task has just ended.
        let _ = stop.send(());
    }
    respond(StatusCode::NO_CONTENT, "")
}

fn respond(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

fn chance(rate: f64) -> bool {
    rate > 0.0 && rand::rng().random_bool(rate)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
