//! A caller of the system: HTTP with kept connections.

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

/// Idle connections kept for one address.
const MAX_IDLE: usize = 1024;

type Sender = SendRequest<Full<Bytes>>;

/// A pool of connections to one address. Clones share it.
#[derive(Clone, Debug)]
pub struct HttpClient {
    addr: SocketAddr,
    idle: Arc<Mutex<Vec<Sender>>>,
}

/// An HTTP answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The whole body.
    pub body: Bytes,
}

/// A request without a whole answer.
#[derive(Debug)]
pub struct SendError {
    /// Whether the request may have reached the other side.
    pub sent: bool,
    /// What went wrong.
    pub cause: Error,
}

impl From<SendError> for Error {
    fn from(e: SendError) -> Self {
        e.cause
    }
}

impl HttpClient {
    /// Creates a pool without connections.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            idle: Arc::default(),
        }
    }

    /// Returns the address that the pool connects to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a request with extra headers and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection cannot be opened or breaks before the end of the answer.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Reply, SendError> {
        let unsent = |cause| SendError { sent: false, cause };
        let broken = |e| SendError {
            sent: true,
            cause: Error::new(e),
        };
        let mut sender = self.connection().await.map_err(unsent)?;
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.addr.to_string());
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body));
        let request = request.map_err(|e| unsent(Error::new(e)))?;
        let response = sender.send_request(request).await.map_err(broken)?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.map_err(broken)?;
        self.put_back(sender);
        Ok(Reply {
            status,
            body: body.to_bytes(),
        })
    }

    /// Reads a resource as text.
    ///
    /// # Errors
    ///
    /// Fails as [`HttpClient::send`] does, and on any status but 200.
    pub async fn get_text(&self, path: &str) -> Result<String, Error> {
        let reply = self.send(Method::GET, path, &[], Bytes::new()).await?;
        if reply.status != 200 {
            return Err(Error::new(format!("{path}: status {}", reply.status)));
        }
        String::from_utf8(reply.body.to_vec()).map_err(Error::new)
    }

    async fn connection(&self) -> Result<Sender, Error> {
        loop {
            let Some(mut idle) = self.take() else { break };
            if idle.ready().await.is_ok() {
                return Ok(idle);
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

    fn take(&self) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.pop()
    }

    fn put_back(&self, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE {
            idle.push(sender);
        }
    }
}
