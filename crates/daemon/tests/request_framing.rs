//! Where a request begins and ends: each head is judged by its own bytes, in whatever pieces they arrive.
mod common;

use common::*;

/// The headers that frame a body.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Chunked,
    LengthThenChunked,
    ChunkedThenLength,
    TwoEncodings,
    OtherEncoding,
}

impl Framing {
    const UNSOUND: [Framing; 4] = [
        Framing::LengthThenChunked,
        Framing::ChunkedThenLength,
        Framing::TwoEncodings,
        Framing::OtherEncoding,
    ];

    fn headers(self, length: usize) -> (String, String) {
        let (length, chunked) = (format!("Content-Length: {length}\r\n"), "Transfer-Encoding: chunked\r\n");
        match self {
            Framing::Chunked => (String::new(), chunked.into()),
            Framing::LengthThenChunked => (length, chunked.into()),
            Framing::ChunkedThenLength => (chunked.into(), length),
            Framing::TwoEncodings => (chunked.into(), chunked.into()),
            Framing::OtherEncoding => (String::new(), "Transfer-Encoding: gzip, chunked\r\n".into()),
        }
    }
}

/// A request with a chunked body, behind which another is hidden. A part of a header's value looks like the beginning
/// of a request of its own. Returns the request and the position of that part.
fn request_with_hidden_one(framing: Framing) -> (String, usize) {
    let hidden = post("once", "hidden");
    let body = format!("5\r\nhello\r\n0\r\n\r\n{hidden}");
    let (first, second) = framing.headers(body.len());
    let (start_line, headers) = ("POST /bind/00000000b4d65521 HTTP/1.1\r\n", post("bind", ""));
    let headers = headers.split_once("\r\n").expect("a start line").1.replace("Content-Length: 0\r\n", "");
    let before = format!("{start_line}{first}X-Note: ");
    let request = format!("{before}GET /note HTTP/1.1\r\n{second}{headers}{body}");
    (request, before.len())
}

/// Sends a request in two pieces, the first together with the request `before`. Returns the answer to it.
fn send_behind(limiter: &Limiter, before: &str, request: &str, cut: usize) -> (Client, Message) {
    let mut client = limiter.client();
    let answer = client.ask(&format!("{before}{}", &request[..cut]));
    assert_eq!(answer.status(), 200, "the request before: {before}");
    let answer = client.ask(&request[cut..]);
    (client, answer)
}

fn seen_bodies(server: &Fake) -> Vec<String> {
    server.seen().iter().map(Message::text).collect()
}

/// Guards against a head that is checked without its first bytes, which were received with the request before: one
/// with both lengths was forwarded, and the request hidden in its body could have been.
#[test]
fn an_ambiguous_request_behind_another_is_rejected_wherever_it_is_cut() {
    in_parallel(Framing::UNSOUND, |framing| {
        let server = Fake::new(|_| ok("served"));
        let limiter = Limiter::with_servers(&[&server]);
        let (request, like_a_head) = request_with_hidden_one(framing);
        let head = request.find("\r\n\r\n").expect("its end") + "\r\n\r\n".len();
        for cut in (1..head).step_by(7).chain([like_a_head, head - 1]) {
            for before in [&quote("roomy", 9000), &post("bind", "body"), "GET /up HTTP/1.1\r\n\r\n"] {
                let (mut client, answer) = send_behind(&limiter, before, &request, cut);
                assert_eq!(answer.status(), 400, "{framing:?}, cut at {cut}: {}", answer.text());
                assert!(
                    client.answer().is_none(),
                    "{framing:?}, cut at {cut}: the bytes behind it were read"
                );
            }
        }
        let bodies = seen_bodies(&server);
        assert!(bodies.iter().all(|body| ["", "body"].contains(&body.as_str())), "{framing:?}: {bodies:?}");
    });
}

/// Guards against a sound request that is rejected because its head was received in pieces.
#[test]
fn a_chunked_request_behind_another_is_served_wherever_it_is_cut() {
    let server = Fake::new(|_| ok("served"));
    let limiter = Limiter::with_servers(&[&server]);
    let length = request_with_hidden_one(Framing::Chunked).0.len();
    let cuts: Vec<usize> = (1..length).step_by(7).collect();
    for cut in &cuts {
        let (request, _) = request_with_hidden_one(Framing::Chunked);
        let (mut client, answer) = send_behind(&limiter, &quote("roomy", 9000), &request, *cut);
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")), "cut at {cut}");
        assert!(client.answer().is_none(), "cut at {cut}: the bytes behind it were read");
    }
    let bodies = seen_bodies(&server);
    assert_eq!(bodies.iter().filter(|body| *body == "hello").count(), cuts.len());
    assert!(!bodies.contains(&"hidden".to_string()));
}

/// Guards against a head that is checked without the bytes that were read ahead while the request before was open.
#[test]
fn an_ambiguous_request_that_begins_while_another_is_open_is_rejected() {
    for framing in Framing::UNSOUND {
        let (gate, server) = gated_server(|_| ok("served"));
        let limiter = Limiter::with_servers(&[&server]);
        let (request, like_a_head) = request_with_hidden_one(framing);
        let mut client = limiter.client();
        client.send(&post("bind", "body"));
        wait_until("the request before is open", || server.count() == 1);
        client.send(&request[..like_a_head]);
        gate.open();
        assert_eq!(client.answer().expect("an answer").status(), 200);
        assert_eq!(client.ask(&request[like_a_head..]).status(), 400, "{framing:?}");
        assert!(client.answer().is_none());
        assert_eq!(seen_bodies(&server), ["body"]);
    }
}

/// Guards against bytes of one request that are taken for a part of the next, or lost between the two.
#[test]
fn requests_of_every_form_are_served_in_any_pieces() {
    let server = Fake::new(|m| ok(m.header("x-correlation-id").unwrap_or_default()));
    let limiter = Limiter::with_servers(&[&server]);
    let large = "x".repeat(9_000);
    for piece in [1, 2, 3, 5, 64, 1_000, usize::MAX] {
        let mut chunked = post("bind", "").replace("Content-Length: 0\r\n", "Transfer-Encoding: Chunked\r\n");
        chunked.push_str("1\r\na\r\n2;note=1\r\nbc\r\n0\r\nX-Trailer: 1\r\n\r\n");
        let body = if piece < 64 { "four" } else { &large };
        let requests = [
            quote("roomy", 9000),
            post("bind", ""),
            format!("\r\n{}", post("once", body)),
            quote("roomy", 9000).replace("\r\n", "\n"),
            post("bind", body).replace("Host: api.internal", &format!("X-Large: {large}")),
            chunked,
        ];
        let mut client = limiter.client();
        for bytes in requests.concat().as_bytes().chunks(piece) {
            client.send(std::str::from_utf8(bytes).expect("text"));
        }
        for request in &requests {
            let answer = client.answer().expect("an answer");
            assert_eq!(
                (answer.status(), answer.text().as_str()),
                (200, correlation_id_of(request)),
                "{piece}"
            );
        }
        assert!(client.answer().is_none(), "the connection ends behind a chunked body");
    }
}

/// The correlation id in the text of a request with any line ends.
fn correlation_id_of(request: &str) -> &str {
    correlation_id(request).lines().next().expect("an id")
}

/// Guards against a response whose end two parsers find at different places: the bytes behind the first end would be
/// taken for the response to the next request.
#[test]
fn a_response_with_ambiguous_framing_is_not_passed_on() {
    let body = "5\r\nhello\r\n0\r\n\r\n";
    for framing in Framing::UNSOUND {
        let (first, second) = framing.headers(body.len());
        let response = format!("HTTP/1.1 200 OK\r\n{first}{second}\r\n{body}");
        let server = Fake::new(move |_| Reply::RawThenClose(response.clone()));
        let limiter = Limiter::with_servers(&[&server]);
        let answer = limiter.client().ask(&post("once", "x"));
        assert_eq!(
            (answer.status(), seen_bodies(&server).iter().filter(|body| *body == "x").count()),
            (502, 1),
            "{framing:?}"
        );
    }
}
