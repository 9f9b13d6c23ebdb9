//! Tests of the HTTP client against an endpoint that the test implements on raw sockets.

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use sassafras_wire::Body;
use sassafras_wire::proto::TaskReport;
use sassafras_wire::proto::TaskStatus;

use crate::cluster::Cluster;
use crate::cluster::task;

const OK_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Guards against sending a request again after its connection broke, since the task may have run.
#[tokio::test]
async fn broken_request_is_lost_and_not_repeated() {
    let (mut cluster, listener) = Cluster::with_endpoint_listener().await;
    let run = cluster.run("a", 1, false, vec![task(0, "{}")]);
    cluster.send(Body::Run(run));
    let mut socket = accept(&listener).await;
    assert!(read_request(&mut socket).await.contains("demo/a/0/1"));
    drop(socket);
    cluster
        .wait_until(|received| received.finished() == 1)
        .await;
    assert_eq!(cluster.received.report(0, 1).status(), TaskStatus::Lost);
    // The next connection carries the next task and not the lost one.
    let run = cluster.run("a", 1, false, vec![task(1, "{}")]);
    cluster.send(Body::Run(run));
    let mut socket = accept(&listener).await;
    assert!(read_request(&mut socket).await.contains("demo/a/1/1"));
    cluster.abort();
}

/// Guards against treating a truncated response as a result, or as proof that the task did not run.
#[tokio::test]
async fn truncated_response_is_lost() {
    let (mut cluster, listener) = Cluster::with_endpoint_listener().await;
    let run = cluster.run("a", 1, false, vec![task(0, "{}")]);
    cluster.send(Body::Run(run));
    let mut socket = accept(&listener).await;
    read_request(&mut socket).await;
    let truncated = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf";
    socket.write_all(truncated).await.expect("written");
    drop(socket);
    cluster
        .wait_until(|received| received.finished() == 1)
        .await;
    assert_eq!(cluster.received.report(0, 1).status(), TaskStatus::Lost);
    cluster.abort();
}

/// Guards against losing a task by sending it on a connection that the endpoint has announced to
/// close.
#[tokio::test]
async fn announced_close_loses_no_task() {
    let (mut cluster, listener) = Cluster::with_endpoint_listener().await;
    for index in 0..20 {
        let run = cluster.run("a", 1, false, vec![task(index, "{}")]);
        cluster.send(Body::Run(run));
        let mut socket = accept(&listener).await;
        read_request(&mut socket).await;
        let close = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
        socket.write_all(close).await.expect("written");
        drop(socket);
        cluster
            .wait_until(|received| received.finished() == index as usize + 1)
            .await;
    }
    let done = |r: &&TaskReport| r.status() == TaskStatus::Done;
    assert_eq!(cluster.received.reports.iter().filter(done).count(), 20);
    cluster.abort();
}

/// Guards against reporting a task as lost when the connection to the endpoint was refused and
/// nothing was sent.
#[tokio::test]
async fn refused_connection_means_not_run() {
    let (mut cluster, listener) = Cluster::with_endpoint_listener().await;
    drop(listener);
    let run = cluster.run("a", 1, false, vec![task(0, "{}")]);
    cluster.send(Body::Run(run));
    cluster
        .wait_until(|received| received.finished() == 1)
        .await;
    let report = cluster.received.report(0, 1);
    assert_eq!(report.status(), TaskStatus::NotRun);
    assert!(report.reason.contains("connect"), "{}", report.reason);
    cluster.abort();
}

/// Guards against opening more connections than the endpoint announced.
#[tokio::test]
async fn connections_respect_the_announced_limit() {
    let (mut cluster, listener) = Cluster::with_endpoint_listener().await;
    let run = cluster.run("a", 1, false, (0..6).map(|i| task(i, "{}")).collect());
    cluster.send(Body::Run(run));
    let mut sockets = Vec::new();
    for _ in 0..cluster.slots {
        let mut socket = accept(&listener).await;
        read_request(&mut socket).await;
        sockets.push(socket);
    }
    // The next task reuses a connection that became idle.
    sockets[0].write_all(OK_RESPONSE).await.expect("written");
    let request = read_request(&mut sockets[0]).await;
    assert!(request.contains("demo/a/4/1"), "{request}");
    cluster
        .wait_until(|received| received.finished() == 1)
        .await;
    cluster.abort();
}

async fn accept(listener: &TcpListener) -> TcpStream {
    listener.accept().await.expect("a connection").0
}

/// Reads one request with the body `{}`.
async fn read_request(socket: &mut TcpStream) -> String {
    let mut text = String::new();
    while !text.ends_with("\r\n\r\n{}") {
        let mut part = [0; 1024];
        let n = socket.read(&mut part).await.expect("readable");
        assert!(n > 0, "closed after {text:?}");
        text.push_str(std::str::from_utf8(&part[..n]).expect("text"));
    }
    text
}
