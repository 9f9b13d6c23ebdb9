//! Announcements to the agent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use sassafras_util::Error;
use sassafras_util::Name;

use crate::settings::Settings;

/// Time-out of an announcement; shorter than the announcement interval of 1 s.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(900);

/// Sends one announcement, and returns whether the agent accepted it.
pub(crate) async fn announce(settings: &Settings, bound: SocketAddr, leaving: bool) -> bool {
    matches!(
        timeout(ANNOUNCE_TIMEOUT, send(settings, bound, leaving)).await,
        Ok(Ok(true))
    )
}

async fn send(settings: &Settings, bound: SocketAddr, leaving: bool) -> Result<bool, Error> {
    let stream = TcpStream::connect(settings.agent).await?;
    let (mut sender, conn) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(Error::new)?;
    let conn = tokio::spawn(conn);
    let request = Request::put("/v1/endpoint")
        .header("host", settings.agent.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(announcement_json(
            settings, bound, leaving,
        ))))
        .map_err(Error::new)?;
    let response = sender.send_request(request).await.map_err(Error::new)?;
    conn.abort();
    Ok(response.status().is_success())
}

fn announcement_json(settings: &Settings, bound: SocketAddr, leaving: bool) -> String {
    let kinds: Vec<&str> = settings.kinds.iter().map(Name::as_str).collect();
    serde_json::json!({
        "address": bound.to_string(),
        "path": settings.path,
        "slots": settings.slots,
        "connections": settings.connections,
        "cores": settings.cores,
        "memory_mb": settings.memory_mb,
        "accelerators": settings.accelerators,
        "rack": settings.rack.as_str(),
        "kinds": kinds,
        "state": if leaving { "leaving" } else { "active" },
        "checkpoint": settings.checkpoint,
        "throttle": settings.throttle,
        "stop": settings.stop,
    })
    .to_string()
}
