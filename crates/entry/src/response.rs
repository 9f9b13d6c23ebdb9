//! Answers to callers: whole results, and problems as RFC 9457 describes them.

use bytes::Bytes;
use serde::Serialize;
use serde_json::value::RawValue;

/// Whether tasks of a job were run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ran {
    /// Tasks were started, or may have been.
    Yes,
    /// No task was started and none will be.
    No,
    /// It is not known; the caller asks again under the same name.
    Unknown,
}

impl Ran {
    fn json(self) -> serde_json::Value {
        match self {
            Self::Yes => true.into(),
            Self::No => false.into(),
            Self::Unknown => "unknown".into(),
        }
    }
}

/// An answer to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: Bytes,
}

/// Why an entry does not take a job, before anything of this submission was claimed.
#[derive(Clone, Debug)]
pub(crate) struct Rejection {
    /// HTTP status.
    pub status: u16,
    /// Stable code of the reason.
    pub code: &'static str,
    /// Explanation for people.
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

    /// Returns the answer, with what is known about earlier submissions of the same job.
    pub(crate) fn response(&self, ran: Ran) -> Response {
        Response::rejection(self.status, self.code, ran, &self.detail)
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
    /// Tells whether the body is problem+json.
    pub fn is_problem(&self) -> bool {
        self.status >= 400
    }

    /// A refusal of a request.
    pub fn rejection(status: u16, code: &str, ran: Ran, detail: &str) -> Self {
        Self::problem(status, code, ran, detail, None)
    }

    /// The answer of a job that failed or was cancelled, from the reason on record.
    pub fn failed(reason: &str, never_started: bool) -> Self {
        let status = match reason {
            "deadline" => 504,
            "cancelled" | "answer_expired" => 410,
            _ => 502,
        };
        let ran = if never_started { Ran::No } else { Ran::Yes };
        Self::problem(status, reason, ran, "", Some(reason))
    }

    /// A refusal after something was sent whose effect is not known.
    pub fn unknown(detail: &str) -> Self {
        Self::rejection(503, "unknown", Ran::Unknown, detail)
    }

    /// The state of a job that has no answer yet.
    pub fn running() -> Self {
        Self {
            status: 202,
            body: Bytes::from_static(br#"{"outcome":"running"}"#),
        }
    }

    /// The answer of a complete job, with the results in task order.
    pub fn complete<'a>(job: &str, results: impl Iterator<Item = &'a Bytes> + Clone) -> Self {
        let size: usize = results.clone().map(|r| r.len() + 32).sum();
        let mut body = Vec::with_capacity(size + 64 + job.len());
        body.extend_from_slice(br#"{"outcome":"complete","job":""#);
        // Names need no escapes in JSON.
        body.extend_from_slice(job.as_bytes());
        body.extend_from_slice(br#"","results":["#);
        for (index, result) in results.enumerate() {
            if index > 0 {
                body.push(b',');
            }
            body.extend_from_slice(br#"{"index":"#);
            body.extend_from_slice(index.to_string().as_bytes());
            body.extend_from_slice(br#","payload":"#);
            put_payload(&mut body, result);
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
            title: title(status),
            status,
            code,
            ran: ran.json(),
            detail,
            outcome: reason.map(|_| "failed"),
            reason,
        };
        // Serializing strings and numbers to memory cannot fail.
        let body = serde_json::to_vec(&problem).unwrap_or_default();
        Self {
            status,
            body: body.into(),
        }
    }
}

/// Appends a result: JSON as it is, and anything else as a string.
fn put_payload(body: &mut Vec<u8>, result: &Bytes) {
    if serde_json::from_slice::<&RawValue>(result).is_ok() {
        body.extend_from_slice(result);
    } else {
        let text = String::from_utf8_lossy(result);
        body.extend_from_slice(&serde_json::to_vec(&text).unwrap_or_default());
    }
}

fn title(status: u16) -> &'static str {
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
