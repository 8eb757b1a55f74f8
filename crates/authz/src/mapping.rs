//! The operator's mapping from the attributes of a check request to the fields of a request; checked at startup.
//!
//! A field is read from one of `header:NAME`, `extension:NAME` (of `context_extensions`), `label:NAME` (of the source
//! peer), `query:NAME`, `path:N` (the N-th segment, from 1), `principal`, `service`, `method`, `host`, `id` (each as
//! Envoy names it), or the constant `value:TEXT`. With `#MEMBER` at the end, the text is a list like
//! `units=2,spread=3`, and the field is the value of that member.

use crate::messages::envoy::service::auth::v3::{attribute_context, CheckRequest};
use std::borrow::Cow;
use std::fmt;

/// The source of each field of a request, as the operator wrote it.
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
    /// Names of headers that an OK response sets on the call, and the sources of their values.
    pub add: Vec<(String, String)>,
}

impl Default for MappingRules {
    /// The path and headers from which the HTTP listener reads the same fields.
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
enum Attribute {
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
    /// Not an attribute but a constant.
    Value(String),
}

/// Where the value of a field comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Source {
    attribute: Attribute,
    member: Option<String>,
}

/// A rule of the mapping that is malformed, or a constant that is never valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MappingError {
    /// The key of the rule, such as `class`.
    pub key: &'static str,
    /// A description of what was found and what was expected.
    pub reason: String,
}

impl fmt::Display for MappingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is {}", self.key, self.reason)
    }
}

impl Source {
    fn parse(text: &str) -> Result<Source, String> {
        let error = |expected: &str| format!("{text:?}, expected {expected}");
        let constant = text.strip_prefix("value:");
        let (body, member) = match text.rsplit_once('#') {
            Some((body, member)) if constant.is_none() => (body, Some(member.to_string())),
            _ => (text, None),
        };
        if member.as_ref().is_some_and(String::is_empty) {
            return Err(error("a member's name behind '#'"));
        }
        let (kind, name) = body.split_once(':').map_or((body, None), |(kind, name)| (kind, Some(name)));
        let named = |what| name.filter(|n| !n.is_empty()).map(str::to_string).ok_or_else(|| error(what));
        let attribute = match (kind, name) {
            ("header", _) => {
                let name = named("header:NAME")?;
                if http::HeaderName::from_bytes(name.as_bytes()).is_err() {
                    return Err(error("a header's name behind 'header:'"));
                }
                // Envoy sends header names in lower case.
                Attribute::Header(name.to_ascii_lowercase())
            }
            ("extension", _) => Attribute::Extension(named("extension:NAME")?),
            ("label", _) => Attribute::Label(named("label:NAME")?),
            ("query", _) => Attribute::Query(named("query:NAME")?),
            ("path", _) => {
                let number = named("path:N")?.parse().ok().filter(|n| (1..=64).contains(n));
                Attribute::Path(
                    number.ok_or_else(|| error("a segment's number from 1 to 64 behind 'path:'"))?,
                )
            }
            ("value", Some(value)) => Attribute::Value(value.to_string()),
            ("principal", None) => Attribute::Principal,
            ("service", None) => Attribute::Service,
            ("method", None) => Attribute::Method,
            ("host", None) => Attribute::Host,
            ("id", None) => Attribute::Id,
            _ => {
                return Err(error(
                    "header:NAME, extension:NAME, label:NAME, query:NAME, path:N, value:TEXT, principal, \
                     service, method, host or id",
                ));
            }
        };
        Ok(Source { attribute, member })
    }

    fn value<'a>(&'a self, check: &'a Check<'a>) -> Option<Cow<'a, str>> {
        let Check { attributes, http } = check;
        let peer = || attributes.source.as_ref();
        let text: &str = match &self.attribute {
            Attribute::Header(name) => http.headers.get(name)?,
            Attribute::Extension(name) => attributes.context_extensions.get(name)?,
            Attribute::Label(name) => peer()?.labels.get(name)?,
            Attribute::Query(name) => check.query().split('&').find_map(|pair| {
                let (found, value) = pair.split_once('=')?;
                (found == name).then_some(value)
            })?,
            Attribute::Path(n) => check.path().strip_prefix('/')?.split('/').nth(n - 1)?,
            Attribute::Principal => &peer()?.principal,
            Attribute::Service => &peer()?.service,
            Attribute::Method => &http.method,
            Attribute::Host => &http.host,
            Attribute::Id => &http.id,
            Attribute::Value(value) => value,
        };
        let text = match &self.member {
            None => text,
            Some(member) => {
                let mut found = text.split(',').filter_map(|pair| {
                    let (name, value) = pair.split_once('=')?;
                    (name.trim() == member).then_some(value.trim())
                });
                // A member given twice is ambiguous: another reader may take the other value.
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

/// The attributes of a check request, and those of its HTTP request.
struct Check<'a> {
    attributes: &'a crate::messages::envoy::service::auth::v3::AttributeContext,
    http: &'a attribute_context::HttpRequest,
}

impl Check<'_> {
    /// The path without the query, which Envoy's `path` includes.
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

/// The fields of a request as text. The gRPC listener checks their form, as the HTTP listener does for its own.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct RequestFields {
    pub class: String,
    pub customer: String,
    pub plan: String,
    pub units: String,
    pub width: String,
    pub id: String,
    /// The idempotency key, which some classes require.
    pub key: Option<String>,
    /// The time left until the deadline.
    pub time_left: Option<String>,
    pub repeat: bool,
    /// Headers that an OK response sets, without those whose source is absent.
    pub add: Vec<(String, String)>,
}

/// The field or attribute that a check request lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MissingField(pub &'static str);

impl fmt::Display for MissingField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the question has no {}", self.0)
    }
}

/// A mapping whose rules have been checked.
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
    /// Checks the operator's rules against the names of the existing classes and plans.
    ///
    /// # Errors
    /// The first rule that is malformed, or whose constant is never valid.
    pub fn new(rules: &MappingRules, classes: &[&str], plans: &[&str]) -> Result<Mapping, MappingError> {
        let parse = |key, text: &str| Source::parse(text).map_err(|reason| MappingError { key, reason });
        let one_of = |key, source: &Source, names: &[&str]| match &source.attribute {
            Attribute::Value(value) if !names.contains(&value.as_str()) => {
                let reason = format!("\"value:{value}\", expected one of {}", names.join(", "));
                Err(MappingError { key, reason })
            }
            _ => Ok(()),
        };
        let number = |key, source: &Source| match &source.attribute {
            Attribute::Value(value) if !value.parse::<f64>().is_ok_and(|n| n > 0.0 && n.is_finite()) => {
                Err(MappingError { key, reason: format!("\"value:{value}\", expected a number above 0") })
            }
            _ => Ok(()),
        };
        let add = rules.add.iter().map(|(name, text)| {
            if http::HeaderName::from_bytes(name.as_bytes()).is_err() {
                let reason = format!("{name:?}, expected a header's name");
                return Err(MappingError { key: "add", reason });
            }
            Ok((name.to_ascii_lowercase(), parse("add", text)?))
        });
        let add = add.collect::<Result<_, _>>()?;
        let mapping = Mapping {
            add,
            class: parse("class", &rules.class)?,
            customer: parse("customer", &rules.customer)?,
            plan: parse("plan", &rules.plan)?,
            units: parse("units", &rules.units)?,
            width: parse("width", &rules.width)?,
            id: parse("id", &rules.id)?,
            key: parse("key", &rules.key)?,
            time_left: parse("time_left", &rules.time_left)?,
            repeat: parse("repeat", &rules.repeat)?,
        };
        one_of("class", &mapping.class, classes)?;
        one_of("plan", &mapping.plan, plans)?;
        number("units", &mapping.units)?;
        number("width", &mapping.width)?;
        if matches!(mapping.id.attribute, Attribute::Value(_)) {
            let reason = format!("{:?}, expected a source that differs with each call", rules.id);
            return Err(MappingError { key: "id", reason });
        }
        Ok(mapping)
    }

    /// Reads the fields of a check request.
    ///
    /// # Errors
    /// The first field or attribute that it lacks.
    pub fn read(&self, request: &CheckRequest) -> Result<RequestFields, MissingField> {
        let attributes = request.attributes.as_ref().ok_or(MissingField("attributes"))?;
        let http =
            attributes.request.as_ref().and_then(|r| r.http.as_ref()).ok_or(MissingField("request"))?;
        let check = Check { attributes, http };
        let find = |source: &Source| source.value(&check).map(Cow::into_owned);
        let require = |field, source: &Source| find(source).ok_or(MissingField(field));
        Ok(RequestFields {
            class: require("class", &self.class)?,
            customer: require("customer", &self.customer)?,
            plan: require("plan", &self.plan)?,
            units: require("units", &self.units)?,
            width: require("width", &self.width)?,
            id: require("id", &self.id)?,
            key: find(&self.key),
            time_left: find(&self.time_left),
            repeat: find(&self.repeat).is_some_and(|text| text == "1"),
            add: self.add.iter().filter_map(|(name, s)| Some((name.clone(), find(s)?))).collect(),
        })
    }
}
