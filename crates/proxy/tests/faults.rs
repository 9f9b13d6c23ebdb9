//! Guards against a proxy that does not inject a configured fault, in which case the tests that
//! use the fault would pass without exercising it.

use std::io;
use std::time::Duration;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

use sassafras_proxy::Faults;
use sassafras_proxy::Link;

const RECEIVE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time in which blocked or delayed bytes must not arrive.
const SILENCE: Duration = Duration::from_millis(200);

/// Starts an echo server, and a link to it.
async fn start_echo_link() -> Link {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let target = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                tokio::io::copy(&mut read, &mut write).await
            });
        }
    });
    Link::start("127.0.0.1:0".parse().expect("address"), target, 1)
        .await
        .expect("proxy")
}

async fn round_trip(stream: &mut TcpStream) -> io::Result<u8> {
    stream.write_all(b"x").await?;
    stream.read_u8().await
}

#[tokio::test]
async fn a_block_withholds_bytes_until_it_is_cleared() {
    let link = start_echo_link().await;
    let mut stream = TcpStream::connect(link.addr()).await.expect("connect");
    assert_eq!(round_trip(&mut stream).await.expect("before"), b'x');
    link.set_faults(Faults {
        block_back: true,
        ..Faults::default()
    });
    assert!(
        timeout(SILENCE, round_trip(&mut stream)).await.is_err(),
        "blocked bytes were delivered"
    );
    link.set_faults(Faults::default());
    let after = timeout(RECEIVE_TIMEOUT, stream.read_u8())
        .await
        .expect("in time")
        .expect("after");
    assert_eq!(after, b'x');
}

#[tokio::test]
async fn a_reset_ends_open_connections_only() {
    let link = start_echo_link().await;
    let mut stream = TcpStream::connect(link.addr()).await.expect("connect");
    round_trip(&mut stream).await.expect("before");
    link.reset_connections();
    timeout(RECEIVE_TIMEOUT, round_trip(&mut stream))
        .await
        .expect("in time")
        .expect_err("still open");
    let mut stream = TcpStream::connect(link.addr())
        .await
        .expect("connect again");
    round_trip(&mut stream).await.expect("new connection");
}

#[tokio::test]
async fn a_delay_withholds_bytes() {
    let link = start_echo_link().await;
    link.set_faults(Faults {
        delay_ms: 60_000,
        ..Faults::default()
    });
    let mut stream = TcpStream::connect(link.addr()).await.expect("connect");
    assert!(
        timeout(SILENCE, round_trip(&mut stream)).await.is_err(),
        "the delay was not applied"
    );
}

#[tokio::test]
async fn refusal_closes_new_connections() {
    let link = start_echo_link().await;
    link.set_faults(Faults {
        refuse: true,
        ..Faults::default()
    });
    let mut stream = TcpStream::connect(link.addr())
        .await
        .expect("accepted, then closed");
    timeout(RECEIVE_TIMEOUT, round_trip(&mut stream))
        .await
        .expect("in time")
        .expect_err("open");
}
