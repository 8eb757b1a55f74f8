//! A stand-in for an API server. What it does with a request is decided by a function.

use crate::http::{self, Message};
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// What a server does with a request that has come whole.
pub enum Reaction {
    /// Answers with this status line and body.
    Answer(&'static str, String),
    /// Waits, then ends the connection without an answer.
    End(Duration),
    /// Waits, then answers.
    AnswerAfter(Duration, &'static str, String),
}

type Decide = Arc<dyn Fn(&Message) -> Reaction + Send + Sync>;

/// A running server; it listens until the process ends.
pub struct Node {
    pub id: String,
    pub address: SocketAddr,
}

impl Node {
    /// Starts a server on a free port.
    pub fn start(
        id: &str,
        decide: impl Fn(&Message) -> Reaction + Send + Sync + 'static,
    ) -> std::io::Result<Node> {
        Node::start_on(id, TcpListener::bind("127.0.0.1:0")?, decide)
    }

    /// Starts a server on a listener.
    pub fn start_on(
        id: &str,
        listener: TcpListener,
        decide: impl Fn(&Message) -> Reaction + Send + Sync + 'static,
    ) -> std::io::Result<Node> {
        let address = listener.local_addr()?;
        let decide: Decide = Arc::new(decide);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let decide = decide.clone();
                thread::spawn(move || serve(stream, &decide));
            }
        });
        Ok(Node { id: id.to_string(), address })
    }
}

fn serve(stream: TcpStream, decide: &Decide) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = http::read(&mut reader) {
        let written = match decide(&request) {
            Reaction::Answer(status, body) => http::respond(&mut writer, status, &[], &body),
            Reaction::End(wait) => {
                thread::sleep(wait);
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
            Reaction::AnswerAfter(wait, status, body) => {
                thread::sleep(wait);
                http::respond(&mut writer, status, &[], &body)
            }
        };
        if written.is_err() {
            return;
        }
    }
}
