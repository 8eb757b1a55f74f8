//! Encodes and decodes HTTP/2 frames (RFC 9113, section 4.1) and uncompressed header lists (RFC 7541), for stand-ins
//! and tests that send what no library would. The limiter itself uses only the constants; the rest it leaves to hyper.

/// A frame of DATA.
pub const DATA: u8 = 0;
/// A frame of HEADERS.
pub const HEADERS: u8 = 1;
/// A frame of RST_STREAM.
pub const RST_STREAM: u8 = 3;
/// A frame of SETTINGS.
pub const SETTINGS: u8 = 4;
/// A frame of PING.
pub const PING: u8 = 6;
/// A frame of GOAWAY.
pub const GOAWAY: u8 = 7;
/// A frame of WINDOW_UPDATE.
pub const WINDOW_UPDATE: u8 = 8;
/// A frame of CONTINUATION.
pub const CONTINUATION: u8 = 9;
/// Flag of HEADERS and DATA: the last frame of the stream.
pub const END_STREAM: u8 = 1;
/// Flag of HEADERS and CONTINUATION: the last frame of the header list.
pub const END_HEADERS: u8 = 4;
/// Flag of SETTINGS and PING: an acknowledgement.
pub const ACK: u8 = 1;
/// The connection preface, which a client sends first.
pub const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// Error code REFUSED_STREAM.
pub const REFUSED_STREAM: u32 = 7;
/// Error code CANCEL.
pub const CANCEL: u32 = 8;

/// Length in bytes of the header before a frame's payload.
pub const FRAME_HEADER_LEN: usize = 9;

/// An HTTP/2 frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The frame type.
    pub kind: u8,
    /// The flags.
    pub flags: u8,
    /// The stream id; 0 for the connection itself.
    pub stream: u32,
    /// The payload, without the frame header.
    pub payload: Vec<u8>,
}

impl Frame {
    /// Removes the first frame from the received bytes, if all of it is there.
    pub fn take(buffer: &mut Vec<u8>) -> Option<Frame> {
        let head: [u8; FRAME_HEADER_LEN] = buffer.get(..FRAME_HEADER_LEN)?.try_into().ok()?;
        let [a, b, c, kind, flags, stream @ ..] = head;
        let end = FRAME_HEADER_LEN + u32::from_be_bytes([0, a, b, c]) as usize;
        let payload = buffer.get(FRAME_HEADER_LEN..end)?.to_vec();
        buffer.drain(..end);
        Some(Frame { kind, flags, stream: u32::from_be_bytes(stream) & 0x7fff_ffff, payload })
    }
}

/// Encodes a frame. The payload must be shorter than 16 MiB.
pub fn raw(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let [_, a, b, c] = (payload.len() as u32).to_be_bytes();
    let mut bytes = vec![a, b, c, kind, flags];
    bytes.extend_from_slice(&stream.to_be_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// Encodes a header list as literals that are neither indexed nor compressed (RFC 7541, section 6.2.2). Names and
/// values are truncated to 126 bytes, the longest length that is encoded in one byte.
pub fn headers(list: &[(&str, &str)]) -> Vec<u8> {
    let mut block = Vec::new();
    for (name, value) in list {
        block.push(0);
        for text in [name, value] {
            let text = &text.as_bytes()[..text.len().min(126)];
            block.push(text.len() as u8);
            block.extend_from_slice(text);
        }
    }
    block
}

/// HEADERS of a gRPC call.
pub fn call(stream: u32, path: &str) -> Vec<u8> {
    let list = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", path),
        (":authority", "limiter"),
        ("content-type", "application/grpc"),
        ("te", "trailers"),
    ];
    raw(HEADERS, END_HEADERS, stream, &headers(&list))
}

/// HEADERS that begin the response to a gRPC call.
pub fn answer_head(stream: u32) -> Vec<u8> {
    let list = [(":status", "200"), ("content-type", "application/grpc")];
    raw(HEADERS, END_HEADERS, stream, &headers(&list))
}

/// HEADERS that end the response: the trailers with its status.
pub fn answer_status(stream: u32, status: &str) -> Vec<u8> {
    raw(HEADERS, END_HEADERS | END_STREAM, stream, &headers(&[("grpc-status", status)]))
}

/// A complete response with one message and status 0.
pub fn answer(stream: u32, message: &impl prost::Message) -> Vec<u8> {
    let data = raw(DATA, 0, stream, &crate::frame(message));
    [answer_head(stream), data, answer_status(stream, "0")].concat()
}

/// A response of a status alone.
pub fn trailers_only(stream: u32, status: &str) -> Vec<u8> {
    let list = [(":status", "200"), ("content-type", "application/grpc"), ("grpc-status", status)];
    raw(HEADERS, END_HEADERS | END_STREAM, stream, &headers(&list))
}

/// RST_STREAM with an error code.
pub fn reset(stream: u32, code: u32) -> Vec<u8> {
    raw(RST_STREAM, 0, stream, &code.to_be_bytes())
}

/// GOAWAY with NO_ERROR; `last` is the last stream id that is processed.
pub fn goaway(last: u32) -> Vec<u8> {
    raw(GOAWAY, 0, 0, &[last.to_be_bytes(), [0; 4]].concat())
}
