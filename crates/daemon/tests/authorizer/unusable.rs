//! Responses without a usable decision: the fallback of the class applies.

use super::*;

/// How the authorizer reacts to a check request on a stream.
type Reaction = fn(u32) -> Vec<Action>;

fn write(parts: &[Vec<u8>]) -> Vec<Action> {
    vec![Action::Write(parts.concat())]
}

fn data(stream: u32, payload: &[u8]) -> Vec<u8> {
    raw_frame(DATA, 0, stream, payload)
}

fn head(stream: u32, fields: &[(&str, &str)], end: bool) -> Vec<u8> {
    let flags = END_HEADERS | if end { END_STREAM } else { 0 };
    raw_frame(HEADERS, flags, stream, &header_block(fields))
}

fn message() -> Vec<u8> {
    frame(&allow()).to_vec()
}

const UNUSABLE_RESPONSES: [(&str, Reaction); 21] = [
    ("two messages", |stream| {
        write(&[
            answer_head(stream),
            data(stream, &[message(), message()].concat()),
            answer_status(stream, "0"),
        ])
    }),
    ("truncated message", |stream| {
        write(&[answer_head(stream), data(stream, b"\0\0\0\0\x09\x0a"), answer_status(stream, "0")])
    }),
    ("length too long", |stream| {
        write(&[answer_head(stream), data(stream, b"\0\0\0\0\x05\x0a\0"), answer_status(stream, "0")])
    }),
    ("length too short", |stream| {
        write(&[answer_head(stream), data(stream, b"\0\0\0\0\x01\x0a\0"), answer_status(stream, "0")])
    }),
    ("length above every limit", |stream| write(&[answer_head(stream), data(stream, b"\0\xff\xff\xff\xff")])),
    ("compressed flag", |stream| {
        write(&[answer_head(stream), data(stream, b"\x01\0\0\0\x02\x0a\0"), answer_status(stream, "0")])
    }),
    ("unknown flag", |stream| {
        write(&[answer_head(stream), data(stream, b"\x40\0\0\0\0"), answer_status(stream, "0")])
    }),
    ("grpc-encoding", |stream| {
        let fields = [(":status", "200"), ("content-type", "application/grpc"), ("grpc-encoding", "gzip")];
        write(&[head(stream, &fields, false), data(stream, &message()), answer_status(stream, "0")])
    }),
    ("malformed message", |stream| {
        write(&[answer_head(stream), data(stream, b"\0\0\0\0\x02\x0a\x09"), answer_status(stream, "0")])
    }),
    ("trailers only, an error", |stream| {
        let fields = [(":status", "200"), ("content-type", "application/grpc"), ("grpc-status", "13")];
        write(&[head(stream, &fields, true)])
    }),
    ("trailers only, no error", |stream| {
        let fields = [(":status", "200"), ("content-type", "application/grpc"), ("grpc-status", "0")];
        write(&[head(stream, &fields, true)])
    }),
    ("a message and an error", |stream| {
        write(&[answer_head(stream), data(stream, &message()), answer_status(stream, "14")])
    }),
    ("no message", |stream| write(&[answer_head(stream), answer_status(stream, "0")])),
    ("no status", |stream| write(&[answer_head(stream), raw_frame(DATA, END_STREAM, stream, &message())])),
    ("malformed status", |stream| {
        write(&[answer_head(stream), data(stream, &message()), answer_status(stream, "zero")])
    }),
    ("HTTP 503", |stream| write(&[head(stream, &[(":status", "503")], true)])),
    ("HTML page", |stream| {
        write(&[head(stream, &[(":status", "200"), ("content-type", "text/html")], true)])
    }),
    ("denied_response with status OK", |stream| {
        let denied = HttpResponse::DeniedResponse(DeniedHttpResponse::default());
        write(&[answer(stream, &response(0, Some(denied)))])
    }),
    ("stream reset", |stream| {
        write(&[answer_head(stream), raw_frame(RST_STREAM, 0, stream, &CANCEL.to_be_bytes())])
    }),
    ("not HTTP/2", |_| write(&[vec![0xff; 64]])),
    ("connection closed", |_| vec![Action::Close]),
];

#[test]
fn every_unusable_response_passes_or_refuses_by_class() {
    for (name, rule) in UNUSABLE_RESPONSES {
        let authorizer = FakeAuthorizer::new(move |received| rule(received.stream));
        let server = server();
        let limiter = limiter(&authorizer, "timeout_ms = 5000\n", &server);
        assert_eq!(ask_quote_and_bind(&limiter), (200, 429), "{name}");
        assert_eq!(authorizer.count(), 2, "{name}: no check request is retried");
        assert_eq!(server.count(), 1, "{name}");
    }
}
