//! Malformed and oversized input to every port of every process.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::time::timeout;

use sassafras_tests::Cluster;
use sassafras_tests::Job;
use sassafras_tests::JobResponse;
use sassafras_tests::Options;

/// Time to wait for a peer that neither responds nor closes the connection.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

fn inputs() -> Vec<Vec<u8>> {
    let noise: Vec<u8> = (0..100_000_u32)
        .map(|n| (n.wrapping_mul(2_654_435_761) >> 13) as u8)
        .collect();
    vec![
        Vec::new(),
        b"\0".to_vec(),
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        b"PUT /v1/endpoint HTTP/1.1\r\ncontent-length: 99999999999\r\n\r\n{".to_vec(),
        b"PUT /v1/endpoint HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nffffffffffffffff\r\n"
            .to_vec(),
        [b"GET /".as_slice(), &[b'a'; 100_000]].concat(),
        // Frames with a declared length of 4 GiB, of 16 MiB + 1, and of more bytes than follow.
        vec![0xff; 64],
        [&[1, 0, 0, 1], noise.as_slice()].concat(),
        vec![0, 0, 0, 40, 1, 2, 3],
        // A frame whose body is not a valid message.
        [&[0, 0, 0, 200], &noise[..200]].concat(),
        noise,
    ]
}

/// Sends the input, and reads until the peer closes or the timeout expires.
async fn send(addr: SocketAddr, input: &[u8]) {
    let mut stream = TcpStream::connect(addr).await.expect("the port is open");
    // The peer may already have closed the connection.
    drop(stream.write_all(input).await);
    let mut response = Vec::new();
    drop(timeout(RESPONSE_TIMEOUT, stream.read_to_end(&mut response)).await);
}

/// Guards against input that terminates a process or keeps it from serving other clients.
#[tokio::test]
async fn bad_input_to_a_port_stops_nothing() {
    let mut cluster = Cluster::start(Options::default()).await;
    let before = cluster.operator.status().await.unwrap();
    for (_, addr) in cluster.listen_addrs() {
        let sends = inputs().into_iter().map(|input| async move {
            send(addr, &input).await;
        });
        let tasks: Vec<_> = sends.map(tokio::spawn).collect();
        for task in tasks {
            task.await.expect("the port stays open");
        }
    }
    for name in cluster.process_names() {
        assert!(cluster.process(&name).is_running(), "{name} exited");
    }
    cluster.wait_until_ready().await;
    for entry in ["e1", "e2"] {
        let job = Job::new(&format!("after-{entry}"), 8, 20);
        let submission = cluster
            .submit_until_final(&job, entry)
            .await
            .unwrap()
            .unwrap();
        assert!(
            matches!(submission.response, JobResponse::Complete(_)),
            "{submission:?}"
        );
    }
    let after = cluster.operator.status().await.unwrap();
    assert_eq!(after.config_version, before.config_version);
    assert_eq!(after.items, before.items);
    cluster.assert_guarantees();
}
