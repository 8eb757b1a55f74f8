//! A stand-in for an external authoriser: it answers each question after a delay, and denies those that it is told to. It
//! speaks the part of HTTP/2 that a gRPC client needs, with frames written by hand.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PREFACE_BYTES: usize = 24;
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const ACK: u8 = 1;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;
/// A `CheckResponse` with status OK, and one with PERMISSION_DENIED (7).
const ALLOWED: &[u8] = &[];
const DENIED: &[u8] = &[0x0a, 0x02, 0x08, 0x07];

/// An answer that was written.
#[derive(Clone, Copy, Debug)]
pub struct Ruling {
    pub denied: bool,
    /// When the question had come whole.
    pub asked_at: Instant,
    /// When the answer was written.
    pub answered_at: Instant,
}

/// What is told of each answer: the question's message, and the ruling.
type Note = Arc<dyn Fn(&[u8], Ruling) + Send + Sync>;
/// Whether a question is denied.
type Decide = Arc<dyn Fn(&[u8]) -> bool + Send + Sync>;

/// Starts an authoriser on a free port.
pub fn start(
    delay: Duration,
    denies: impl Fn(&[u8]) -> bool + Send + Sync + 'static,
    note: impl Fn(&[u8], Ruling) + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (denies, note): (Decide, Note) = (Arc::new(denies), Arc::new(note));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (denies, note) = (denies.clone(), note.clone());
            thread::spawn(move || serve(stream, delay, &denies, &note));
        }
    });
    Ok(address)
}

fn serve(mut stream: TcpStream, delay: Duration, denies: &Decide, note: &Note) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
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
            // A question is small: its message comes in one frame, and nothing follows.
            DATA if flags & END_STREAM != 0 => {
                let (writer, denies, note) = (writer.clone(), denies.clone(), note.clone());
                let asked_at = Instant::now();
                thread::spawn(move || {
                    thread::sleep(delay.saturating_sub(asked_at.elapsed()));
                    let denied = denies(&payload);
                    if answer(&writer, id, if denied { DENIED } else { ALLOWED }).is_ok() {
                        note(&payload, Ruling { denied, asked_at, answered_at: Instant::now() });
                    }
                });
            }
            _ => {}
        }
    }
}

fn answer(writer: &Mutex<TcpStream>, id: u32, response: &[u8]) -> std::io::Result<()> {
    // Index 8 of the static table is `:status: 200`.
    let mut head = vec![0x88];
    header(&mut head, "content-type", "application/grpc");
    let mut message = vec![0];
    message.extend_from_slice(&(response.len() as u32).to_be_bytes());
    message.extend_from_slice(response);
    let mut trailers = Vec::new();
    header(&mut trailers, "grpc-status", "0");
    let mut bytes = frame(HEADERS, END_HEADERS, id, &head);
    bytes.extend(frame(DATA, 0, id, &message));
    bytes.extend(frame(HEADERS, END_HEADERS | END_STREAM, id, &trailers));
    writer.lock().expect("the writer").write_all(&bytes)
}

/// Appends a literal header field without indexing.
fn header(to: &mut Vec<u8>, name: &str, value: &str) {
    to.push(0);
    for text in [name, value] {
        to.push(text.len() as u8);
        to.extend_from_slice(text.as_bytes());
    }
}

fn frame(kind: u8, flags: u8, id: u32, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_be_bytes();
    let mut frame = vec![length[1], length[2], length[3], kind, flags];
    frame.extend_from_slice(&id.to_be_bytes());
    frame.extend_from_slice(payload);
    frame
}

fn write_frame(
    writer: &Mutex<TcpStream>,
    kind: u8,
    flags: u8,
    id: u32,
    payload: &[u8],
) -> std::io::Result<()> {
    writer.lock().expect("the writer").write_all(&frame(kind, flags, id, payload))
}
