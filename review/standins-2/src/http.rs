//! Just enough HTTP/1.1 for the stand-ins.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A request or a response. `start` is its first line.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header; names are in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// The path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// The status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message; `None` at the end of the stream or where it breaks off.
pub fn read(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message { start: line(stream)?, ..Message::default() };
    loop {
        let text = line(stream)?;
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':')?;
        message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
    }
    if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let size = usize::from_str_radix(line(stream)?.trim(), 16).ok()?;
            let mut chunk = vec![0; size];
            stream.read_exact(&mut chunk).ok()?;
            line(stream)?;
            if size == 0 {
                break;
            }
            message.body.extend(chunk);
        }
    } else if let Some(length) = message.header("content-length") {
        message.body = vec![0; length.parse().ok()?];
        stream.read_exact(&mut message.body).ok()?;
    }
    Some(message)
}

fn line(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut text = String::new();
    match stream.read_line(&mut text) {
        Ok(count) if count > 0 && text.ends_with('\n') => Some(text.trim_end().to_string()),
        _ => None,
    }
}

/// Writes a response with a body.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes())
}
