//! Checks that a running entry rejects invalid requests with the right code and `ran`, and
//! claims nothing for them; control is scripted, and its only agent is unreachable.

mod simulation {
    pub mod control;
}

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use sassafras_config::IniDoc;
use sassafras_entry::Settings;
use sassafras_proxy::free_addr;
use sassafras_runtime::Context;
use sassafras_runtime::Net;
use sassafras_runtime::NetEvent;
use sassafras_runtime::StopHandle;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::ClusterKey;
use sassafras_wire::NodeRef;
use sassafras_wire::proto;
use sassafras_wire::proto::Frame;
use sassafras_wire::proto::Role;

use crate::simulation::control::Control;
use crate::simulation::control::TOKEN;

const KEY: &[u8] = b"0123456789abcdef";
const JOB: &str = "/v1/teams/shop/jobs/j";
const VALID_BODY: &str = r#"{"tasks":[{"payload":{"n":1}}]}"#;

/// Runs a control member that lists one unreachable agent, and forwards the claims it receives.
async fn start_control(claims: mpsc::UnboundedSender<proto::Claim>) -> SocketAddr {
    let node = NodeRef {
        name: Name::from("c1"),
        incarnation: 1,
    };
    let log = sassafras_runtime::logger(slog::Level::Critical, "control");
    let key = ClusterKey::new(KEY);
    let (net, mut events) = Net::new(node, Role::Control, "z".into(), key, log);
    let addr = net.listen(([127, 0, 0, 1], 0).into()).await.unwrap();
    let mut state = Control::default();
    state.update_member(proto::Member {
        node: Some(proto::NodeRef {
            name: "a1".to_owned(),
            incarnation: 1,
        }),
        role: Role::Agent.into(),
        zone: "z".to_owned(),
        address: "127.0.0.1:9".to_owned(),
        state: proto::NodeState::Active.into(),
        endpoint: Some(proto::EndpointInfo {
            slots: 8,
            cores: 4,
            kinds: vec!["once".to_owned()],
            ..proto::EndpointInfo::default()
        }),
        version: 0,
    });
    tokio::spawn(async move {
        loop {
            let NetEvent::Frame { conn, frame } = events.next().await else {
                continue;
            };
            let body = frame.body.unwrap();
            // A claim query does not claim the job.
            if let Body::Claim(claim) = &body
                && !claim.query
            {
                drop(claims.send(claim.clone()));
            }
            let reply = Frame {
                request: frame.request,
                reply: true,
                body: Some(state.handle(1000, &body)),
            };
            net.send(conn, reply);
        }
    });
    addr
}

fn start_entry(control: SocketAddr) -> SocketAddr {
    start_stoppable_entry(control).0
}

/// Starts an entry that waits 200 ms for its jobs when it is stopped.
fn start_stoppable_entry(control: SocketAddr) -> (SocketAddr, StopHandle) {
    let http = free_addr();
    let name = format!("sassafras-entry-key-{}", http.port());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, KEY).unwrap();
    let text = format!(
        "[node]\nname = e1\nzone = z\nlisten = 127.0.0.1:0\n[cluster]\ncontrol = c1@{control}\n\
         key_file = {}\n[entry]\nhttp = {http}\nmax_body_bytes = 65536\ndrain_ms = 200\n",
        path.display()
    );
    let mut doc = IniDoc::parse("entry.ini", &text).unwrap();
    let settings = Settings::load(&mut doc).unwrap();
    doc.finish().unwrap();
    std::fs::remove_file(&path).unwrap();
    let log = sassafras_runtime::logger(slog::Level::Critical, "entry");
    let (handle, stop) = StopHandle::new();
    tokio::spawn(async move {
        sassafras_entry::run(settings, Context::new(log, stop))
            .await
            .unwrap();
    });
    (http, handle)
}

/// Sends one request and returns the status and the body.
async fn send(
    addr: SocketAddr,
    method: &str,
    path: &str,
    token: &str,
    body: &str,
) -> (u16, String) {
    let stream = loop {
        match TcpStream::connect(addr).await {
            Ok(stream) => break stream,
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    };
    send_on(stream, method, path, token, body).await
}

async fn send_on(
    mut stream: TcpStream,
    method: &str,
    path: &str,
    token: &str,
    body: &str,
) -> (u16, String) {
    let header = match token {
        "" => String::new(),
        token => format!("authorization: {token}\r\n"),
    };
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: e\r\nconnection: close\r\n{header}content-length: {length}\r\n\r\n{body}"
    );
    // Fails when the entry rejects the request before it has read the whole body.
    drop(stream.write_all(request.as_bytes()).await);
    let mut response = Vec::new();
    drop(stream.read_to_end(&mut response).await);
    let text = String::from_utf8_lossy(&response).into_owned();
    let status = text.split(' ').nth(1).and_then(|s| s.parse().ok());
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    (status.unwrap_or(0), body.to_owned())
}

/// Waits until the entry has a lease and a configuration.
async fn wait_until_ready(addr: SocketAddr) {
    for _ in 0..500 {
        let (status, _) = send(addr, "PUT", "/v1/teams/shop/jobs/probe", &bearer(), "{").await;
        if status == 400 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the entry did not become ready");
}

fn bearer() -> String {
    format!("Bearer {TOKEN}")
}

/// Method, path, authorization, body, and the expected status and code.
type Case = (&'static str, String, String, String, u16, &'static str);

fn invalid_bodies() -> Vec<Case> {
    let large = format!(r#"{{"tasks":[{{"payload":"{}"}}]}}"#, "x".repeat(70_000));
    let many = format!(
        r#"{{"tasks":[{}]}}"#,
        vec![r#"{"payload":1}"#; 101].join(",")
    );
    let cases = [
        ("", 400, "malformed"),
        ("[]", 400, "malformed"),
        (r#"{"tasks":[{"payload":1}"#, 400, "malformed"),
        (r#"{"tasks":[{}]}"#, 400, "malformed"),
        (r#"{"tasks":[{"payload":1,"extra":1}]}"#, 400, "malformed"),
        (r#"{"tasks":[{"payload":1}],"extra":1}"#, 400, "malformed"),
        (
            r#"{"tasks":[{"payload":1,"needs":{"gpus":1}}]}"#,
            400,
            "malformed",
        ),
        (
            r#"{"tasks":[{"payload":1,"deadline_ms":-1}]}"#,
            400,
            "malformed",
        ),
        (r#"{"tasks":[]}"#, 422, "no_tasks"),
        (many.as_str(), 422, "too_many_tasks"),
        (
            r#"{"tasks":[{"payload":1,"kind":"x"}]}"#,
            422,
            "unknown_kind",
        ),
        (
            r#"{"tasks":[{"payload":1,"deadline_ms":0}]}"#,
            422,
            "bad_deadline",
        ),
        (
            r#"{"tasks":[{"payload":1,"kind":"again"}]}"#,
            422,
            "unsatisfiable",
        ),
        (
            r#"{"tasks":[{"payload":1,"needs":{"cores":5}}]}"#,
            422,
            "unsatisfiable",
        ),
        (large.as_str(), 413, "body_too_large"),
    ];
    let case = |(body, status, code): (&str, u16, &'static str)| {
        (
            "PUT",
            JOB.to_owned(),
            bearer(),
            body.to_owned(),
            status,
            code,
        )
    };
    cases.into_iter().map(case).collect()
}

fn invalid_paths_and_headers() -> Vec<Case> {
    let long = format!("/v1/teams/shop/jobs/{}", "n".repeat(129));
    let auth = bearer();
    let cases = [
        ("PUT", JOB, "", 401, "unauthorized"),
        ("PUT", JOB, "Bearer wrong", 401, "unauthorized"),
        ("PUT", JOB, "Basic c2VjcmV0", 401, "unauthorized"),
        (
            "PUT",
            "/v1/teams/other/jobs/j",
            auth.as_str(),
            401,
            "unauthorized",
        ),
        (
            "PUT",
            "/v1/teams/shop/jobs/a%2Fb",
            auth.as_str(),
            400,
            "bad_name",
        ),
        (
            "PUT",
            "/v1/teams/shop/jobs/",
            auth.as_str(),
            400,
            "bad_name",
        ),
        ("PUT", long.as_str(), auth.as_str(), 400, "bad_name"),
        (
            "PUT",
            "/v1/teams/shop/jobs/j/k",
            auth.as_str(),
            404,
            "no_such_path",
        ),
        ("PUT", "/", auth.as_str(), 404, "no_such_path"),
        (
            "PUT",
            "/v1/teams/shop/jobs/j?wait_ms=60001",
            auth.as_str(),
            400,
            "bad_query",
        ),
        (
            "PUT",
            "/v1/teams/shop/jobs/j?wait=1",
            auth.as_str(),
            400,
            "bad_query",
        ),
        ("POST", JOB, auth.as_str(), 405, "method"),
        ("PATCH", JOB, auth.as_str(), 405, "method"),
    ];
    let case =
        |(method, path, token, status, code): (&'static str, &str, &str, u16, &'static str)| {
            (
                method,
                path.to_owned(),
                token.to_owned(),
                VALID_BODY.to_owned(),
                status,
                code,
            )
        };
    cases.into_iter().map(case).collect()
}

#[tokio::test]
async fn invalid_requests_are_rejected_and_not_claimed() {
    let (claims, mut claimed) = mpsc::unbounded_channel();
    let addr = start_entry(start_control(claims).await);
    wait_until_ready(addr).await;
    let auth = bearer();
    for (method, path, token, body, status, code) in invalid_bodies()
        .into_iter()
        .chain(invalid_paths_and_headers())
    {
        let (actual, text) = send(addr, method, &path, &token, &body).await;
        let excerpt = &body[..body.len().min(60)];
        assert_eq!(actual, status, "{method} {path} {excerpt}: {text}");
        let member = format!(r#""code":"{code}""#);
        assert!(text.contains(&member), "{method} {path} {excerpt}: {text}");
        // Only a name or a body that is never valid shows that the job was not run.
        let ran = match code {
            "unauthorized" | "bad_query" | "method" | "body_too_large" => r#""ran":"unknown""#,
            _ => r#""ran":false"#,
        };
        assert!(text.contains(ran), "{method} {path} {excerpt}: {text}");
    }
    for method in ["GET", "DELETE"] {
        let (status, text) = send(addr, method, JOB, &auth, "").await;
        assert_eq!(status, 404, "{method}: {text}");
    }
    assert!(claimed.try_recv().is_err(), "a rejected job was claimed");
    let path = "/v1/teams/shop/jobs/good?wait_ms=200";
    let (status, text) = send(addr, "PUT", path, &auth, VALID_BODY).await;
    assert_eq!((status, text.as_str()), (202, r#"{"outcome":"running"}"#));
    assert!(claimed.try_recv().is_ok(), "a valid job was not claimed");
    let (status, _) = send(addr, "PUT", path, &auth, r#"{"tasks":[{"payload":2}]}"#).await;
    assert_eq!(status, 409);
}

/// Guards against `ran: false` from an entry that is about to end with a job that may be running.
#[tokio::test]
async fn ending_entry_does_not_say_that_its_job_was_not_run() {
    let (claims, _claimed) = mpsc::unbounded_channel();
    let (addr, stop) = start_stoppable_entry(start_control(claims).await);
    wait_until_ready(addr).await;
    let path = format!("{JOB}?wait_ms=0");
    let (status, text) = send(addr, "PUT", &path, &bearer(), VALID_BODY).await;
    assert_eq!(status, 202, "{text}");
    stop.stop();
    let mut last = text;
    while let Ok(stream) = TcpStream::connect(addr).await {
        let (_, text) = send_on(stream, "PUT", &path, &bearer(), VALID_BODY).await;
        assert!(!text.contains(r#""ran":false"#), "{text} after {last}");
        last = text;
    }
}

/// Guards against `ran: false` in the refusal of a request about a job that may be running: the
/// refusal of a repetition says nothing about the job.
#[tokio::test]
async fn refused_repetition_does_not_say_that_the_job_was_not_run() {
    let (claims, _claimed) = mpsc::unbounded_channel();
    let addr = start_entry(start_control(claims).await);
    wait_until_ready(addr).await;
    let path = format!("{JOB}?wait_ms=0");
    let (status, text) = send(addr, "PUT", &path, &bearer(), VALID_BODY).await;
    assert_eq!(status, 202, "{text}");
    let long_wait = format!("{JOB}?wait_ms=60001");
    let large = "x".repeat(70_000);
    let (valid, wrong) = (bearer(), "Bearer wrong".to_owned());
    for (method, path, token, body, expected) in [
        ("PUT", JOB, &wrong, VALID_BODY, 401),
        ("GET", JOB, &wrong, "", 401),
        ("DELETE", JOB, &String::new(), "", 401),
        ("POST", JOB, &valid, VALID_BODY, 405),
        ("PUT", &long_wait, &valid, VALID_BODY, 400),
        ("PUT", JOB, &valid, &large, 413),
    ] {
        let (status, text) = send(addr, method, path, token, body).await;
        assert_eq!(status, expected, "{method} {path}: {text}");
        let unknown = text.contains(r#""ran":"unknown""#);
        assert!(unknown, "{method} {path}: {text}");
    }
    let (status, text) = send_cut_off(addr, &path).await;
    assert_eq!(status, 400, "{text}");
    assert!(text.contains(r#""ran":"unknown""#), "{text}");
}

/// Submits a job, and ends the request before the end of its body.
async fn send_cut_off(addr: SocketAddr, path: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let head = format!(
        "PUT {path} HTTP/1.1\r\nhost: e\r\nauthorization: {}",
        bearer()
    );
    let request = format!("{head}\r\ncontent-length: 1000\r\n\r\n{VALID_BODY}");
    stream.write_all(request.as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut response = Vec::new();
    drop(stream.read_to_end(&mut response).await);
    let text = String::from_utf8_lossy(&response).into_owned();
    let status = text.split(' ').nth(1).and_then(|s| s.parse().ok());
    (status.unwrap_or(0), text)
}
