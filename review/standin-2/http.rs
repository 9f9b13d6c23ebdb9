//! HTTP/1.1 messages over blocking sockets.

use std::io::BufRead;
use std::io::Error;
use std::io::ErrorKind;
use std::io::Result;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// The first line, the headers and the body of a request or response.
#[derive(Debug)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message. Returns `None` at the end of the connection.
    pub fn read(reader: &mut impl BufRead) -> Result<Option<Message>> {
        let mut first = String::new();
        if reader.read_line(&mut first)? == 0 {
            return Ok(None);
        }
        let mut headers = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        let mut message = Message {
            first: first.trim_end().to_owned(),
            headers,
            body: Vec::new(),
        };
        let length = message
            .header("content-length")
            .and_then(|n| n.parse().ok());
        message.body.resize(length.unwrap_or(0), 0);
        reader.read_exact(&mut message.body)?;
        Ok(Some(message))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// A request on a connection of its own.
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub headers: &'a [(&'a str, String)],
    pub body: &'a [u8],
    pub timeout: Duration,
}

/// Sends a request, and returns the status and the body of the response.
pub fn send(addr: SocketAddr, request: &Request<'_>) -> Result<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&addr, request.timeout)?;
    stream.set_read_timeout(Some(request.timeout))?;
    stream.set_nodelay(true)?;
    let mut head = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        request.method,
        request.path,
        request.host,
        request.body.len()
    );
    for (name, value) in request.headers {
        head += &format!("{name}: {value}\r\n");
    }
    let mut bytes = (head + "\r\n").into_bytes();
    bytes.extend_from_slice(request.body);
    stream.write_all(&bytes)?;
    let mut reader = std::io::BufReader::new(stream);
    let message = Message::read(&mut reader)?.ok_or(ErrorKind::UnexpectedEof)?;
    let status = message.first.split(' ').nth(1).and_then(|s| s.parse().ok());
    let status = status.ok_or_else(|| Error::other("not an HTTP response"))?;
    Ok((status, message.body))
}
