//! How a question's attributes become a request: the operator's mapping, checked at the start.
//!
//! A source is one of `header:NAME`, `extension:NAME` (of `context_extensions`), `label:NAME` (of the
//! source), `query:NAME`, `path:N` (the N-th segment, from 1), `principal`, `service`, `method`, `host`, `id`
//! (each as Envoy names it), or `value:TEXT`. A source may end in `#MEMBER`: then it is a list like
//! `units=2,spread=3` and the member's value is meant.

use crate::messages::envoy::service::auth::v3::{attribute_context, CheckRequest};
use std::borrow::Cow;
use std::fmt;

/// Where each part of a request comes from, as the operator wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct MappingRules {
    pub class: String,
    pub customer: String,
    pub plan: String,
    pub units: String,
    pub width: String,
    pub id: String,
    pub key: String,
    pub time_left: String,
    pub repeat: String,
    /// Headers that an OK sets on the call, and where their values come from.
    pub add: Vec<(String, String)>,
}

impl Default for MappingRules {
    /// The words of the HTTP front.
    fn default() -> MappingRules {
        MappingRules {
            class: "path:1".into(),
            customer: "path:2".into(),
            plan: "header:x-contract".into(),
            units: "header:x-metering#units".into(),
            width: "header:x-metering#spread".into(),
            id: "header:x-correlation-id".into(),
            key: "header:idempotency-key".into(),
            time_left: "header:x-time-left".into(),
            repeat: "header:x-repeat".into(),
            add: Vec::new(),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Place {
    Header(String),
    Extension(String),
    Label(String),
    Query(String),
    Path(usize),
    Principal,
    Service,
    Method,
    Host,
    Id,
    Value(String),
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Source {
    place: Place,
    member: Option<String>,
}

/// A rule that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MappingError {
    /// The key, as `class`.
    pub key: &'static str,
    /// What was found and what was expected.
    pub reason: String,
}

impl fmt::Display for MappingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is {}", self.key, self.reason)
    }
}

impl Source {
    fn read(text: &str) -> Result<Source, String> {
        let wrong = |expected: &str| format!("{text:?}, expected {expected}");
        let constant = text.strip_prefix("value:");
        let (body, member) = match text.rsplit_once('#') {
            Some((body, member)) if constant.is_none() => (body, Some(member.to_string())),
            _ => (text, None),
        };
        if member.as_ref().is_some_and(String::is_empty) {
            return Err(wrong("a member's name behind '#'"));
        }
        let (kind, name) = body.split_once(':').map_or((body, None), |(kind, name)| (kind, Some(name)));
        let named = |what| name.filter(|n| !n.is_empty()).map(str::to_string).ok_or_else(|| wrong(what));
        let place = match (kind, name) {
            ("header", _) => {
                let name = named("header:NAME")?;
                if http::HeaderName::from_bytes(name.as_bytes()).is_err() {
                    return Err(wrong("a header's name behind 'header:'"));
                }
                // The protocol gives them in lower case.
                Place::Header(name.to_ascii_lowercase())
            }
            ("extension", _) => Place::Extension(named("extension:NAME")?),
            ("label", _) => Place::Label(named("label:NAME")?),
            ("query", _) => Place::Query(named("query:NAME")?),
            ("path", _) => {
                let number = named("path:N")?.parse().ok().filter(|n| (1..=64).contains(n));
                Place::Path(number.ok_or_else(|| wrong("a segment's number from 1 to 64 behind 'path:'"))?)
            }
            ("value", Some(value)) => Place::Value(value.to_string()),
            ("principal", None) => Place::Principal,
            ("service", None) => Place::Service,
            ("method", None) => Place::Method,
            ("host", None) => Place::Host,
            ("id", None) => Place::Id,
            _ => {
                return Err(wrong(
                    "header:NAME, extension:NAME, label:NAME, query:NAME, path:N, value:TEXT, principal, \
                     service, method, host or id",
                ));
            }
        };
        Ok(Source { place, member })
    }

    fn find<'a>(&'a self, question: &'a Question<'a>) -> Option<Cow<'a, str>> {
        let Question { attributes, http } = question;
        let peer = || attributes.source.as_ref();
        let text: &str = match &self.place {
            Place::Header(name) => http.headers.get(name)?,
            Place::Extension(name) => attributes.context_extensions.get(name)?,
            Place::Label(name) => peer()?.labels.get(name)?,
            Place::Query(name) => question.query().split('&').find_map(|pair| {
                let (found, value) = pair.split_once('=')?;
                (found == name).then_some(value)
            })?,
            Place::Path(n) => question.path().strip_prefix('/')?.split('/').nth(n - 1)?,
            Place::Principal => &peer()?.principal,
            Place::Service => &peer()?.service,
            Place::Method => &http.method,
            Place::Host => &http.host,
            Place::Id => &http.id,
            Place::Value(value) => value,
        };
        let text = match &self.member {
            None => text,
            Some(member) => {
                let mut found = text.split(',').filter_map(|pair| {
                    let (name, value) = pair.split_once('=')?;
                    (name.trim() == member).then_some(value.trim())
                });
                // Given twice, it may be read one way here and another way by others.
                let value = found.next()?;
                if found.next().is_some() {
                    return None;
                }
                value
            }
        };
        Some(text).filter(|text| !text.is_empty()).map(Cow::Borrowed)
    }
}

struct Question<'a> {
    attributes: &'a crate::messages::envoy::service::auth::v3::AttributeContext,
    http: &'a attribute_context::HttpRequest,
}

impl Question<'_> {
    /// Envoy's `path` holds the query too.
    fn path(&self) -> &str {
        self.http.path.split(['?', '#']).next().unwrap_or("")
    }

    fn query(&self) -> &str {
        if !self.http.query.is_empty() {
            return &self.http.query;
        }
        self.http.path.split_once('?').map_or("", |(_, query)| query)
    }
}

/// A question's parts as text; their form is for the fronts to check, as it is for all of them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct RequestFields {
    pub class: String,
    pub customer: String,
    pub plan: String,
    pub units: String,
    pub width: String,
    pub id: String,
    /// None where the question has none; keyed classes need it.
    pub key: Option<String>,
    /// None where the question does not say.
    pub time_left: Option<String>,
    pub repeat: bool,
    /// Headers that an OK sets; those whose source the question lacks are left out.
    pub add: Vec<(String, String)>,
}

/// A question lacks a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MissingField(pub &'static str);

impl fmt::Display for MissingField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the question has no {}", self.0)
    }
}

/// A mapping that was checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mapping {
    class: Source,
    customer: Source,
    plan: Source,
    units: Source,
    width: Source,
    id: Source,
    key: Source,
    time_left: Source,
    repeat: Source,
    add: Vec<(String, Source)>,
}

impl Mapping {
    /// Checks the operator's rules against the classes and plans that there are.
    ///
    /// # Errors
    /// The first rule that cannot be read, or whose constant can never be right.
    pub fn new(rules: &MappingRules, classes: &[&str], plans: &[&str]) -> Result<Mapping, MappingError> {
        let read = |key, text: &str| Source::read(text).map_err(|reason| MappingError { key, reason });
        let one_of = |key, source: &Source, names: &[&str]| match &source.place {
            Place::Value(value) if !names.contains(&value.as_str()) => {
                let reason = format!("\"value:{value}\", expected one of {}", names.join(", "));
                Err(MappingError { key, reason })
            }
            _ => Ok(()),
        };
        let number = |key, source: &Source| match &source.place {
            Place::Value(value) if !value.parse::<f64>().is_ok_and(|n| n > 0.0 && n.is_finite()) => {
                Err(MappingError { key, reason: format!("\"value:{value}\", expected a number above 0") })
            }
            _ => Ok(()),
        };
        let add = rules.add.iter().map(|(name, text)| {
            if http::HeaderName::from_bytes(name.as_bytes()).is_err() {
                let reason = format!("{name:?}, expected a header's name");
                return Err(MappingError { key: "add", reason });
            }
            Ok((name.to_ascii_lowercase(), read("add", text)?))
        });
        let add = add.collect::<Result<_, _>>()?;
        let mapping = Mapping {
            add,
            class: read("class", &rules.class)?,
            customer: read("customer", &rules.customer)?,
            plan: read("plan", &rules.plan)?,
            units: read("units", &rules.units)?,
            width: read("width", &rules.width)?,
            id: read("id", &rules.id)?,
            key: read("key", &rules.key)?,
            time_left: read("time_left", &rules.time_left)?,
            repeat: read("repeat", &rules.repeat)?,
        };
        one_of("class", &mapping.class, classes)?;
        one_of("plan", &mapping.plan, plans)?;
        number("units", &mapping.units)?;
        number("width", &mapping.width)?;
        if matches!(mapping.id.place, Place::Value(_)) {
            let reason = format!("{:?}, expected a source that differs with each call", rules.id);
            return Err(MappingError { key: "id", reason });
        }
        Ok(mapping)
    }

    /// Reads a question.
    ///
    /// # Errors
    /// The first part that it lacks.
    pub fn read(&self, question: &CheckRequest) -> Result<RequestFields, MissingField> {
        let attributes = question.attributes.as_ref().ok_or(MissingField("attributes"))?;
        let http =
            attributes.request.as_ref().and_then(|r| r.http.as_ref()).ok_or(MissingField("request"))?;
        let question = Question { attributes, http };
        let find = |source: &Source| source.find(&question).map(Cow::into_owned);
        let need = |part, source: &Source| find(source).ok_or(MissingField(part));
        Ok(RequestFields {
            class: need("class", &self.class)?,
            customer: need("customer", &self.customer)?,
            plan: need("plan", &self.plan)?,
            units: need("units", &self.units)?,
            width: need("width", &self.width)?,
            id: need("id", &self.id)?,
            key: find(&self.key),
            time_left: find(&self.time_left),
            repeat: find(&self.repeat).is_some_and(|text| text == "1"),
            add: self.add.iter().filter_map(|(name, s)| Some((name.clone(), find(s)?))).collect(),
        })
    }
}
