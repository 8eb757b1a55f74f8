//! The client side of a watch: the response head, then lines.

use crate::common::Message;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Reads the lines of a chunked body.
pub(super) struct ChunkedLines {
    reader: BufReader<TcpStream>,
    buffer: Vec<u8>,
}

impl ChunkedLines {
    pub fn next_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.read_chunk()?;
        }
    }

    fn read_chunk(&mut self) -> Option<()> {
        let mut size = String::new();
        self.reader.read_line(&mut size).ok()?;
        let size = usize::from_str_radix(size.trim_end(), 16).ok().filter(|size| *size > 0)?;
        let mut bytes = vec![0; size + 2];
        self.reader.read_exact(&mut bytes).ok()?;
        self.buffer.extend_from_slice(&bytes[..size]);
        Some(())
    }
}

/// A watch whose response head has been received.
pub(super) struct OpenWatch {
    pub head: Message,
    pub stream: TcpStream,
    pub lines: ChunkedLines,
}

/// Opens a watch and reads the response head; `None` if the connection fails or ends before.
pub(super) fn open_watch(address: SocketAddr, target: &str) -> Option<OpenWatch> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.write_all(format!("GET {target} HTTP/1.1\r\nHost: relay\r\n\r\n").as_bytes()).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let head = Message::read(&mut reader)?;
    Some(OpenWatch { head, stream, lines: ChunkedLines { reader, buffer: Vec::new() } })
}

/// The target of a watch of these services.
pub fn watch_target(after: Option<u64>, services: &[&str]) -> String {
    let mut target = String::from("/discovery/hosts?watch=1");
    if let Some(after) = after {
        target.push_str("&after=");
        target.push_str(&after.to_string());
    }
    for service in services {
        target.push_str("&service=");
        target.push_str(service);
    }
    target
}
