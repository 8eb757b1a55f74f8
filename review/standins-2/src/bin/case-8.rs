//! Case 8: a bad client sends a request with `Content-Length` and `Transfer-Encoding`, in two pieces behind another.

use review_standins_2::case::{run, Case, Finding};
use review_standins_2::client::{Client, Request};
use review_standins_2::discovery;
use review_standins_2::http::{self, Message};
use review_standins_2::installation::{self, USUAL_KEYED_CLASS};
use review_standins_2::node::{Node, Reaction};
use review_standins_2::record::Record;
use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How often the bad client connects and tries.
const TRIES: usize = 20;
/// Time between the pieces of a request.
const BETWEEN: Duration = Duration::from_millis(50);

/// How the bad client sends the request.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Form {
    /// By itself, in one piece.
    Alone,
    /// Its first bytes together with another request, the rest once that is answered.
    BehindAnother,
}

fn main() {
    run(case)
}

/// A request of the bad client, cut in two. Its head holds `Transfer-Encoding` and, with `both`, `Content-Length`, by
/// which the body reaches over the last chunk and a further request. The second piece looks like a head of its own.
fn bad_request(number: usize, both: bool) -> (String, String) {
    let fields = "X-Contract: network\r\nX-Time-Left: 2000m\r\nX-Metering: units=1,spread=2,first=0\r\n";
    let hidden = format!(
        "POST /bind-policy/0000000000000003 HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: hidden-{number}\r\n\
         Idempotency-Key: hidden-{number}\r\n{fields}Content-Length: 0\r\n\r\n"
    );
    let body = format!("5\r\nhello\r\n0\r\n\r\n{hidden}");
    let length = if both { format!("Content-Length: {}\r\n", body.len()) } else { String::new() };
    let first =
        format!("POST /bind-policy/0000000000000002 HTTP/1.1\r\nHost: api.internal\r\n{length}X-Note: ");
    let second = format!(
        "GET /note HTTP/1.1\r\nTransfer-Encoding: chunked\r\nX-Correlation-Id: bad-{number}\r\n\
         Idempotency-Key: bad-{number}\r\n{fields}\r\n{body}"
    );
    (first, second)
}

/// The usual request that stands before a bad one.
fn usual(number: usize) -> Request {
    Request {
        class: "price-quote",
        customer: 2,
        plan: "network",
        id: format!("before-{number}"),
        key: None,
        time_left_ms: 2_000,
        spread: 2,
    }
}

/// Sends a bad request on a connection of its own; the answer to it, if one came within 3 s.
fn send(listen: SocketAddr, number: usize, form: Form, both: bool, log: &Record) -> Option<Message> {
    let (first, second) = bad_request(number, both);
    let stream = TcpStream::connect_timeout(&listen, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    let mut stream = BufReader::new(stream);
    match form {
        Form::Alone => stream.get_mut().write_all(format!("{first}{second}").as_bytes()).ok()?,
        Form::BehindAnother => {
            let mut piece = usual(number).bytes();
            piece.extend(first.as_bytes());
            stream.get_mut().write_all(&piece).ok()?;
            let answer = http::read(&mut stream)?;
            log.line(format!("client: request before-{number} is answered {}", answer.status()));
            thread::sleep(BETWEEN);
            stream.get_mut().write_all(second.as_bytes()).ok()?;
        }
    }
    let answer = http::read(&mut stream);
    let status = answer.as_ref().map_or(0, Message::status);
    log.line(format!(
        "bad client ({form:?}, both lengths: {both}): request bad-{number} is answered {status}"
    ));
    answer
}

fn case(case: &Case) -> Result<Finding, String> {
    let fail = |error: std::io::Error| error.to_string();
    let record = &case.record;
    let ran: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let mut entries = Vec::new();
    for id in ["s-1", "s-2", "s-3"] {
        let (ran, log) = (ran.clone(), record.clone());
        let node = Node::start(id, move |request| {
            let name = request.header("x-correlation-id").unwrap_or("-").to_string();
            log.line(format!("{id} runs request {name}: {} with {:?}", request.start, request.text()));
            ran.lock().expect("the names").insert(name.clone());
            Reaction::AnswerAfter(Duration::from_millis(10), "200 OK", format!("done {name}"))
        })
        .map_err(fail)?;
        entries.push(installation::in_service(&node));
    }
    let discovery = discovery::start(&entries).map_err(fail)?;
    let mut limiters = installation::start_two_limiters(case, USUAL_KEYED_CLASS, discovery, None)?;
    let mut usual_client = Client::new(limiters[1].listen);
    let (mut served_alone, mut served_behind) = (0, 0);
    for number in 0..TRIES {
        let listen = limiters[number % 2].listen;
        if case.trouble {
            let alone = send(listen, 1_000 + number, Form::Alone, true, record);
            served_alone += usize::from(alone.is_some_and(|answer| answer.status() == 200));
        }
        let behind = send(listen, number, Form::BehindAnother, case.trouble, record);
        served_behind += usize::from(behind.is_some_and(|answer| answer.status() == 200));
        let request = Request { id: format!("usual-{number}"), ..usual(number) };
        let status = usual_client.ask(&request).map_or(0, |answer| answer.status());
        record.line(format!("client: request {} is answered {status}", request.id));
        if status != 200 {
            return Err(format!("a usual request was answered {status}"));
        }
    }
    installation::finish(case, &mut limiters)?;
    let ran = ran.lock().expect("the names");
    let count = |prefix: &str| ran.iter().filter(|name| name.starts_with(prefix)).count();
    let (bad, hidden) = (count("bad-"), count("hidden-"));
    let summary = format!(
        "{TRIES} tries: served alone {served_alone}, served behind another {served_behind}; run at servers: {bad} \
         of the bad client, {hidden} of those in its bodies"
    );
    record.line(&summary);
    println!("{summary}");
    if !case.trouble {
        // Without `Content-Length` the request is sound, and is served.
        return if served_behind == TRIES {
            Ok(Finding::Held)
        } else {
            Err("a sound request was not served".into())
        };
    }
    if served_alone + served_behind + bad + hidden > 0 {
        return Ok(Finding::Broken(format!(
            "{served_behind} requests with both lengths were served with an answer, {bad} were run"
        )));
    }
    Ok(Finding::Held)
}
