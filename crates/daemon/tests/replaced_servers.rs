//! A new process at the address of one that has gone: it is not taken for the old one.
mod common;

use common::*;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const OLD: &str = "old";
const NEW: &str = "new";

/// A server whose connections outlive its listener, as those to a machine that has vanished.
struct OldServer {
    address: SocketAddr,
    has_gone: Arc<AtomicBool>,
    accepting: thread::JoinHandle<()>,
}

impl OldServer {
    fn start() -> OldServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("an address");
        let has_gone: Arc<AtomicBool> = Arc::default();
        let ends = has_gone.clone();
        let accepting = thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if ends.load(Ordering::SeqCst) {
                    return;
                }
                thread::spawn(move || serve(stream));
            }
        });
        OldServer { address, has_gone, accepting }
    }

    /// Closes the listener, and starts a new process at its address. The connections stay open.
    fn replace(self) {
        self.has_gone.store(true, Ordering::SeqCst);
        drop(TcpStream::connect(self.address).expect("connect"));
        self.accepting.join().expect("joined");
        Fake::on_listener(TcpListener::bind(self.address).expect("bind again"), |_| ok(NEW));
    }
}

fn serve(mut stream: TcpStream) {
    let mut reader = BufReader::new(stream.try_clone().expect("clone"));
    while Message::read(&mut reader).is_some() {
        let _ = stream.write_all(raw("200 OK", "", OLD).as_bytes());
    }
}

fn started(mut instance: Value, at_ms: u64) -> Value {
    instance["startedAtMs"] = json!(at_ms);
    instance
}

/// Guards against requests that go to a process that has gone, over a connection that is still open, since another one
/// at its address was taken for it.
#[test]
fn a_new_process_at_an_address_gets_no_request_over_a_connection_to_the_old_one() {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a time");
    let now_ms = u64::try_from(now.as_millis()).expect("a number");
    in_parallel(["the same id", "another id"], |case| {
        let old = OldServer::start();
        let other = Fake::new(|_| ok("other"));
        let discovery = discovery(vec![instance("s-0", old.address, "in_service")]);
        let limiter = Limiter::start(settings(), &discovery, counter().address);
        for _ in 0..3 {
            assert_eq!(limiter.client().ask(&quote("roomy", 9_000)).text(), OLD);
            // Longer than a connection rests before it is used again.
            thread::sleep(Duration::from_millis(30));
        }
        let address = old.address;
        old.replace();
        let entries = match case {
            "the same id" => vec![started(instance("s-0", address, "in_service"), now_ms)],
            _ => vec![
                instance("s-0", address, "terminated"),
                started(instance("s-1", address, "in_service"), now_ms),
            ],
        };
        let told = [entries, vec![instance("s-9", other.address, "in_service")]].concat();
        discovery.push(&chunk(&update(11, false, &told)));
        wait_until("the update is in use", || {
            limiter.client().ask(&quote("roomy", 9_000));
            other.count() > 0
        });
        // The new process warms up, so that it gets few requests at first.
        wait_until("the new process is used", || {
            let answer = limiter.client().ask(&quote("roomy", 9_000)).text();
            assert_ne!(answer, OLD, "{case}");
            answer == NEW
        });
    });
}
