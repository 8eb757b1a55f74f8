//! The stand-in authoriser: answers external authorisation over HTTP/2 whose frames it writes by hand, so that
//! it can answer wrongly in ways that no library would.

use super::switch::FaultSwitch;
use crate::history::{Event, Recorder, Ruling};
use crate::net::link::{serve, Link, Pipe, Reserved};
use crate::scenario;
use liftrouter_authz::messages::envoy::r#type::v3::HttpStatus;
use liftrouter_authz::messages::envoy::service::auth::v3::check_response::HttpResponse;
use liftrouter_authz::messages::envoy::service::auth::v3::{CheckRequest, CheckResponse, DeniedHttpResponse};
use liftrouter_authz::messages::google::rpc::Status;
use liftrouter_authz::wire::{self, Frame};
use liftrouter_authz::{frame, Message, UnaryDecoder};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// The most bytes of a question.
const LARGEST: usize = 64 * 1024;
/// PERMISSION_DENIED.
const DENIED: i32 = 7;

/// The ways of answering wrongly, which take turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wrong {
    Twice,
    Half,
    Prefix,
    TrailersOnly,
    Compressed,
    Nothing,
    NoStatus,
    Reset,
}

const WRONG: [Wrong; 8] = [
    Wrong::Twice,
    Wrong::Half,
    Wrong::Prefix,
    Wrong::TrailersOnly,
    Wrong::Compressed,
    Wrong::Nothing,
    Wrong::NoStatus,
    Wrong::Reset,
];

#[derive(Default)]
struct State {
    slow: BTreeMap<u32, f64>,
    wrong: BTreeSet<u32>,
    leaving: BTreeSet<u32>,
    /// Questions so far: turns go by it.
    asked: usize,
}

/// The authoriser.
pub struct Authoriser {
    figures: scenario::Authoriser,
    recorder: Arc<Recorder>,
    state: Mutex<State>,
    /// Whether it takes connections.
    open: FaultSwitch,
    /// Whether it answers nothing.
    silent: FaultSwitch,
}

/// What a question got, once its time has come.
struct Ruled {
    stream: u32,
    id: u64,
    ruling: Ruling,
    say: Say,
}

/// What to do about a question.
enum Say {
    Write(Vec<u8>),
    /// Written at once, and then the answer.
    Leave {
        last: u32,
        answer: Option<Vec<u8>>,
    },
    Nothing,
}

impl Authoriser {
    /// One that works.
    pub fn new(figures: scenario::Authoriser, recorder: Arc<Recorder>) -> Arc<Authoriser> {
        Arc::new(Authoriser {
            figures,
            recorder,
            state: Mutex::default(),
            open: FaultSwitch::new(true),
            silent: FaultSwitch::new(false),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Listens for one limiter on an address of its own.
    ///
    /// # Errors
    /// It cannot be listened on.
    pub fn serve(
        self: &Arc<Self>,
        limiter: u16,
        link: Arc<Link>,
        reserved: Reserved,
    ) -> io::Result<SocketAddr> {
        let authoriser = self.clone();
        serve(reserved, link, self.open.subscribe(), move |pipe| {
            tokio::spawn(authoriser.clone().connection(limiter, pipe));
        })
    }

    async fn connection(self: Arc<Self>, limiter: u16, mut pipe: Pipe) {
        let mut open = self.open.subscribe();
        let (sender, mut answers) = mpsc::unbounded_channel::<Ruled>();
        // The last id of the lowest GOAWAY: what lies above was not seen, whatever becomes of it.
        let mut last = u32::MAX;
        let mut buffer = Vec::new();
        let mut greeted = false;
        let mut bodies: HashMap<u32, Vec<u8>> = HashMap::new();
        if pipe.write(&wire::raw(wire::SETTINGS, 0, 0, &[])).await.is_err() {
            return;
        }
        loop {
            let (came, answer) = tokio::select! {
                came = pipe.read() => match came {
                    Ok(Some((_, bytes))) => (bytes, None),
                    _ => return,
                },
                answer = answers.recv() => (Vec::new(), answer),
                _ = open.wait_for(|open| !*open) => return pipe.reset(),
            };
            if let Some(answer) = answer {
                if pipe.write(&self.rule(limiter, answer, &mut last)).await.is_err() {
                    return;
                }
                continue;
            }
            buffer.extend_from_slice(&came);
            if !greeted {
                if buffer.len() < wire::PREFACE.len() {
                    continue;
                }
                buffer.drain(..wire::PREFACE.len());
                greeted = true;
            }
            let mut reply = Vec::new();
            while let Some(frame) = Frame::take(&mut buffer) {
                let answer = frame.flags & wire::ACK == 0;
                match frame.kind {
                    wire::SETTINGS if answer => reply.extend(wire::raw(wire::SETTINGS, wire::ACK, 0, &[])),
                    wire::PING if answer => reply.extend(wire::raw(wire::PING, wire::ACK, 0, &frame.payload)),
                    wire::RST_STREAM => drop(bodies.remove(&frame.stream)),
                    wire::DATA => {
                        if !frame.payload.is_empty() {
                            let more = (frame.payload.len() as u32).to_be_bytes();
                            reply.extend(wire::raw(wire::WINDOW_UPDATE, 0, 0, &more));
                        }
                        let body = bodies.entry(frame.stream).or_default();
                        body.extend_from_slice(&frame.payload);
                        if frame.flags & wire::END_STREAM != 0 {
                            let body = bodies.remove(&frame.stream).unwrap_or_default();
                            tokio::spawn(self.clone().take(frame.stream, body, sender.clone()));
                        }
                    }
                    _ => {}
                }
            }
            if !reply.is_empty() && pipe.write(&reply).await.is_err() {
                return;
            }
        }
    }

    /// A question gets its answer, after its time.
    async fn take(self: Arc<Self>, stream: u32, body: Vec<u8>, answers: mpsc::UnboundedSender<Ruled>) {
        let mut unary = UnaryDecoder::new(LARGEST);
        let question = unary.push(&body).and_then(|()| unary.finish()).ok();
        let Some(question) = question.and_then(|q| CheckRequest::decode(q).ok()) else {
            let say = Say::Write(wire::trailers_only(stream, "3"));
            let _ = answers.send(Ruled { stream, id: 0, ruling: Ruling::Wrong, say });
            return;
        };
        let id = id_of(&question);
        let mut silent = self.silent.subscribe();
        let _ = silent.wait_for(|silent| !*silent).await;
        let slower: f64 = self.state().slow.values().sum();
        sleep(Duration::from_secs_f64((self.figures.call_ms + slower) / 1e3)).await;
        let _ = silent.wait_for(|silent| !*silent).await;
        let (ruling, say) = self.say(id, stream);
        let _ = answers.send(Ruled { stream, id, ruling, say });
    }

    /// Notes what a question got, and gives what is written for it.
    fn rule(&self, limiter: u16, Ruled { stream, id, ruling, say }: Ruled, last: &mut u32) -> Vec<u8> {
        let seen = stream <= *last;
        let bytes = match say {
            Say::Write(bytes) if seen => bytes,
            Say::Leave { last: named, answer } => {
                // An id that was named once can only be lowered (RFC 9113, 6.8).
                *last = named.min(*last);
                let answer = answer.filter(|_| stream <= *last);
                [wire::goaway(*last), answer.unwrap_or_default()].concat()
            }
            _ => Vec::new(),
        };
        let ruling = if seen { ruling } else { Ruling::Unseen };
        self.recorder.note(Event::Questioned { limiter, id, ruling });
        bytes
    }

    fn say(&self, id: u64, stream: u32) -> (Ruling, Say) {
        let deny = self.denies(id);
        let message = if deny { no() } else { yes() };
        let ruling = if deny { Ruling::Denied } else { Ruling::Allowed };
        let mut state = self.state();
        let turn = state.asked;
        state.asked += 1;
        if !state.wrong.is_empty() {
            return (Ruling::Wrong, wrong(WRONG[turn % WRONG.len()], stream, &message));
        }
        let answer = wire::answer(stream, &message);
        match (state.leaving.is_empty(), turn % 2) {
            (true, _) => (ruling, Say::Write(answer)),
            // Ours below its last id: answered. Ours above: not seen.
            (false, 0) => (ruling, Say::Leave { last: stream, answer: Some(answer) }),
            (false, _) => (Ruling::Unseen, Say::Leave { last: stream.saturating_sub(2), answer: None }),
        }
    }

    /// Whether a try is denied: by its id alone, so that each play denies the same.
    fn denies(&self, id: u64) -> bool {
        let mixed = id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
        (mixed as f64) < self.figures.deny * f64::from(1u32 << 24)
    }

    /// A fault begins: it answers nothing.
    pub fn fall_silent(&self, fault: u32) {
        self.silent.begin(fault);
    }

    /// A fault begins: it refuses connections, and ends those that are open.
    pub fn refuse(&self, fault: u32) {
        self.open.begin(fault);
    }

    /// A fault begins: answers take so many milliseconds longer.
    pub fn slow_down(&self, fault: u32, ms: f64) {
        self.state().slow.insert(fault, ms);
    }

    /// A fault begins: answers are wrong, in every way in turn.
    pub fn spoil(&self, fault: u32) {
        self.state().wrong.insert(fault);
    }

    /// A fault begins: every question meets a GOAWAY, in turn above and below its last id.
    pub fn leave(&self, fault: u32) {
        self.state().leaving.insert(fault);
    }

    /// What this fault did is over.
    pub fn undo(&self, fault: u32) {
        self.silent.end(fault);
        self.open.end(fault);
        let mut state = self.state();
        state.slow.remove(&fault);
        state.wrong.remove(&fault);
        state.leaving.remove(&fault);
    }
}

/// The try that a question is about; 0 where it does not say.
fn id_of(question: &CheckRequest) -> u64 {
    let http = question.attributes.as_ref().and_then(|a| a.request.as_ref()).and_then(|r| r.http.as_ref());
    let id = http.and_then(|http| http.headers.get("x-correlation-id"));
    id.and_then(|id| u64::from_str_radix(id, 16).ok()).unwrap_or_default()
}

fn yes() -> CheckResponse {
    CheckResponse { status: Some(Status::default()), http_response: None }
}

fn no() -> CheckResponse {
    let denied = DeniedHttpResponse { status: Some(HttpStatus { code: 403 }), ..Default::default() };
    CheckResponse {
        status: Some(Status { code: DENIED, message: "denied".into() }),
        http_response: Some(HttpResponse::DeniedResponse(denied)),
    }
}

fn wrong(way: Wrong, stream: u32, message: &CheckResponse) -> Say {
    let whole = frame(message);
    let with = |data: &[u8]| {
        let data = wire::raw(wire::DATA, 0, stream, data);
        Say::Write([wire::answer_head(stream), data, wire::answer_status(stream, "0")].concat())
    };
    match way {
        Wrong::Twice => with(&[&whole[..], &whole[..]].concat()),
        Wrong::Half => with(b"\0\0\0\0\x09\x0a"),
        Wrong::Prefix => with(b"\0\x7f\xff\xff\xff\x0a"),
        Wrong::TrailersOnly => Say::Write(wire::trailers_only(stream, "13")),
        Wrong::Compressed => with(b"\x01\0\0\0\x02\x0a\0"),
        Wrong::Nothing => Say::Nothing,
        Wrong::NoStatus => {
            let data = wire::raw(wire::DATA, wire::END_STREAM, stream, &whole);
            Say::Write([wire::answer_head(stream), data].concat())
        }
        Wrong::Reset => Say::Write([wire::answer_head(stream), wire::reset(stream, wire::CANCEL)].concat()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::schedule::Arrival;

    fn figures(deny: f64) -> scenario::Authoriser {
        scenario::Authoriser { deny, ..scenario::Authoriser::default() }
    }

    #[test]
    fn the_share_that_is_denied_is_about_what_was_asked_for() {
        let denied = |deny| {
            let one = Authoriser::new(figures(deny), Arc::default());
            (0..10_000).filter(|n| one.denies(Arrival::id(*n, 0))).count()
        };
        assert_eq!((denied(0.0), denied(1.0)), (0, 10_000));
        assert!((1_700..2_300).contains(&denied(0.2)), "{}", denied(0.2));
    }

    #[test]
    fn every_wrong_answer_is_another() {
        let text = |way| match wrong(way, 1, &no()) {
            Say::Write(bytes) => bytes,
            _ => Vec::new(),
        };
        let all: BTreeSet<Vec<u8>> = WRONG.into_iter().map(text).collect();
        assert_eq!(all.len(), WRONG.len());
    }

    #[test]
    fn faults_are_undone_one_by_one() {
        let one = Authoriser::new(figures(0.0), Arc::default());
        one.fall_silent(1);
        one.fall_silent(2);
        one.spoil(3);
        one.undo(1);
        assert!(*one.silent.borrow());
        assert_eq!(one.say(1, 1).0, Ruling::Wrong);
        one.undo(3);
        one.undo(2);
        assert!(!*one.silent.borrow());
        assert_eq!(one.say(1, 1).0, Ruling::Allowed);
        one.leave(4);
        let rulings: Vec<Ruling> = (0..2).map(|_| one.say(1, 1).0).collect();
        assert!(rulings.contains(&Ruling::Unseen) && rulings.contains(&Ruling::Allowed));
    }
}
