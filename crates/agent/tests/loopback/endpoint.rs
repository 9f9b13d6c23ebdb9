//! The endpoint adapter against an endpoint that a test plays on raw sockets.

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use sassafras_wire::Body;
use sassafras_wire::proto::TaskReport;
use sassafras_wire::proto::TaskStatus;

use crate::cluster::Cluster;
use crate::cluster::task;

const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Guards against a request that is sent again after its connection broke: it may have run.
#[tokio::test]
async fn broken_request_is_lost_and_not_repeated() {
    let (mut cluster, listener) = Cluster::with_sockets().await;
    let run = cluster.run("a", 1, false, vec![task(0, "{}")]);
    cluster.send(Body::Run(run));
    let mut socket = accept(&listener).await;
    assert!(read_request(&mut socket).await.contains("demo/a/0/1"));
    drop(socket);
    cluster.until(|seen| seen.ended() == 1).await;
    assert_eq!(cluster.seen.report(0, 1).status(), TaskStatus::Lost);
    // The next connection carries the next task, and not the lost one.
    let run = cluster.run("a", 1, false, vec![task(1, "{}")]);
    cluster.send(Body::Run(run));
    let mut socket = accept(&listener).await;
    assert!(read_request(&mut socket).await.contains("demo/a/1/1"));
    cluster.kill();
}

/// Guards against an answer that is cut off and passes as whole or as a failure without effects.
#[tokio::test]
async fn cut_answer_is_lost() {
    let (mut cluster, listener) = Cluster::with_sockets().await;
    let run = cluster.run("a", 1, false, vec![task(0, "{}")]);
    cluster.send(Body::Run(run));
    let mut socket = accept(&listener).await;
    read_request(&mut socket).await;
    let cut = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf";
    socket.write_all(cut).await.expect("written");
    drop(socket);
    cluster.until(|seen| seen.ended() == 1).await;
    assert_eq!(cluster.seen.report(0, 1).status(), TaskStatus::Lost);
    cluster.kill();
}

/// Guards against a task that counts as lost because it was sent on a connection that the
/// endpoint had said it would close.
#[tokio::test]
async fn announced_close_harms_no_task() {
    let (mut cluster, listener) = Cluster::with_sockets().await;
    for index in 0..20 {
        let run = cluster.run("a", 1, false, vec![task(index, "{}")]);
        cluster.send(Body::Run(run));
        let mut socket = accept(&listener).await;
        read_request(&mut socket).await;
        let close = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
        socket.write_all(close).await.expect("written");
        drop(socket);
        cluster
            .until(|seen| seen.ended() == index as usize + 1)
            .await;
    }
    let done = |r: &&TaskReport| r.status() == TaskStatus::Done;
    assert_eq!(cluster.seen.reports.iter().filter(done).count(), 20);
    cluster.kill();
}

/// Guards against an endpoint that is down and makes tasks count as lost: nothing was sent.
#[tokio::test]
async fn refused_connection_means_not_run() {
    let (mut cluster, listener) = Cluster::with_sockets().await;
    drop(listener);
    let run = cluster.run("a", 1, false, vec![task(0, "{}")]);
    cluster.send(Body::Run(run));
    cluster.until(|seen| seen.ended() == 1).await;
    let report = cluster.seen.report(0, 1);
    assert_eq!(report.status(), TaskStatus::NotRun);
    assert!(report.reason.contains("connect"), "{}", report.reason);
    cluster.kill();
}

/// Guards against more connections than the endpoint allows.
#[tokio::test]
async fn connections_keep_to_the_announced_limit() {
    let (mut cluster, listener) = Cluster::with_sockets().await;
    let run = cluster.run("a", 1, false, (0..6).map(|i| task(i, "{}")).collect());
    cluster.send(Body::Run(run));
    let mut sockets = Vec::new();
    for _ in 0..cluster.slots {
        let mut socket = accept(&listener).await;
        read_request(&mut socket).await;
        sockets.push(socket);
    }
    // The next task comes on a connection that is free again.
    sockets[0].write_all(OK).await.expect("written");
    let request = read_request(&mut sockets[0]).await;
    assert!(request.contains("demo/a/4/1"), "{request}");
    cluster.until(|seen| seen.ended() == 1).await;
    cluster.kill();
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
