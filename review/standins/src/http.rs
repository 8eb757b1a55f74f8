//! HTTP/1.1 messages as the stand-ins read and write them.

use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// A request or response: start line, headers with lower-case names, and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// Why no whole message was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The connection ended or was reset.
    Ended,
    /// The read timeout of the socket passed.
    TimedOut,
}

impl Message {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// The second word of the start line: the target of a request, the status of a response.
    pub fn second_word(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or("")
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).trim().to_string()
    }

    /// Reads one message whose length is declared.
    pub fn read(from: &mut impl BufRead) -> Result<Message, ReadError> {
        let mut message = Message { start_line: read_line(from)?, ..Message::default() };
        loop {
            let line = read_line(from)?;
            let Some((name, value)) = line.split_once(':') else { break };
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
        let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        from.read_exact(&mut message.body).map_err(|error| read_error(&error))?;
        Ok(message)
    }
}

fn read_line(from: &mut impl BufRead) -> Result<String, ReadError> {
    let mut line = String::new();
    match from.read_line(&mut line) {
        Ok(0) => Err(ReadError::Ended),
        Ok(_) if !line.ends_with('\n') => Err(ReadError::Ended),
        Ok(_) => Ok(line.trim_end().to_string()),
        Err(error) => Err(read_error(&error)),
    }
}

fn read_error(error: &std::io::Error) -> ReadError {
    match error.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => ReadError::TimedOut,
        _ => ReadError::Ended,
    }
}

/// The text of a response with this status line, further header lines and body.
pub fn response(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len())
}

/// Accepts connections for as long as the process runs, and passes each to `serve` in a thread of its own.
pub fn accept_all(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || serve(stream));
        }
    });
}

/// Reads the requests of one connection in order and writes the answer of `answer` to each.
pub fn serve_requests(stream: TcpStream, answer: impl Fn(&Message) -> String) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(request) = Message::read(&mut reader) {
        if writer.write_all(answer(&request).as_bytes()).is_err() {
            return;
        }
    }
}
