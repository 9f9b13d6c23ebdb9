//! HTTP responses to callers: job results, and problem details (RFC 9457).

use bytes::Bytes;
use serde::Serialize;
use serde_json::value::RawValue;

/// Whether tasks of a job were run: the member `ran` of a problem.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ran {
    /// Tasks were started, or may have been.
    Yes,
    /// No task was started and none will be.
    No,
    /// Unknown; the caller should repeat the request under the same job name.
    Unknown,
}

impl Ran {
    fn to_json(self) -> serde_json::Value {
        match self {
            Self::Yes => true.into(),
            Self::No => false.into(),
            Self::Unknown => "unknown".into(),
        }
    }
}

/// An HTTP response to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: Bytes,
}

/// Reason for rejecting a job before this submission claimed it.
#[derive(Clone, Debug)]
pub(crate) struct Rejection {
    /// HTTP status.
    pub status: u16,
    /// Machine-readable reason, stable across versions.
    pub code: &'static str,
    /// Human-readable explanation.
    pub detail: String,
}

impl Rejection {
    pub(crate) fn new(status: u16, code: &'static str, detail: impl Into<String>) -> Self {
        let detail = detail.into();
        Self {
            status,
            code,
            detail,
        }
    }

    /// Returns the response; `ran` covers earlier submissions of the same job.
    pub(crate) fn response(&self, ran: Ran) -> Response {
        Response::rejected(self.status, self.code, ran, &self.detail)
    }
}

#[derive(Serialize)]
struct Problem<'a> {
    #[serde(rename = "type")]
    kind: &'static str,
    title: &'a str,
    status: u16,
    code: &'a str,
    ran: serde_json::Value,
    #[serde(skip_serializing_if = "str::is_empty")]
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    outcome: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<&'a str>,
}

impl Response {
    /// Returns whether the body is `application/problem+json`.
    pub fn is_problem(&self) -> bool {
        self.status >= 400
    }

    /// Creates the response that rejects a request.
    pub fn rejected(status: u16, code: &str, ran: Ran, detail: &str) -> Self {
        Self::problem(status, code, ran, detail, None)
    }

    /// Creates the response of a job that failed or was cancelled, from its recorded reason.
    pub fn failed(reason: &str, never_started: bool) -> Self {
        let status = match reason {
            "deadline" => 504,
            "cancelled" | "answer_expired" => 410,
            _ => 502,
        };
        let ran = if never_started { Ran::No } else { Ran::Yes };
        Self::problem(status, reason, ran, "", Some(reason))
    }

    /// Creates the response when a job may have been claimed or run, but its state is unknown.
    pub fn unknown(detail: &str) -> Self {
        Self::rejected(503, "unknown", Ran::Unknown, detail)
    }

    /// Creates the response of a job that has not ended.
    pub fn running() -> Self {
        Self {
            status: 202,
            body: Bytes::from_static(br#"{"outcome":"running"}"#),
        }
    }

    /// Creates the response of a complete job from the results in task order.
    pub fn complete<'a>(job: &str, results: impl Iterator<Item = &'a Bytes> + Clone) -> Self {
        let capacity: usize = results.clone().map(|r| r.len() + 32).sum();
        let mut body = Vec::with_capacity(capacity + 64 + job.len());
        body.extend_from_slice(br#"{"outcome":"complete","job":""#);
        // The characters of names need no escapes in JSON.
        body.extend_from_slice(job.as_bytes());
        body.extend_from_slice(br#"","results":["#);
        for (index, result) in results.enumerate() {
            if index > 0 {
                body.push(b',');
            }
            body.extend_from_slice(br#"{"index":"#);
            body.extend_from_slice(index.to_string().as_bytes());
            body.extend_from_slice(br#","payload":"#);
            write_payload(&mut body, result);
            body.push(b'}');
        }
        body.extend_from_slice(b"]}");
        Self {
            status: 200,
            body: body.into(),
        }
    }

    fn problem(status: u16, code: &str, ran: Ran, detail: &str, reason: Option<&str>) -> Self {
        let problem = Problem {
            kind: "about:blank",
            title: status_title(status),
            status,
            code,
            ran: ran.to_json(),
            detail,
            outcome: reason.map(|_| "failed"),
            reason,
        };
        // Serializing strings and numbers into memory cannot fail.
        let body = serde_json::to_vec(&problem).unwrap_or_default();
        Self {
            status,
            body: body.into(),
        }
    }
}

/// Appends a result: valid JSON unchanged, anything else as a JSON string.
fn write_payload(body: &mut Vec<u8>, result: &Bytes) {
    if serde_json::from_slice::<&RawValue>(result).is_ok() {
        body.extend_from_slice(result);
    } else {
        let text = String::from_utf8_lossy(result);
        body.extend_from_slice(&serde_json::to_vec(&text).unwrap_or_default());
    }
}

fn status_title(status: u16) -> &'static str {
    match status {
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        410 => "Gone",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        502 => "Bad Gateway",
        504 => "Gateway Timeout",
        _ => "Service Unavailable",
    }
}
