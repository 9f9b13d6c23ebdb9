//! The HTTP API for callers.

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

/// Wait for the end of a job when a submission or cancellation has no `wait_ms`.
const DEFAULT_WAIT: Duration = Duration::from_secs(30);
/// Largest accepted `wait_ms`.
const MAX_WAIT_MS: u64 = 60_000;
/// Time in which a caller has to send the request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Operation on a job, from the HTTP method.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Operation {
    Submit,
    Query,
    Cancel,
}

/// A parsed request on its way to the event loop.
#[derive(Debug)]
pub(crate) struct Call {
    pub operation: Operation,
    pub key: JobKey,
    pub token: Digest,
    pub body: Bytes,
    pub wait: Duration,
    pub reply: oneshot::Sender<Response>,
}

/// Handler that passes parsed requests to the event loop and waits for the response.
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
        let response = match self.process(req).await {
            Ok(response) | Err(response) => response,
        };
        write_response(res, response);
    }
}

impl Api {
    async fn process(&self, req: &mut Request) -> Result<Response, Response> {
        let key = parse_job_key(req.uri().path())?;
        let operation = match *req.method() {
            Method::PUT => Operation::Submit,
            Method::GET => Operation::Query,
            Method::DELETE => Operation::Cancel,
            _ => return Err(decline(405, "method", "method must be PUT, GET or DELETE")),
        };
        let wait = parse_wait(req.uri().query().unwrap_or(""), operation)?;
        let token = token_digest(req)?;
        let body = if matches!(operation, Operation::Submit) {
            self.read_body(req).await?
        } else {
            Bytes::new()
        };
        let (reply, response) = oneshot::channel();
        let call = Call {
            operation,
            key,
            token,
            body,
            wait,
            reply,
        };
        // The event loop takes no call, or drops one without a response, only when the process
        // stops. It may have left jobs behind, and no longer asks control about this one.
        let ending = || Response::unknown("this entry is shutting down");
        self.calls.send(call).await.map_err(|_closed| ending())?;
        response.await.map_err(|_dropped| ending())
    }

    async fn read_body(&self, req: &mut Request) -> Result<Bytes, Response> {
        let too_large = || {
            let detail = format!("request body is larger than {} bytes", self.max_body);
            decline(413, "body_too_large", &detail)
        };
        let body = Limited::new(req.take_body(), self.max_body);
        let read = tokio::time::timeout(BODY_TIMEOUT, body.collect()).await;
        let read = read.map_err(|_elapsed| {
            decline(408, "body_timeout", "request body was not received in time")
        })?;
        match read {
            Ok(read) => Ok(read.to_bytes()),
            Err(e) if e.is::<LengthLimitError>() => Err(too_large()),
            Err(e) => Err(decline(400, "malformed", &e.to_string())),
        }
    }
}

/// Parses the path `/v1/teams/{team}/jobs/{job}`.
fn parse_job_key(path: &str) -> Result<JobKey, Response> {
    let mut segments = path.strip_prefix("/v1/teams/").unwrap_or("").split('/');
    let (Some(team), Some("jobs"), Some(job), None) = (
        segments.next(),
        segments.next(),
        segments.next(),
        segments.next(),
    ) else {
        return Err(reject(
            404,
            "no_such_path",
            "path must be /v1/teams/{team}/jobs/{job}",
        ));
    };
    let names = Name::checked(team).zip(Name::checked(job));
    let Some((team, job)) = names else {
        let detail = "team and job names must be 1 to 128 characters from A-Z a-z 0-9 . _ -";
        return Err(reject(400, "bad_name", detail));
    };
    Ok(JobKey { team, job })
}

/// Parses the query string, whose only parameter is `wait_ms`.
fn parse_wait(query: &str, operation: Operation) -> Result<Duration, Response> {
    let mut wait = match operation {
        Operation::Query => Duration::ZERO,
        Operation::Submit | Operation::Cancel => DEFAULT_WAIT,
    };
    for pair in query.split('&').filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let ms = value.parse().ok().filter(|ms| *ms <= MAX_WAIT_MS);
        match ms {
            Some(ms) if name == "wait_ms" => wait = Duration::from_millis(ms),
            _ => {
                let detail = format!("wait_ms from 0 to {MAX_WAIT_MS} is the only query parameter");
                return Err(decline(400, "bad_query", &detail));
            }
        }
    }
    Ok(wait)
}

/// Returns the digest of the bearer token in the `Authorization` header.
fn token_digest(req: &Request) -> Result<Digest, Response> {
    let header = req.headers().get(AUTHORIZATION);
    let token = header.and_then(|h| h.as_bytes().strip_prefix(b"Bearer "));
    token
        .map(Digest::of)
        .ok_or_else(|| decline(401, "unauthorized", "unknown team or invalid token"))
}

fn write_response(res: &mut HttpResponse, response: Response) {
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let content_type = if response.is_problem() {
        HeaderValue::from_static("application/problem+json")
    } else {
        HeaderValue::from_static("application/json")
    };
    res.status_code(status);
    res.headers_mut().insert(CONTENT_TYPE, content_type);
    if response.status == 405 {
        let methods = HeaderValue::from_static("PUT, GET, DELETE");
        res.headers_mut().insert(ALLOW, methods);
    }
    res.body(response.body);
}

/// Rejects a request that names no possible job.
fn reject(status: u16, code: &str, detail: &str) -> Response {
    Response::rejected(status, code, Ran::No, detail)
}

/// Rejects a request without a look at its job, which an earlier request may have started.
fn decline(status: u16, code: &str, detail: &str) -> Response {
    Response::rejected(status, code, Ran::Unknown, detail)
}
