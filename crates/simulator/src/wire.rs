//! The simulator's wire protocol: parses lines into events and settings, and writes actions as lines.

use crate::line::Line;
use liftrouter_decision::{
    Action, EndpointEntry, EndpointState, Event, LoadReport, Outcome, Request, Settings,
};
use std::io::{self, Write};
use std::sync::Arc;

/// A parsed line of a batch.
pub enum Message {
    /// The end of the batch.
    End,
    /// Starts the limiter with this instance number, seed and settings.
    Start(u32, u64, Box<Settings>),
    /// Drops the limiter with this instance number: the simulator killed it.
    Stop(u32),
    /// The first line of an endpoint list; its ITEM lines follow.
    List(PendingList),
    /// An event for the limiter with this instance number.
    Event(u32, Event),
    /// A line that does not concern the decision module.
    Ignored,
}

/// An endpoint list that is being read.
pub struct PendingList {
    instance: u32,
    kind: ListKind,
    /// Number of ITEM lines not read yet.
    remaining: usize,
    entries: Vec<EndpointEntry>,
}

/// How the entries of an endpoint list are to be used.
enum ListKind {
    Full,
    Changes,
    Failed,
}

impl PendingList {
    /// Whether all ITEM lines were read.
    pub fn is_complete(&self) -> bool {
        self.remaining == 0
    }

    /// Reads the next line, which must be an ITEM line.
    pub fn push(&mut self, line: &Line) -> Result<(), String> {
        if line.keyword() != "ITEM" {
            return Err(format!("found {:?}, expected {} more ITEM lines", line.keyword(), self.remaining));
        }
        let state = match line.required(5, "status")? {
            "in_service" => EndpointState::InService,
            "terminating" => EndpointState::Draining,
            // An endpoint in an unknown state gets no requests.
            _ => EndpointState::Removed,
        };
        self.entries.push(EndpointEntry {
            id: line.required(1, "server")?.into(),
            address: None,
            zone: line.required(2, "region-part")?.into(),
            machine_type: line.required(3, "flavor")?.into(),
            cell: line.optional(4).map(|_| line.integer(4, "group")).transpose()?,
            state,
            weight: line.optional_number(6, "heft")?.unwrap_or(1.0),
            started_at: line.optional_number(7, "start-time-s")?.filter(|started| *started != 0.0),
        });
        self.remaining -= 1;
        Ok(())
    }

    /// The event that the complete list stands for, and the instance number of its limiter.
    pub fn into_event(self) -> (u32, Event) {
        let event = match self.kind {
            ListKind::Full => Event::EndpointList(self.entries),
            ListKind::Changes => Event::EndpointChanges(self.entries),
            ListKind::Failed => Event::DiscoveryFailed,
        };
        (self.instance, event)
    }
}

/// Parses the first line of a batch; returns its time and its number.
pub fn parse_turn(line: &Line) -> Result<(f64, String), String> {
    if line.keyword() != "TURN" {
        return Err(format!("found {:?}, expected TURN", line.keyword()));
    }
    let number: u64 = line.integer(2, "number")?;
    Ok((line.number(1, "clock")?, number.to_string()))
}

/// Keywords of the lines that concern the decision module, except those that delimit batches and lists.
const HANDLED_KEYWORDS: [&str; 10] = [
    "PROVISION",
    "REGISTRY",
    "SUBMIT",
    "FIRST",
    "ENDED",
    "DESTROY",
    "CLIENT_GONE",
    "TOTAL",
    "HEALTH_RESULT",
    "ALARM",
];

/// Parses a line of a batch other than its first and the ITEM lines of a list.
pub fn parse_message(line: &Line) -> Result<Message, String> {
    let keyword = line.keyword();
    match keyword {
        "OVER_TO_YOU" => return Ok(Message::End),
        "TURN" | "ITEM" => return Err(format!("found {keyword}, expected an event or OVER_TO_YOU")),
        "" => return Err("empty line within a batch".into()),
        _ => {}
    }
    if !HANDLED_KEYWORDS.contains(&keyword) {
        return Ok(Message::Ignored);
    }
    let instance: u32 = line.integer(1, "limiter-id")?;
    match keyword {
        "PROVISION" => parse_start(line, instance),
        "DESTROY" => Ok(Message::Stop(instance)),
        "REGISTRY" => parse_list_start(line, instance),
        _ => Ok(parse_event(line)?.map_or(Message::Ignored, |event| Message::Event(instance, event))),
    }
}

fn parse_start(line: &Line, instance: u32) -> Result<Message, String> {
    let settings: Settings = serde_json::from_str(line.remainder(3, "config")?)
        .map_err(|e| line.error("config", &e.to_string()))?;
    Ok(Message::Start(instance, line.integer(2, "rng-seed")?, Box::new(settings)))
}

fn parse_list_start(line: &Line, instance: u32) -> Result<Message, String> {
    let kind = match line.required(2, "kind")? {
        "whole" | "stale_copy" => ListKind::Full,
        "patch" => ListKind::Changes,
        "broken" => ListKind::Failed,
        other => return Err(line.error("kind", &format!("unknown: {other:?}"))),
    };
    let remaining = line.optional(4).map(|_| line.integer(4, "elements")).transpose()?.unwrap_or(0);
    Ok(Message::List(PendingList { instance, kind, remaining, entries: Vec::new() }))
}

/// Parses an event. Returns `None` for a timer whose reference is not a token: this adapter did not set it.
fn parse_event(line: &Line) -> Result<Option<Event>, String> {
    let id = || line.integer::<u64>(2, "handle");
    Ok(Some(match line.keyword() {
        "SUBMIT" => Event::Request(parse_request(line)?),
        "FIRST" => Event::StreamStarted { id: id()? },
        "ENDED" => parse_attempt_ended(line)?,
        "CLIENT_GONE" => Event::ClientDisconnected { id: id()? },
        "TOTAL" => parse_counter_reply(line)?,
        "HEALTH_RESULT" => Event::HealthChecked {
            endpoint: Arc::from(line.required(2, "server")?),
            outcome: parse_outcome(line, 4)?,
            report: parse_report(line, 5)?,
        },
        "ALARM" => return Ok(line.required(2, "ref")?.parse().ok().map(|token| Event::Timer { token })),
        _ => return Ok(None),
    }))
}

fn parse_request(line: &Line) -> Result<Request, String> {
    Ok(Request {
        id: line.integer(2, "handle")?,
        is_retry: line.flag(4, "repeat")?,
        deadline: line.number(5, "due-s")?,
        reachable_instances: line.number(6, "width")?.max(1.0) as u32,
        units: line.number(7, "weight")?,
        plan: line.required(9, "contract")?.into(),
        class: line.required(10, "profile")?.into(),
        customer: line.required(11, "api-key")?.into(),
    })
}

fn parse_attempt_ended(line: &Line) -> Result<Event, String> {
    Ok(Event::AttemptEnded {
        id: line.integer(2, "handle")?,
        attempt: line.integer(3, "n")?,
        request_finished: line.flag(5, "final")?,
        elapsed_s: line.number(7, "time-taken-s")?,
        outcome: parse_outcome(line, 8)?,
        units: line.optional_number(9, "actual")?.filter(|units| *units > 0.0),
        report: parse_report(line, 10)?,
    })
}

fn parse_counter_reply(line: &Line) -> Result<Event, String> {
    Ok(Event::CounterReply {
        outcome: parse_outcome(line, 3)?,
        total: line.optional_number(2, "level")?.unwrap_or(0.0),
        elapsed_s: line.optional_number(4, "time-taken-s")?.unwrap_or(0.0),
        key: line.required(5, "counter")?.into(),
    })
}

fn parse_outcome(line: &Line, n: usize) -> Result<Outcome, String> {
    Ok(match line.integer::<u32>(n, "code")? {
        100 => Outcome::Ok,
        301 => Outcome::Error,
        302 => Outcome::Overloaded,
        303 => Outcome::Timeout,
        304 => Outcome::ConnectFailed,
        305 => Outcome::Reset,
        306 => Outcome::Cancelled,
        307 => Outcome::NotSent,
        other => return Err(line.error("code", &format!("unknown: {other}"))),
    })
}

fn parse_report(line: &Line, n: usize) -> Result<LoadReport, String> {
    let mut report = LoadReport::default();
    for pair in line.optional(n).into_iter().flat_map(|text| text.split(',')) {
        let (name, value) = pair
            .split_once(':')
            .ok_or_else(|| line.error("report", &format!("not a name:value pair: {pair:?}")))?;
        report.set(name, line.parse_float(value, "report")?);
    }
    Ok(report)
}

/// Writes an action as a line, if the protocol has one for it.
pub fn write_action(output: &mut impl Write, instance: u32, action: &Action) -> io::Result<()> {
    match action {
        // The protocol has no field for the time by which the attempt must be sent.
        Action::Send { id, endpoint, timeout_s, .. } => {
            writeln!(output, "ASSIGN {instance} {id} {timeout_s} {endpoint}")
        }
        // The simulator never requests an authorization, and its protocol has no line for the answer.
        Action::Authorize { .. } => Ok(()),
        Action::Reject { id, retry_after_s } => writeln!(output, "SAY_NO {instance} {id} {retry_after_s}"),
        Action::Fail { id } => writeln!(output, "END_FAILED {instance} {id}"),
        Action::Cancel { id, attempt } => writeln!(output, "STOP_ATTEMPT {instance} {id} {attempt}"),
        // The simulator sends an attempt at once, so that there is nothing to withdraw.
        Action::Withdraw { .. } => Ok(()),
        Action::IncrementCounter { key, increment, ttl_s } => {
            writeln!(output, "INCR {instance} {key} {increment} {ttl_s}")
        }
        Action::SetTimer { expires_at, token } => writeln!(output, "DEFER {instance} {expires_at} {token}"),
        Action::CheckHealth { endpoint } => writeln!(output, "TEST {instance} {endpoint}"),
        Action::WatchEndpoints => writeln!(output, "FOLLOW {instance} 1"),
    }
}
