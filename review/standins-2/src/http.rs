//! HTTP/1.1 with the least that the stand-ins need.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The length of the body, of which only the beginning is kept.
    pub body_length: usize,
}

/// How much of a body is kept.
const KEPT: usize = 64 << 10;

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns an answer's status.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1).and_then(|s| s.parse().ok());
        status.unwrap_or(0)
    }
}

/// Reads a message; `None` if the connection ends before it.
pub fn read(from: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            line.clear();
            from.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut piece = vec![0; size + 2];
            from.read_exact(&mut piece)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&piece[..size]);
        }
    } else if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().map_err(io::Error::other)?;
        message.body_length = length;
        message.body = vec![0; length.min(KEPT)];
        from.read_exact(&mut message.body)?;
        let mut rest = vec![0; if length > KEPT { KEPT } else { 0 }];
        let mut left = length - message.body.len();
        while left > 0 {
            let count = left.min(KEPT);
            from.read_exact(&mut rest[..count])?;
            left -= count;
        }
    }
    Ok(Some(message))
}

/// Writes a message with its length.
pub fn write(
    to: &mut TcpStream,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{first}\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    to.write_all(&bytes)
}

/// Makes a call over a new connection.
pub fn call(
    to: SocketAddr,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    within: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, within)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(within))?;
    stream.set_write_timeout(Some(within))?;
    write(&mut stream, first, headers, body)?;
    let answer = read(&mut BufReader::new(stream))?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
