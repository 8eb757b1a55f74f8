//! One call: what it asks, and its one answer.

use super::connection::Call as Open;
use super::reply::{self, Reply};
use super::Grpc;
use crate::authoriser::VIA;
use crate::events::{Answer, DisconnectGuard, IncomingRequest, RequestKind};
use crate::listeners::fields;
use crate::listeners::gate::{Held, Question};
use crate::number::read_number;
use crate::upstream::servers::OWN;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use liftrouter_authz::messages::envoy::service::auth::v3::{CheckRequest, CheckResponse};
use liftrouter_authz::messages::grpc::health::v1::health_check_response::ServingStatus;
use liftrouter_authz::messages::grpc::health::v1::{HealthCheckRequest, HealthCheckResponse};
use liftrouter_authz::messages::grpc::reflection::v1::ServerReflectionRequest;
use liftrouter_authz::{
    denied, frame, permitted, read_timeout, reflect, Asked, Code, Denial, Message, Splitter, Status, Unary,
    WrongFrame, AUTHORIZATION, HEALTH, REFLECTION, SERVICES,
};
use liftrouter_decision::{Idempotency, Settings};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{timeout, timeout_at, Instant};

const GRPC_TIMEOUT: HeaderName = HeaderName::from_static("grpc-timeout");
const GRPC_ENCODING: HeaderName = HeaderName::from_static("grpc-encoding");

/// A message must be whole within this time, as bodies must over HTTP/1.1.
const BODY_TIME: Duration = Duration::from_secs(2);
/// And the next question of a reflection stream.
const REFLECTION_IDLE: Duration = Duration::from_secs(10);
const REFLECTION_MESSAGE: usize = 4 * 1024;
const REFLECTION_QUESTIONS: usize = 100;
const EARLIER_REFLECTION: &str = "grpc.reflection.v1alpha.ServerReflection";
/// The most limiters that a question may have come through.
const MOST_VIA: usize = 8;
/// The longest that a call without a deadline of its own waits for its decision.
const LONGEST: Duration = Duration::from_secs(10);
/// The longest that a permitted call counts as out, whatever its class says.
const LONGEST_CALL: Duration = Duration::from_secs(3_600);

/// Answers a call. Dropped before, its stream was reset or its connection ended: with it goes whatever it
/// waits for, and the module is told.
pub async fn respond(grpc: &Rc<Grpc>, open: Open, request: Request<Incoming>) -> Response<Reply> {
    let came = Instant::now();
    let (head, body) = request.into_parts();
    if head.method != Method::POST {
        return reply::plain(StatusCode::METHOD_NOT_ALLOWED);
    }
    // "If Content-Type does not begin with application/grpc, servers SHOULD respond with 415."
    let kind = head.headers.get(CONTENT_TYPE).map_or(&b""[..], HeaderValue::as_bytes);
    let rest = kind.strip_prefix(b"application/grpc");
    if !rest.is_some_and(|rest| rest.is_empty() || rest == b"+proto" || rest.starts_with(b";")) {
        return reply::plain(StatusCode::UNSUPPORTED_MEDIA_TYPE);
    }
    let (path, headers) = (head.uri.path(), &head.headers);
    let (service, method) = path.strip_prefix('/').and_then(|p| p.rsplit_once('/')).unwrap_or_default();
    let answered = match (service, method) {
        (AUTHORIZATION, "Check") => check(grpc, headers, body, came).await.map(|(a, gone)| {
            let reply = reply::message(&a, open.answered());
            reply.map(|reply| reply.owed_to(gone))
        }),
        (HEALTH, "Check") => {
            health(grpc, headers, body, came).await.map(|a| reply::message(&a, open.answered()))
        }
        (HEALTH, "Watch") => watch(grpc, headers, body, (came, open)).await,
        // Tools of before the first version was settled ask the same under its earlier name.
        (REFLECTION | EARLIER_REFLECTION, "ServerReflectionInfo") => Ok(reflection(body, open)),
        _ => Err(Status::new(Code::Unimplemented, "no such method")),
    };
    answered.unwrap_or_else(|status| reply::status(&status))
}

fn invalid(what: impl Into<std::borrow::Cow<'static, str>>) -> Status {
    Status::new(Code::InvalidArgument, what)
}

fn wrong_frame(wrong: WrongFrame) -> Status {
    let code = match wrong {
        // "If the flag is set and no grpc-encoding was given, INTERNAL."
        WrongFrame::Compressed => Code::Internal,
        WrongFrame::TooLarge { .. } => Code::ResourceExhausted,
        _ => Code::InvalidArgument,
    };
    Status::new(code, wrong.to_string())
}

fn too_late() -> Status {
    Status::new(Code::DeadlineExceeded, "the call's deadline has passed")
}

/// When the call is over, by its `grpc-timeout`.
fn deadline(headers: &HeaderMap, came: Instant) -> Result<Instant, Status> {
    let Some(value) = headers.get(GRPC_TIMEOUT) else { return Ok(came + LONGEST) };
    let time = value.to_str().ok().and_then(read_timeout);
    let time = time.ok_or_else(|| invalid("grpc-timeout is malformed, expected digits and a unit"))?;
    Ok(came + time.min(LONGEST))
}

/// Reads the call's one message.
async fn read<'a, M: Message + Default>(
    grpc: &'a Grpc,
    headers: &HeaderMap,
    mut body: Incoming,
    due: Instant,
) -> Result<(M, Held<'a>), Status> {
    if headers.get(GRPC_ENCODING).is_some_and(|v| v != "identity") {
        return Err(Status::new(Code::Unimplemented, "grpc-encoding is not supported, expected identity"));
    }
    let busy = || Status::new(Code::ResourceExhausted, "too much is open");
    let mut held = grpc.gate.hold(0).ok_or_else(busy)?;
    let mut unary = Unary::new(grpc.limits.message);
    let until = due.min(Instant::now() + BODY_TIME);
    loop {
        let frame = match timeout_at(until, body.frame()).await {
            Err(_) => return Err(Status::new(Code::DeadlineExceeded, "the message came too slowly")),
            Ok(None) => break,
            // The stream is reset or broken: nobody reads this.
            Ok(Some(Err(_))) => return Err(invalid("the message cannot be read")),
            Ok(Some(Ok(frame))) => frame,
        };
        if let Some(data) = frame.data_ref() {
            if !held.grow(data.len()) {
                return Err(busy());
            }
            unary.push(data).map_err(wrong_frame)?;
        }
    }
    let message = unary.finish().map_err(wrong_frame)?;
    let message = M::decode(message).map_err(|e| invalid(format!("the message is malformed: {e}")))?;
    Ok((message, held))
}

/// The parts of a question that are more than names.
struct Checked {
    id: HeaderValue,
    customer: String,
    units: f64,
    width: u32,
    /// How long the call may be out.
    held: Duration,
}

/// Checks a question as the HTTP front checks a head.
fn checked(asked: &Asked, settings: &Settings, hold: Option<Duration>) -> Result<Checked, Status> {
    let class = settings.classes.iter().find(|c| c.name == asked.class);
    let class = class.ok_or_else(|| invalid("the class is unknown"))?;
    let customer = fields::customer(&asked.customer).ok_or_else(|| invalid("the customer is malformed"))?;
    if !settings.plans.iter().any(|p| p.name == asked.plan) {
        return Err(invalid("the plan is unknown"));
    }
    let units = read_number(&asked.units).and_then(|units| fields::units(units, settings));
    let units = units.ok_or_else(|| invalid("the units are malformed"))?;
    let width = read_number(&asked.width).and_then(|width| fields::width(width, settings));
    let width = width.ok_or_else(|| invalid("the width is malformed"))?;
    let id = Some(&asked.id).filter(|id| id.len() <= fields::MAX_ID);
    let id = id.and_then(|id| HeaderValue::from_str(id).ok());
    let id = id.ok_or_else(|| invalid("the id is malformed"))?;
    let key = asked.key.as_ref().filter(|key| key.len() <= fields::MAX_ID);
    if class.idempotency == Idempotency::IdempotencyKey && key.is_none() {
        return Err(invalid("the key is missing or malformed"));
    }
    let time_left = match &asked.time_left {
        Some(text) => fields::time_left(text, class).ok_or_else(|| invalid("the time left is malformed"))?,
        None if class.deadline > 0.0 => Duration::try_from_secs_f64(class.deadline).unwrap_or(LONGEST_CALL),
        None => LONGEST,
    };
    if asked.add.iter().any(|(_, value)| HeaderValue::from_str(value).is_err()) {
        return Err(invalid("a header to add would be malformed"));
    }
    let held = hold.map_or(time_left, |hold| hold.min(time_left)).min(LONGEST_CALL);
    Ok(Checked { id, customer, units, width, held })
}

/// One question, one decision, one answer; with a permission, whoever is to be told that it never came.
async fn check(
    grpc: &Grpc,
    headers: &HeaderMap,
    body: Incoming,
    came: Instant,
) -> Result<(CheckResponse, Option<DisconnectGuard>), Status> {
    let due = deadline(headers, came)?;
    let (question, _held) = read::<CheckRequest>(grpc, headers, body, due).await?;
    let via = headers.get_all(VIA).iter().filter_map(|v| v.to_str().ok()).flat_map(|v| v.split(','));
    let via: Vec<String> = via.map(|n| n.trim().to_string()).filter(|name| !name.is_empty()).collect();
    if via.contains(&grpc.name) || via.len() > MOST_VIA {
        // Asked about itself, the limiter would ask again for ever.
        return Err(Status::new(Code::FailedPrecondition, "the question has come in a loop"));
    }
    let asked = grpc.mapping.read(&question).map_err(|missing| invalid(missing.to_string()))?;
    let Checked { id, customer, units, width, held } =
        checked(&asked, &grpc.gate.settings, grpc.limits.hold)?;
    if grpc.gate.is_full() {
        return Err(Status::new(Code::ResourceExhausted, "too many requests are open"));
    }
    let open = grpc.gate.open(&id);
    let _open = open.ok_or_else(|| Status::new(Code::AlreadyExists, "a request with this id is open"))?;
    let now = Instant::now();
    if now >= due {
        return Err(too_late());
    }
    let ending = || Status::new(Code::Unavailable, "the limiter is ending");
    let due = grpc.gate.due(due).ok_or_else(ending)?;
    let arrival = IncomingRequest {
        customer,
        plan: asked.plan,
        class: asked.class,
        units,
        reachable_instances: width,
        is_retry: asked.repeat,
        kind: RequestKind::Authorization { deadline: now + held },
    };
    let make = || question.clone();
    let put = Question { make: &make, via: &via, due };
    match timeout_at(due, grpc.gate.ask(arrival, &put)).await {
        Ok((Answer::Authorized(gone), changes)) => Ok((permitted(&changes, &OWN, asked.add), Some(gone))),
        Ok((Answer::Denied(denial), _)) => Ok((denied(denial), None)),
        Ok((Answer::Rejected(refusal), _)) => Ok((refused(refusal.retry_after), None)),
        // A permission is never served; the module fails none either.
        Ok((Answer::Failed | Answer::Served(_), _)) => Err(Status::new(Code::Unavailable, "no decision")),
        Err(_) => Err(too_late()),
    }
}

fn refused(stay_away: f64) -> CheckResponse {
    let advice = (stay_away > 0.0).then(|| (RETRY_AFTER.to_string(), format!("{stay_away:.3}")));
    denied(Denial {
        status: StatusCode::TOO_MANY_REQUESTS.as_u16(),
        code: Code::ResourceExhausted as i32,
        headers: advice.into_iter().collect(),
        body: "refused: trying again is harmless\n".into(),
    })
}

fn serving(grpc: &Grpc, service: &str) -> ServingStatus {
    match (service.is_empty() || SERVICES.contains(&service), *grpc.serving.borrow()) {
        (true, true) => ServingStatus::Serving,
        (true, false) => ServingStatus::NotServing,
        (false, _) => ServingStatus::ServiceUnknown,
    }
}

fn health_message(status: ServingStatus) -> HealthCheckResponse {
    HealthCheckResponse { status: status.into() }
}

async fn health(
    grpc: &Grpc,
    headers: &HeaderMap,
    body: Incoming,
    came: Instant,
) -> Result<HealthCheckResponse, Status> {
    let due = deadline(headers, came)?;
    let (question, _held) = read::<HealthCheckRequest>(grpc, headers, body, due).await?;
    match serving(grpc, &question.service) {
        ServingStatus::ServiceUnknown => Err(Status::new(Code::NotFound, "no such service")),
        status => Ok(health_message(status)),
    }
}

/// Tells the state now and each change of it, until the client leaves or its connection is sent away.
async fn watch(
    grpc: &Rc<Grpc>,
    headers: &HeaderMap,
    body: Incoming,
    (came, open): (Instant, Open),
) -> Result<Response<Reply>, Status> {
    let due = deadline(headers, came)?;
    let (HealthCheckRequest { service }, _) = read(grpc, headers, body, due).await?;
    let (sender, messages) = mpsc::channel(1);
    let grpc = grpc.clone();
    tokio::task::spawn_local(async move {
        let mut state = grpc.serving.subscribe();
        let mut last = None;
        loop {
            state.mark_unchanged();
            let now = serving(&grpc, &service);
            if last.replace(now) != Some(now) && sender.send(Ok(frame(&health_message(now)))).await.is_err() {
                return;
            }
            if open.is_leaving() {
                let end = Status::new(Code::Unavailable, "the connection is being closed");
                let _ = sender.send(Err(end)).await;
                return;
            }
            tokio::select! {
                _ = state.changed() => {}
                () = open.sent_away() => {}
                () = sender.closed() => return,
            }
        }
    });
    Ok(reply::stream(messages))
}

/// Answers questions one by one; a tool that asks nothing for a while is let go.
fn reflection(mut body: Incoming, open: Open) -> Response<Reply> {
    let (sender, messages) = mpsc::channel(1);
    tokio::task::spawn_local(async move {
        let _open = open;
        let mut splitter = Splitter::new(REFLECTION_MESSAGE);
        for _ in 0..REFLECTION_QUESTIONS {
            let question = loop {
                match splitter.next_message() {
                    Ok(Some(message)) => break Ok(message),
                    Ok(None) => {}
                    Err(wrong) => break Err(wrong_frame(wrong)),
                }
                match timeout(REFLECTION_IDLE, body.frame()).await {
                    Ok(Some(Ok(frame))) => splitter.push(frame.data_ref().map_or(&[][..], |data| data)),
                    Ok(None) if splitter.is_empty() => return,
                    Ok(None) => break Err(wrong_frame(WrongFrame::Half)),
                    Ok(Some(Err(_))) => return,
                    Err(_) => break Err(Status::new(Code::DeadlineExceeded, "no question came")),
                }
            };
            let question = question.and_then(|message| {
                let malformed = |e| invalid(format!("the message is malformed: {e}"));
                ServerReflectionRequest::decode(message).map_err(malformed)
            });
            let answer = question.map(|question| frame(&reflect(question)));
            let last = answer.is_err();
            if sender.send(answer).await.is_err() || last {
                return;
            }
        }
        let _ = sender.send(Err(Status::new(Code::ResourceExhausted, "too many questions"))).await;
    });
    reply::stream(messages)
}
