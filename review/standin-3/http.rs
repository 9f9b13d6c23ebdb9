//! HTTP/1.1 over blocking sockets: one call a connection, and a server with a thread a connection.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    /// The body as text; empty if its bytes cannot be read.
    pub body: String,
    pub bytes: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        let code = self.first.split(' ').nth(1);
        code.and_then(|c| c.parse().ok()).unwrap_or(0)
    }
}

fn read(stream: &mut impl BufRead) -> Option<Message> {
    let mut line = String::new();
    if stream.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    let mut message = Message { first, headers, body: String::new(), bytes: Vec::new() };
    let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    message.body = String::from_utf8(body.clone()).unwrap_or_default();
    message.bytes = body;
    Some(message)
}

/// Sends a request on a connection of its own. `None` if there is no whole answer in time.
pub fn call(
    addr: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        text += "Content-Type: application/json\r\n";
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[text.as_bytes(), body].concat()).ok()?;
    read(&mut BufReader::new(stream))
}

/// Serves requests in the background. The handler returns a status and a body, or `None` to send
/// no answer and close the connection.
pub fn serve(
    addr: SocketAddr,
    handle: impl Fn(&Message) -> Option<(u16, String)> + Send + Sync + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(addr)?;
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || serve_connection(stream, &*handle));
        }
    });
    Ok(())
}

fn serve_connection(stream: TcpStream, handle: &impl Fn(&Message) -> Option<(u16, String)>) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let _ = writer.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Some(request) = read(&mut reader) {
        let Some((status, body)) = handle(&request) else { return };
        let head = format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}
