//! HTTP/1.1 client with a pool of keep-alive connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use sassafras_util::Error;

/// Idle connections that a pool retains.
const MAX_IDLE_CONNECTIONS: usize = 1024;

type Sender = SendRequest<Full<Bytes>>;

/// An HTTP client for one address. Clones share its connection pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    addr: SocketAddr,
    idle: Arc<Mutex<Vec<Sender>>>,
}

/// An HTTP response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Complete body.
    pub body: Bytes,
}

/// Error of a request that did not receive a complete response.
#[derive(Debug)]
pub struct SendError {
    /// Whether the server may have received the request.
    pub request_sent: bool,
    /// Underlying error.
    pub error: Error,
}

impl From<SendError> for Error {
    fn from(e: SendError) -> Self {
        e.error
    }
}

impl HttpClient {
    /// Creates a client without open connections.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            idle: Arc::default(),
        }
    }

    /// Returns the address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a request with additional headers and reads the complete response.
    ///
    /// # Errors
    ///
    /// Fails when the connection cannot be opened or closes before the end of the response.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<HttpResponse, SendError> {
        let not_sent = |error| SendError {
            request_sent: false,
            error,
        };
        let interrupted = |e| SendError {
            request_sent: true,
            error: Error::new(e),
        };
        let mut sender = self.acquire().await.map_err(not_sent)?;
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.addr.to_string());
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body));
        let request = request.map_err(|e| not_sent(Error::new(e)))?;
        let response = sender.send_request(request).await.map_err(interrupted)?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.map_err(interrupted)?;
        self.release(sender);
        Ok(HttpResponse {
            status,
            body: body.to_bytes(),
        })
    }

    /// Gets a resource and decodes its body as UTF-8.
    ///
    /// # Errors
    ///
    /// Fails as [`HttpClient::send`] does, on any status other than 200 and on invalid UTF-8.
    pub async fn get_text(&self, path: &str) -> Result<String, Error> {
        let response = self.send(Method::GET, path, &[], Bytes::new()).await?;
        if response.status != 200 {
            return Err(Error::new(format!(
                "GET {path}: unexpected HTTP status {}",
                response.status
            )));
        }
        String::from_utf8(response.body.to_vec()).map_err(Error::new)
    }

    /// Returns an idle connection that is still open, or opens a new one.
    async fn acquire(&self) -> Result<Sender, Error> {
        loop {
            let Some(mut sender) = self.take_idle() else {
                break;
            };
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let stream = TcpStream::connect(self.addr)
            .await
            .map_err(|e| Error::from(e).context(self.addr))?;
        stream.set_nodelay(true)?;
        let (sender, conn) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(Error::new)?;
        tokio::spawn(conn);
        Ok(sender)
    }

    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.pop()
    }

    fn release(&self, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(sender);
        }
    }
}
