//! Endpoint protocol, failure modes and start records of the stand-in.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use sassafras_config::IniDoc;
use sassafras_runtime::Context;
use sassafras_runtime::StopHandle;
use sassafras_standin::Mode;
use sassafras_standin::Settings;
use sassafras_standin::StartRecord;

/// A running stand-in, and a listener in place of its agent.
struct Standin {
    addr: SocketAddr,
    agent: TcpListener,
    stop: StopHandle,
    task: tokio::task::JoinHandle<Result<(), sassafras_util::Error>>,
}

impl Standin {
    async fn start(change: impl FnOnce(&mut Settings)) -> Self {
        let agent = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let mut settings = Settings::new(agent.local_addr().expect("bound"));
        change(&mut settings);
        let (stop, receiver) = StopHandle::new();
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let task = tokio::spawn(sassafras_standin::run(
            settings,
            Context::new(log, receiver),
        ));
        let mut standin = Self {
            addr: ([127, 0, 0, 1], 0).into(),
            agent,
            stop,
            task,
        };
        let first = standin.announcement().await;
        let address = first["address"].as_str().and_then(|a| a.parse().ok());
        standin.addr = address.expect("an address");
        standin
    }

    /// Receives and accepts the next announcement.
    async fn announcement(&self) -> serde_json::Value {
        let (mut socket, _) = self.agent.accept().await.expect("an announcement");
        let mut text = String::new();
        while !text.ends_with('}') {
            let mut part = [0; 4096];
            let n = socket.read(&mut part).await.expect("readable");
            text.push_str(std::str::from_utf8(&part[..n]).expect("text"));
        }
        let response = b"HTTP/1.1 204 No Content\r\n\r\n";
        socket.write_all(response).await.expect("written");
        assert!(text.starts_with("PUT /v1/endpoint "), "{text}");
        let body = text.split("\r\n\r\n").nth(1).expect("a body");
        serde_json::from_str(body).expect("JSON")
    }

    async fn send(&self, method: &str, path: &str, body: &str) -> hyper::Result<Response<Bytes>> {
        let stream = TcpStream::connect(self.addr).await.expect("a listener");
        let (mut sender, conn) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(conn);
        let request = Request::builder().method(method).uri(path);
        let request = request.header("task-id", "demo/a/0/1");
        let body = Full::new(Bytes::from(body.to_owned()));
        let response = sender
            .send_request(request.body(body).expect("valid"))
            .await?;
        let (parts, body) = response.into_parts();
        Ok(Response::from_parts(
            parts,
            body.collect().await?.to_bytes(),
        ))
    }

    async fn status(&self, method: &str, path: &str, body: &str) -> u16 {
        self.send(method, path, body)
            .await
            .expect("a response")
            .status()
            .as_u16()
    }

    async fn starts(&self) -> Vec<StartRecord> {
        let response = self.send("GET", "/starts", "").await.expect("a response");
        parse_records(&String::from_utf8_lossy(response.body()))
    }
}

fn parse_records(lines: &str) -> Vec<StartRecord> {
    let start = |line| serde_json::from_str(line).expect("a JSON line");
    lines.lines().map(start).collect()
}

/// Guards against a stand-in that responds without spending the run time, or that omits a start
/// from its records.
#[tokio::test]
async fn task_takes_its_time_and_is_recorded() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("standin-starts.jsonl");
    // Removes the file of an earlier run.
    drop(std::fs::remove_file(&path));
    let standin = Standin::start(|s| s.record_file = Some(path.clone())).await;
    let response = standin
        .send("POST", "/tasks", r#"{"work_ms":20,"n":7}"#)
        .await;
    let response = response.expect("a response");
    let body: serde_json::Value = serde_json::from_slice(response.body()).expect("JSON");
    assert_eq!(body["task"], "demo/a/0/1");
    assert_eq!(body["payload"]["n"], 7);
    let starts = standin.starts().await;
    assert_eq!((starts.len(), &*starts[0].task), (1, "demo/a/0/1"));
    assert_eq!(starts[0].outcome.as_deref(), Some("done"));
    assert!(starts[0].end_ms >= Some(starts[0].start_ms + 19));
    let file = parse_records(&std::fs::read_to_string(&path).expect("the record"));
    assert_eq!(file.len(), 2, "one line at the start and one at the end");
}

/// Guards against failure modes whose effect or recorded outcome is wrong.
#[tokio::test]
async fn modes_change_at_run_time() {
    let standin = Standin::start(|_| {}).await;
    assert_eq!(
        standin.status("PUT", "/mode", r#"{"refuse_rate":1}"#).await,
        204
    );
    let refusal = standin
        .send("POST", "/tasks", "{}")
        .await
        .expect("a response");
    assert_eq!(
        (refusal.status().as_u16(), &refusal.headers()["task-ran"]),
        (503, &"false".parse().expect("valid"))
    );
    assert!(
        standin.starts().await.is_empty(),
        "a refused task has not started"
    );
    assert_eq!(
        standin.status("PUT", "/mode", r#"{"fail_rate":1}"#).await,
        204
    );
    assert_eq!(standin.status("POST", "/tasks", "{}").await, 500);
    assert_eq!(
        standin.status("PUT", "/mode", r#"{"drop_rate":1}"#).await,
        204
    );
    let dropped = standin.send("POST", "/tasks", "{}").await;
    dropped.expect_err("the connection is closed without a response");
    assert_eq!(
        standin.status("PUT", "/mode", r#"{"fail_rate":2}"#).await,
        400
    );
    assert_eq!(
        standin.status("PUT", "/mode", r#"{"unknown":2}"#).await,
        400
    );
    let outcomes: Vec<_> = standin
        .starts()
        .await
        .into_iter()
        .filter_map(|s| s.outcome)
        .collect();
    assert_eq!(outcomes, ["failed", "dropped"]);
}

/// Guards against a hung task that cannot be stopped, and against directives that are ignored.
#[tokio::test]
async fn hung_task_can_be_stopped() {
    let standin = Standin::start(|s| s.mode.hang_rate = 1.0).await;
    let task = standin.status("POST", "/tasks", "{}");
    let stopping = async {
        while standin.starts().await.is_empty() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        assert_eq!(
            standin
                .status("POST", "/tasks/demo/a/0/1/checkpoint", "")
                .await,
            204
        );
        assert_eq!(standin.status("DELETE", "/tasks/demo/a/0/1", "").await, 204);
        assert_eq!(standin.status("DELETE", "/tasks/demo/a/9/1", "").await, 404);
    };
    let (status, ()) = tokio::join!(task, stopping);
    assert_eq!(status, 409);
    assert_eq!(
        standin.starts().await[0].outcome.as_deref(),
        Some("stopped")
    );
}

/// Guards against a stand-in that stops without announcing that it is leaving, or before its
/// running tasks have ended.
#[tokio::test]
async fn stop_announces_leaving_and_waits() {
    let standin = Standin::start(|_| {}).await;
    let task = standin.status("POST", "/tasks", r#"{"work_ms":300}"#);
    let stopping = async {
        while standin.starts().await.is_empty() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        standin.stop.stop();
        while standin.announcement().await["state"] != "leaving" {}
    };
    let (status, ()) = tokio::join!(task, stopping);
    assert_eq!(status, 200);
    standin.task.await.expect("no panic").expect("no error");
}

/// Guards against a slowdown that starts at the wrong time or has the wrong factor.
#[test]
fn slowdown_starts_on_time() {
    let mode = Mode {
        speed: 2.0,
        slow_after_ms: Some(1000),
        ..Mode::default()
    };
    let work = Duration::from_millis(100);
    assert_eq!(
        mode.run_time(work, Duration::from_millis(999)),
        Duration::from_millis(50)
    );
    assert_eq!(
        mode.run_time(work, Duration::from_secs(1)),
        Duration::from_millis(500)
    );
}

/// Guards against invalid settings that are accepted, and settings that have no effect.
#[test]
fn settings_are_checked() {
    let load = |text: &str| {
        let mut doc = IniDoc::parse("standin.ini", text)?;
        let settings = Settings::load(&mut doc)?;
        doc.finish().map(|()| settings)
    };
    let good = "[standin]\nagent = 127.0.0.1:7100\nslots = 3\nkinds = a,b\nfail_rate = 0.5\n";
    let settings = load(good).expect("valid");
    assert_eq!((settings.slots, settings.kinds.len()), (3, 2));
    assert!((settings.mode.fail_rate - 0.5).abs() < f64::EPSILON);
    let unknown = load(&format!("{good}sped = 2\n")).expect_err("unknown key");
    assert!(
        unknown
            .to_string()
            .contains("standin.ini:6: [standin] sped"),
        "{unknown}"
    );
    let rate = load("[standin]\nagent = 127.0.0.1:7100\ndrop_rate = 3\n").expect_err("no share");
    assert!(rate.to_string().contains("drop_rate"), "{rate}");
}
