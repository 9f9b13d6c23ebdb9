//! HTTP requests, each on a connection of its own.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// An HTTP response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

impl Response {
    /// Returns the body as JSON, or null when it is not valid JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Sends one request and reads the whole response.
///
/// # Errors
///
/// Describes the failure when the connection cannot be opened or is lost before the end
/// of the response.
pub async fn request(
    addr: SocketAddr,
    method: &str,
    path: &str,
    token: &str,
    body: impl Into<Bytes>,
) -> Result<Response, String> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", addr.to_string())
        .header("content-type", "application/json")
        .header("authorization", format!("Bearer {token}"))
        .body(Full::new(body.into()))
        .map_err(|e| e.to_string())?;
    let stream = TcpStream::connect(addr).await.map_err(|e| e.to_string())?;
    let (mut sender, conn) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    let conn = tokio::spawn(conn);
    let response = sender.send_request(request).await;
    let result = match response {
        Ok(response) => {
            let status = response.status().as_u16();
            let body = response.into_body().collect().await;
            body.map(|b| Response {
                status,
                body: b.to_bytes(),
            })
            .map_err(|e| e.to_string())
        }
        Err(e) => Err(e.to_string()),
    };
    conn.abort();
    result
}
