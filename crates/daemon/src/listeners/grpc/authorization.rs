//! `envoy.service.auth.v3.Authorization/Check`: one request, one decision, one response.

use super::context::CallContext;
use super::unary::{deadline_exceeded, invalid_argument, read_deadline, read_message, MAX_WAIT};
use crate::authoriser::{AuthorisationRequest, VIA};
use crate::decimal::parse_decimal;
use crate::events::{Answer, DisconnectGuard, IncomingRequest, RequestKind};
use crate::listeners::fields::{self, MAX_ID_BYTES};
use crate::upstream::headers::RESERVED;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::StatusCode;
use liftrouter_authz::messages::envoy::service::auth::v3::{CheckRequest, CheckResponse};
use liftrouter_authz::{denied, permitted, Asked, Code, Denial, Status};
use liftrouter_decision::{Class, Idempotency, Settings};
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// The most limiters that a check request may have come through.
const MAX_VIA: usize = 8;
/// The longest that a permitted call counts as in flight, whatever its class says.
const MAX_CALL_DURATION: Duration = Duration::from_secs(3_600);

/// The decision about a check request.
pub(super) struct Decision {
    pub response: CheckResponse,
    /// With a permission: reports that the client disconnected if it never takes the response.
    pub disconnect: Option<DisconnectGuard>,
}

impl Decision {
    fn denied(denial: Denial) -> Decision {
        Decision { response: denied(denial), disconnect: None }
    }
}

/// The fields of a check request that need more than a lookup.
struct CheckedFields {
    id: HeaderValue,
    customer: String,
    units: f64,
    reachable_instances: u32,
    /// How long the call may be in flight.
    call_duration: Duration,
}

/// Decides a check request.
///
/// # Errors
/// The status of a call without a decision.
pub(super) async fn check(
    context: &CallContext,
    headers: &HeaderMap,
    body: Incoming,
    received_at: Instant,
) -> Result<Decision, Status> {
    let deadline = read_deadline(headers, received_at)?;
    let (check, _reservation) = read_message::<CheckRequest>(context, headers, body, deadline).await?;
    let via = read_via(headers);
    if via.contains(&context.instance_name) || via.len() > MAX_VIA {
        // Asked about its own check request, the limiter would ask again for ever.
        return Err(Status::new(Code::FailedPrecondition, "the question has come in a loop"));
    }
    let fields = context.mapping.read(&check).map_err(|missing| invalid_argument(missing.to_string()))?;
    let admission = &context.admission;
    let checked = check_fields(&fields, &admission.settings, context.limits.hold)?;
    if admission.is_full() {
        return Err(Status::new(Code::ResourceExhausted, "too many requests are open"));
    }
    let open_id = admission.open_request_id(&checked.id);
    let _open_id =
        open_id.ok_or_else(|| Status::new(Code::AlreadyExists, "a request with this id is open"))?;
    let now = Instant::now();
    if now >= deadline {
        return Err(deadline_exceeded());
    }
    let deadline = admission.answer_deadline(deadline);
    let deadline = deadline.ok_or_else(|| Status::new(Code::Unavailable, "the limiter is ending"))?;
    let request = IncomingRequest {
        customer: checked.customer,
        plan: fields.plan,
        class: fields.class,
        units: checked.units,
        reachable_instances: checked.reachable_instances,
        is_retry: fields.repeat,
        kind: RequestKind::Authorization { deadline: now + checked.call_duration },
    };
    let build = || check.clone();
    let authorisation = AuthorisationRequest { build: &build, via: &via, deadline };
    match timeout_at(deadline, admission.answer(request, &authorisation)).await {
        Ok((Answer::Authorized(disconnect), changes)) => {
            let response = permitted(&changes, &RESERVED, fields.add);
            Ok(Decision { response, disconnect: Some(disconnect) })
        }
        Ok((Answer::Denied(denial), _)) => Ok(Decision::denied(denial)),
        Ok((Answer::Rejected(rejection), _)) => Ok(Decision::denied(rejected(rejection.retry_after_s))),
        // An authorisation is never served, and the host fails none.
        Ok((Answer::Failed | Answer::Served(_), _)) => Err(Status::new(Code::Unavailable, "no decision")),
        Err(_) => Err(deadline_exceeded()),
    }
}

/// The limiters that the check request has come through.
fn read_via(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(VIA).iter().filter_map(|value| value.to_str().ok());
    let names = values.flat_map(|value| value.split(',')).map(|name| name.trim().to_string());
    names.filter(|name| !name.is_empty()).collect()
}

/// Checks the fields of a check request as the HTTP listener checks a head.
fn check_fields(
    fields: &Asked,
    settings: &Settings,
    hold: Option<Duration>,
) -> Result<CheckedFields, Status> {
    let class = settings.classes.iter().find(|class| class.name == fields.class);
    let class = class.ok_or_else(|| invalid_argument("the class is unknown"))?;
    let customer = fields::read_customer(&fields.customer);
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
    let time_left = read_time_left(fields, class)?;
    if fields.add.iter().any(|(_, value)| HeaderValue::from_str(value).is_err()) {
        return Err(invalid_argument("a header to add would be malformed"));
    }
    let call_duration = hold.map_or(time_left, |hold| hold.min(time_left)).min(MAX_CALL_DURATION);
    Ok(CheckedFields { id, customer, units, reachable_instances, call_duration })
}

/// The time left to the call; without one of its own, the deadline of its class.
fn read_time_left(fields: &Asked, class: &Class) -> Result<Duration, Status> {
    match &fields.time_left {
        Some(text) => {
            fields::read_time_left(text, class).ok_or_else(|| invalid_argument("the time left is malformed"))
        }
        None if class.deadline_s > 0.0 => {
            Ok(Duration::try_from_secs_f64(class.deadline_s).unwrap_or(MAX_CALL_DURATION))
        }
        None => Ok(MAX_WAIT),
    }
}

fn rejected(retry_after: f64) -> Denial {
    let advice = (retry_after > 0.0).then(|| (RETRY_AFTER.to_string(), format!("{retry_after:.3}")));
    Denial {
        status: StatusCode::TOO_MANY_REQUESTS.as_u16(),
        code: Code::ResourceExhausted as i32,
        headers: advice.into_iter().collect(),
        body: "refused: trying again is harmless\n".into(),
    }
}
