//! An external authorisation service: allows every request, after a delay. It speaks the part of HTTP/2 that a gRPC
//! client needs, with frames written by hand.

use crate::http::accept_all;
use crate::record::Record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const PREFACE_BYTES: usize = 24;
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const ACK: u8 = 1;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;

/// Starts a service that answers each question after `delay`.
pub fn start(delay: Duration, record: &Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the address of a listener");
    let record = record.clone();
    accept_all(listener, move |stream| {
        let _ = serve(stream, delay, &record);
    });
    address
}

fn serve(mut stream: TcpStream, delay: Duration, record: &Record) -> std::io::Result<()> {
    let writer = Arc::new(Mutex::new(stream.try_clone()?));
    stream.read_exact(&mut [0; PREFACE_BYTES])?;
    write_frame(&writer, SETTINGS, 0, 0, &[])?;
    loop {
        let mut head = [0; 9];
        stream.read_exact(&mut head)?;
        let length = usize::from(head[0]) << 16 | usize::from(head[1]) << 8 | usize::from(head[2]);
        let (kind, flags) = (head[3], head[4]);
        let id = u32::from_be_bytes([head[5], head[6], head[7], head[8]]) & 0x7fff_ffff;
        let mut payload = vec![0; length];
        stream.read_exact(&mut payload)?;
        match kind {
            SETTINGS if flags & ACK == 0 => write_frame(&writer, SETTINGS, ACK, 0, &[])?,
            PING if flags & ACK == 0 => write_frame(&writer, PING, ACK, 0, &payload)?,
            DATA | HEADERS if flags & END_STREAM != 0 => {
                record.note(format!("the authoriser is asked, question {id}"));
                let (writer, record) = (writer.clone(), record.clone());
                thread::spawn(move || {
                    thread::sleep(delay);
                    let sent = allow(&writer, id).is_ok();
                    record.note(format!("the authoriser allows question {id}; written: {sent}"));
                });
            }
            _ => {}
        }
    }
}

/// Answers with an empty `CheckResponse`, whose status is OK, and the gRPC status 0.
fn allow(writer: &Mutex<TcpStream>, id: u32) -> std::io::Result<()> {
    // Index 8 of the static table is `:status: 200`.
    let mut head = vec![0x88];
    header(&mut head, "content-type", "application/grpc");
    write_frame(writer, HEADERS, END_HEADERS, id, &head)?;
    write_frame(writer, DATA, 0, id, &[0; 5])?;
    let mut trailers = Vec::new();
    header(&mut trailers, "grpc-status", "0");
    write_frame(writer, HEADERS, END_HEADERS | END_STREAM, id, &trailers)
}

/// Appends a literal header field without indexing.
fn header(to: &mut Vec<u8>, name: &str, value: &str) {
    to.push(0);
    for text in [name, value] {
        to.push(text.len() as u8);
        to.extend_from_slice(text.as_bytes());
    }
}

fn write_frame(
    writer: &Mutex<TcpStream>,
    kind: u8,
    flags: u8,
    id: u32,
    payload: &[u8],
) -> std::io::Result<()> {
    let length = (payload.len() as u32).to_be_bytes();
    let mut frame = vec![length[1], length[2], length[3], kind, flags];
    frame.extend_from_slice(&id.to_be_bytes());
    frame.extend_from_slice(payload);
    writer.lock().expect("the writer").write_all(&frame)
}
