//! One HTTP request on its own connection.

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
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

impl Reply {
    /// Returns the body as JSON, or null.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Sends one request and reads the whole response.
///
/// # Errors
///
/// Describes the failure when the connection cannot be opened or breaks before the end of
/// the response.
pub async fn request(
    addr: SocketAddr,
    method: &str,
    path: &str,
    token: &str,
    body: impl Into<Bytes>,
) -> Result<Reply, String> {
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
    let reply = match response {
        Ok(response) => {
            let status = response.status().as_u16();
            let body = response.into_body().collect().await;
            body.map(|b| Reply {
                status,
                body: b.to_bytes(),
            })
            .map_err(|e| e.to_string())
        }
        Err(e) => Err(e.to_string()),
    };
    conn.abort();
    reply
}
