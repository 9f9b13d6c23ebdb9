//! The caller API over HTTP.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response as HttpResponse;
use salvo::async_trait;
use salvo::http::HeaderValue;
use salvo::http::Method;
use salvo::http::StatusCode;
use salvo::http::header::ALLOW;
use salvo::http::header::AUTHORIZATION;
use salvo::http::header::CONTENT_TYPE;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use sassafras_util::Digest;
use sassafras_util::Name;
use sassafras_wire::JobKey;

use crate::response::Ran;
use crate::response::Response;

const DEFAULT_WAIT: Duration = Duration::from_secs(30);
const MAX_WAIT_MS: u64 = 60_000;
/// Time for a caller to send its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// What a caller wants.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Verb {
    Submit,
    Query,
    Cancel,
}

/// A request on its way to the engine.
#[derive(Debug)]
pub(crate) struct Call {
    pub verb: Verb,
    pub key: JobKey,
    pub token: Digest,
    pub body: Bytes,
    pub wait: Duration,
    pub reply: oneshot::Sender<Response>,
}

/// Hands callers' requests to the engine's loop.
#[derive(Clone, Debug)]
pub(crate) struct Api {
    pub calls: mpsc::Sender<Call>,
    pub max_body: usize,
}

#[async_trait]
impl Handler for Api {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut HttpResponse,
        _ctrl: &mut FlowCtrl,
    ) {
        let response = match self.call(req).await {
            Ok(response) | Err(response) => response,
        };
        render(res, response);
    }
}

impl Api {
    async fn call(&self, req: &mut Request) -> Result<Response, Response> {
        let key = job_key(req.uri().path())?;
        let verb = match *req.method() {
            Method::PUT => Verb::Submit,
            Method::GET => Verb::Query,
            Method::DELETE => Verb::Cancel,
            _ => return Err(bad(405, "method", "accepted: PUT, GET and DELETE")),
        };
        let wait = wait(req.uri().query().unwrap_or(""), verb)?;
        let token = token(req)?;
        let body = if matches!(verb, Verb::Submit) {
            self.body(req).await?
        } else {
            Bytes::new()
        };
        let (reply, response) = oneshot::channel();
        let call = Call {
            verb,
            key,
            token,
            body,
            wait,
            reply,
        };
        let stopping = || bad(503, "draining", "this entry is shutting down");
        self.calls.send(call).await.map_err(|_closed| stopping())?;
        // The loop drops calls without an answer only when the process ends.
        response
            .await
            .map_err(|_dropped| Response::unknown("this entry is shutting down"))
    }

    async fn body(&self, req: &mut Request) -> Result<Bytes, Response> {
        let too_large = || {
            let detail = format!("a body has at most {} bytes", self.max_body);
            bad(413, "body_too_large", &detail)
        };
        let body = Limited::new(req.take_body(), self.max_body);
        let read = tokio::time::timeout(BODY_TIMEOUT, body.collect()).await;
        let read = read.map_err(|_elapsed| bad(408, "body_timeout", "the body came too slowly"))?;
        match read {
            Ok(read) => Ok(read.to_bytes()),
            Err(e) if e.is::<LengthLimitError>() => Err(too_large()),
            Err(e) => Err(bad(400, "malformed", &e.to_string())),
        }
    }
}

/// Reads the path `/v1/teams/{team}/jobs/{job}`.
fn job_key(path: &str) -> Result<JobKey, Response> {
    let mut parts = path.strip_prefix("/v1/teams/").unwrap_or("").split('/');
    let (Some(team), Some("jobs"), Some(job), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(bad(
            404,
            "no_such_path",
            "expected /v1/teams/{team}/jobs/{job}",
        ));
    };
    let checked = Name::checked(team).zip(Name::checked(job));
    let Some((team, job)) = checked else {
        let detail = "names have 1 to 128 characters of A-Z a-z 0-9 . _ -";
        return Err(bad(400, "bad_name", detail));
    };
    Ok(JobKey { team, job })
}

/// Reads the query, in which only `wait_ms` is known.
fn wait(query: &str, verb: Verb) -> Result<Duration, Response> {
    let mut wait = match verb {
        Verb::Query => Duration::ZERO,
        Verb::Submit | Verb::Cancel => DEFAULT_WAIT,
    };
    for pair in query.split('&').filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let ms = value.parse().ok().filter(|ms| *ms <= MAX_WAIT_MS);
        match ms {
            Some(ms) if name == "wait_ms" => wait = Duration::from_millis(ms),
            _ => {
                let detail = format!("the query may have wait_ms, 0 to {MAX_WAIT_MS}");
                return Err(bad(400, "bad_query", &detail));
            }
        }
    }
    Ok(wait)
}

/// Returns the digest of the bearer token.
fn token(req: &Request) -> Result<Digest, Response> {
    let header = req.headers().get(AUTHORIZATION);
    let token = header.and_then(|h| h.as_bytes().strip_prefix(b"Bearer "));
    token
        .map(Digest::of)
        .ok_or_else(|| bad(401, "unauthorized", "unknown team or wrong token"))
}

fn render(res: &mut HttpResponse, response: Response) {
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let kind = if response.is_problem() {
        HeaderValue::from_static("application/problem+json")
    } else {
        HeaderValue::from_static("application/json")
    };
    res.status_code(status);
    res.headers_mut().insert(CONTENT_TYPE, kind);
    if response.status == 405 {
        let methods = HeaderValue::from_static("PUT, GET, DELETE");
        res.headers_mut().insert(ALLOW, methods);
    }
    res.body(response.body);
}

fn bad(status: u16, code: &str, detail: &str) -> Response {
    Response::rejection(status, code, Ran::No, detail)
}
