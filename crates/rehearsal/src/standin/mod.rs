//! Stand-ins for what a limiter talks to. Each speaks the deployment's protocol on real sockets, notes what it
//! sees in the history, and can be made to fail by the number of a fault.

pub mod authoriser;
pub mod clients;
pub mod files;
pub mod keeper;
pub mod list;
pub mod nodes;
pub mod platform;
pub mod proxy;
pub mod rogue;
mod switch;

use crate::net::link::Pipe;
use crate::net::message::{take_request, Request};
use std::time::Instant;

/// A connection from which requests are read one by one.
pub struct Conn {
    /// What it runs over.
    pub pipe: Pipe,
    buffer: Vec<u8>,
    /// When the first byte of what is in the buffer came.
    first: Option<Instant>,
}

/// A request, and when its first and last bytes came.
pub struct Asked {
    /// The request.
    pub request: Request,
    /// Its first byte.
    pub first: Instant,
    /// Its last.
    pub last: Instant,
}

impl Conn {
    /// Over a pipe.
    pub fn new(pipe: Pipe) -> Conn {
        Conn { pipe, buffer: Vec::new(), first: None }
    }

    /// The next request; none where the connection ends, is reset, or brings what is none.
    pub async fn next(&mut self) -> Option<Asked> {
        let mut last = Instant::now();
        loop {
            if !self.buffer.is_empty() {
                match take_request(&mut self.buffer) {
                    Ok(Some(request)) => {
                        let first = self.first.take().unwrap_or(last);
                        self.first = (!self.buffer.is_empty()).then_some(last);
                        return Some(Asked { request, first, last });
                    }
                    Ok(None) => {}
                    Err(_) => return None,
                }
            }
            let (at, bytes) = self.pipe.read().await.ok()??;
            self.first.get_or_insert(at);
            last = at;
            self.buffer.extend_from_slice(&bytes);
        }
    }
}

/// The value of a parameter in a target's query.
fn parameter<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}
