//! The rogue's front for external authorisation: frames are passed on as they come, but for permissions that are given
//! twice. Header lists are never touched, so what they say of each other stays right (RFC 7541, 2.3).

use super::{Committed, Rogue, Violation, BOUND};
use liftrouter_authz::messages::envoy::service::auth::v3::check_response::HttpResponse;
use liftrouter_authz::messages::envoy::service::auth::v3::{CheckRequest, CheckResponse};
use liftrouter_authz::wire::{self, Frame};
use liftrouter_authz::{Message, MessageDecoder};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// The largest question or answer that is looked into.
const LARGEST: usize = 64 * 1024;

/// Passes on what comes until it is dropped.
pub async fn serve(rogue: Rc<Rogue>, listener: TcpListener, limiter: SocketAddr) {
    loop {
        let Ok((client, _)) = listener.accept().await else { continue };
        let rogue = rogue.clone();
        spawn_local(async move {
            let Ok(server) = TcpStream::connect(limiter).await else { return };
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let ((from_client, to_client), (from_server, to_server)) =
                (client.into_split(), server.into_split());
            let asked = RefCell::default();
            // Whichever side ends, the other one's connection ends too.
            tokio::select! {
                () = questions(from_client, to_server, &asked) => {}
                () = answers(from_server, to_client, &asked, &rogue) => {}
            }
        });
    }
}

/// Who asks on a stream.
struct Asked {
    id: u64,
    customer: u64,
    bound: bool,
}

/// What a stream has brought so far.
type Streams = RefCell<HashMap<u32, Asked>>;

async fn questions(mut reader: OwnedReadHalf, mut writer: OwnedWriteHalf, asked: &Streams) {
    let (mut buffer, mut greeted) = (Vec::new(), false);
    let mut bodies: HashMap<u32, MessageDecoder> = HashMap::new();
    loop {
        let before = buffer.len();
        if !matches!(reader.read_buf(&mut buffer).await, Ok(read) if read > 0) {
            return;
        }
        if writer.write_all(&buffer[before..]).await.is_err() {
            return;
        }
        if !greeted {
            if buffer.len() < wire::PREFACE.len() {
                continue;
            }
            buffer.drain(..wire::PREFACE.len());
            greeted = true;
        }
        while let Some(frame) = Frame::take(&mut buffer) {
            if frame.kind == wire::RST_STREAM {
                bodies.remove(&frame.stream);
                asked.borrow_mut().remove(&frame.stream);
            }
            if frame.kind != wire::DATA {
                continue;
            }
            let body = bodies.entry(frame.stream).or_insert_with(|| MessageDecoder::new(LARGEST));
            body.push(&frame.payload);
            if let Some(question) = body.next_message().ok().flatten().and_then(|m| read(&m)) {
                asked.borrow_mut().insert(frame.stream, question);
            }
            if frame.flags & wire::END_STREAM != 0 {
                bodies.remove(&frame.stream);
            }
        }
    }
}

fn read(message: &[u8]) -> Option<Asked> {
    let http = CheckRequest::decode(message).ok()?.attributes?.request?.http?;
    let hex = |text: &str| u64::from_str_radix(text, 16).ok();
    Some(Asked {
        id: hex(http.headers.get("x-correlation-id")?)?,
        customer: hex(http.path.rsplit('/').next()?)?,
        bound: http.headers.get("x-contract").is_some_and(|plan| BOUND.contains(&plan.as_str())),
    })
}

async fn answers(mut reader: OwnedReadHalf, mut writer: OwnedWriteHalf, asked: &Streams, rogue: &Rogue) {
    let mut buffer = Vec::new();
    loop {
        if !matches!(reader.read_buf(&mut buffer).await, Ok(read) if read > 0) {
            return;
        }
        let mut out = Vec::new();
        while let Some(frame) = Frame::take(&mut buffer) {
            let bytes = wire::raw(frame.kind, frame.flags, frame.stream, &frame.payload);
            let question = match frame.kind {
                wire::DATA if !frame.payload.is_empty() => asked.borrow_mut().remove(&frame.stream),
                _ => None,
            };
            let twice =
                question.filter(|q| !q.bound && permits(&frame.payload) && rogue.draws_permission_twice());
            if let Some(question) = twice.filter(|_| frame.flags & wire::END_STREAM == 0) {
                out.extend_from_slice(&bytes);
                let (kind, id, customer) =
                    (Violation::PermissionTwice, Some(question.id), Some(question.customer));
                rogue.record.add(&Committed::meant(kind, id, customer, 1.0));
            }
            out.extend(bytes);
        }
        if writer.write_all(&out).await.is_err() {
            return;
        }
    }
}

/// Whether a frame holds a whole answer that permits.
fn permits(payload: &[u8]) -> bool {
    let mut messages = MessageDecoder::new(LARGEST);
    messages.push(payload);
    let response = messages.next_message().ok().flatten().and_then(|m| CheckResponse::decode(m).ok());
    response.is_some_and(|r| matches!(r.http_response, Some(HttpResponse::OkResponse(_))))
}
