//! `envoy.service.auth.v3.Authorization/Check`: decides a check request.

use super::context::CallContext;
use super::unary::{
    deadline_exceeded, invalid_argument, out_of_memory, parse_deadline, read_message, shutting_down, MAX_WAIT,
};
use crate::authorizer::{AuthorizationRequest, VIA};
use crate::decimal::parse_decimal;
use crate::events::{Answer, DisconnectGuard, IncomingRequest, RejectionCause, RequestKind};
use crate::listeners::fields::{self, MAP_ENTRY_BYTES, MAX_ID_BYTES};
use crate::memory::MemoryReservation;
use crate::upstream::headers::RESERVED;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::StatusCode;
use liftrouter_authz::messages::envoy::service::auth::v3::{CheckRequest, CheckResponse};
use liftrouter_authz::{denied_response, ok_response, Code, Denial, RequestFields, Status};
use liftrouter_decision::{Class, Idempotency, Settings};
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// The maximum number of limiters that a check request may have passed through.
const MAX_VIA: usize = 8;
/// The maximum time that a permitted call counts as in flight, even if its class allows more.
const MAX_CALL_DURATION: Duration = Duration::from_secs(3_600);

/// The decision about a check request.
pub(super) struct Decision {
    pub response: CheckResponse,
    /// Present if the call is permitted: reports a disconnect if the response is never sent.
    pub disconnect: Option<DisconnectGuard>,
}

impl Decision {
    fn denied(denial: Denial) -> Decision {
        Decision { response: denied_response(denial), disconnect: None }
    }
}

/// The validated and converted fields of a check request.
struct CheckedFields {
    id: HeaderValue,
    customer: String,
    units: f64,
    reachable_instances: u32,
    /// The maximum time that the call counts as in flight.
    call_duration: Duration,
}

/// Decides a check request.
///
/// # Errors
/// The status for a call that ends without a decision.
pub(super) async fn check(
    context: &CallContext,
    headers: &HeaderMap,
    body: Incoming,
    memory: MemoryReservation,
    received_at: Instant,
) -> Result<Decision, Status> {
    let deadline = parse_deadline(headers, received_at)?;
    let (check, mut memory) = read_message::<CheckRequest>(context, headers, body, memory, deadline).await?;
    memory.grow_by(memory_of_maps(&check)).map_err(out_of_memory)?;
    let via = parse_via(headers);
    if via.contains(&context.instance_name) || via.len() > MAX_VIA {
        // Without this check, a limiter that received its own check request would send it around the loop forever.
        return Err(Status::new(Code::FailedPrecondition, "the question has come in a loop"));
    }
    let fields = context.mapping.read(&check).map_err(|missing| invalid_argument(missing.to_string()))?;
    let admission = &context.admission;
    let checked = check_fields(&fields, &admission.settings, context.limits.max_hold)?;
    if admission.is_full() {
        return Err(Status::new(Code::ResourceExhausted, "too many requests are open"));
    }
    let open_id = admission.open_request_id(&checked.id);
    let open_id =
        open_id.ok_or_else(|| Status::new(Code::AlreadyExists, "a request with this id is open"))?;
    let now = Instant::now();
    if now >= deadline {
        return Err(deadline_exceeded());
    }
    let deadline = admission.shutdown_deadline().cap(deadline).ok_or_else(shutting_down)?;
    let request = IncomingRequest {
        customer: checked.customer,
        plan: fields.plan,
        class: fields.class,
        units: checked.units,
        reachable_instances: checked.reachable_instances,
        is_retry: fields.repeat,
        kind: RequestKind::Authorization { deadline: now + checked.call_duration },
        open_id,
    };
    let build = || check.clone();
    let authorization = AuthorizationRequest { build: &build, via: &via, deadline };
    match timeout_at(deadline, admission.answer(request, &authorization)).await {
        Ok((Answer::Authorized(disconnect), changes)) => {
            let response = ok_response(&changes, &RESERVED, fields.add);
            Ok(Decision { response, disconnect: Some(disconnect) })
        }
        Ok((Answer::Denied(denial), _)) => Ok(Decision::denied(denial)),
        Ok((Answer::Rejected(rejection), _)) if rejection.cause == RejectionCause::ShuttingDown => {
            Err(shutting_down())
        }
        Ok((Answer::Rejected(rejection), _)) => Ok(Decision::denied(rejected(rejection.retry_after_s))),
        // The host never answers an authorization request with a served response or a failure.
        Ok((Answer::Failed | Answer::Served(_), _)) => Err(Status::new(Code::Unavailable, "no decision")),
        Err(_) => Err(deadline_exceeded()),
    }
}

/// About how much memory the maps of a check request take beside their keys and values, which the message had too: many
/// short entries take a multiple of their size in the message.
fn memory_of_maps(check: &CheckRequest) -> usize {
    let Some(attributes) = &check.attributes else { return 0 };
    let http = attributes.request.as_ref().and_then(|request| request.http.as_ref());
    let peers = [&attributes.source, &attributes.destination];
    let labels: usize = peers.into_iter().flatten().map(|peer| peer.labels.len()).sum();
    let headers = http.map_or(0, |http| http.headers.len());
    (headers + attributes.context_extensions.len() + labels) * MAP_ENTRY_BYTES
}

/// The names of the limiters that the check request has passed through.
fn parse_via(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(VIA).iter().filter_map(|value| value.to_str().ok());
    let names = values.flat_map(|value| value.split(',')).map(|name| name.trim().to_string());
    names.filter(|name| !name.is_empty()).collect()
}

/// Validates the fields of a check request, as the HTTP listener validates a request head.
fn check_fields(
    fields: &RequestFields,
    settings: &Settings,
    max_hold: Option<Duration>,
) -> Result<CheckedFields, Status> {
    let class = settings.classes.iter().find(|class| class.name == fields.class);
    let class = class.ok_or_else(|| invalid_argument("the class is unknown"))?;
    let customer = fields::parse_customer(&fields.customer);
    let customer = customer.ok_or_else(|| invalid_argument("the customer is malformed"))?;
    if !settings.plans.iter().any(|plan| plan.name == fields.plan) {
        return Err(invalid_argument("the plan is unknown"));
    }
    let units = parse_decimal(&fields.units).and_then(|units| fields::check_units(units, settings));
    let units = units.ok_or_else(|| invalid_argument("the units are malformed"))?;
    let width = parse_decimal(&fields.width);
    let reachable_instances = width.and_then(|width| fields::check_reachable_instances(width, settings));
    let reachable_instances =
        reachable_instances.ok_or_else(|| invalid_argument("the width is malformed"))?;
    let id = Some(&fields.id).filter(|id| id.len() <= MAX_ID_BYTES);
    let id = id.and_then(|id| HeaderValue::from_str(id).ok());
    let id = id.ok_or_else(|| invalid_argument("the id is malformed"))?;
    let key = fields.key.as_ref().filter(|key| key.len() <= MAX_ID_BYTES);
    if class.idempotency == Idempotency::IdempotencyKey && key.is_none() {
        return Err(invalid_argument("the key is missing or malformed"));
    }
    let time_left = call_time_left(fields, class)?;
    if fields.add.iter().any(|(_, value)| HeaderValue::from_str(value).is_err()) {
        return Err(invalid_argument("a header to add would be malformed"));
    }
    let call_duration = max_hold.map_or(time_left, |max_hold| max_hold.min(time_left)).min(MAX_CALL_DURATION);
    Ok(CheckedFields { id, customer, units, reachable_instances, call_duration })
}

/// The time left to the call: its own if given, else the deadline of its class, else [`MAX_WAIT`].
fn call_time_left(fields: &RequestFields, class: &Class) -> Result<Duration, Status> {
    match &fields.time_left {
        Some(text) => {
            fields::parse_time_left(text, class).ok_or_else(|| invalid_argument("the time left is malformed"))
        }
        None if class.deadline_s > 0.0 => {
            Ok(Duration::try_from_secs_f64(class.deadline_s).unwrap_or(MAX_CALL_DURATION))
        }
        None => Ok(MAX_WAIT),
    }
}

fn rejected(retry_after: f64) -> Denial {
    let retry_after_header =
        (retry_after > 0.0).then(|| (RETRY_AFTER.to_string(), format!("{retry_after:.3}")));
    Denial {
        status: StatusCode::TOO_MANY_REQUESTS.as_u16(),
        code: Code::ResourceExhausted as i32,
        headers: retry_after_header.into_iter().collect(),
        body: "refused: trying again is harmless\n".into(),
    }
}
