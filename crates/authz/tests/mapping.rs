//! The operator's mapping: the fields that it reads, and the rules that are rejected at startup.

use liftrouter_authz::messages::envoy::service::auth::v3::attribute_context::{HttpRequest, Peer, Request};
use liftrouter_authz::messages::envoy::service::auth::v3::{AttributeContext, CheckRequest};
use liftrouter_authz::{Mapping, MappingRules, MissingField};

const CLASSES: &[&str] = &["quote", "bind"];
const PLANS: &[&str] = &["roomy"];

fn check_request(path: &str, headers: &[(&str, &str)]) -> CheckRequest {
    let text = |(name, value): &(&str, &str)| ((*name).to_string(), (*value).to_string());
    let http = HttpRequest {
        id: "envoy-7".into(),
        method: "GET".into(),
        path: path.into(),
        host: "api.example".into(),
        headers: headers.iter().map(text).collect(),
        ..HttpRequest::default()
    };
    let source = Peer {
        principal: "spiffe://partner/7".into(),
        service: "booking".into(),
        labels: [("tier".to_string(), "roomy".to_string())].into(),
    };
    CheckRequest {
        attributes: Some(AttributeContext {
            source: Some(source),
            request: Some(Request { http: Some(http) }),
            context_extensions: [("class".to_string(), "bind".to_string())].into(),
            ..AttributeContext::default()
        }),
    }
}

fn typical_request() -> CheckRequest {
    check_request(
        "/quote/000000000000002a?from=tls",
        &[
            ("x-contract", "roomy"),
            ("x-metering", "units=2, spread=1,first=0"),
            ("x-correlation-id", "c-1"),
            ("x-time-left", "480m"),
        ],
    )
}

#[test]
fn by_default_fields_are_read_where_the_http_listener_reads_them() {
    let mapping = Mapping::new(&MappingRules::default(), CLASSES, PLANS).expect("a valid mapping");
    let fields = mapping.read(&typical_request()).expect("all fields");
    assert_eq!((fields.class.as_str(), fields.customer.as_str()), ("quote", "000000000000002a"));
    assert_eq!((fields.plan.as_str(), fields.units.as_str(), fields.width.as_str()), ("roomy", "2", "1"));
    assert_eq!((fields.id.as_str(), fields.key, fields.time_left.as_deref()), ("c-1", None, Some("480m")));
    assert!(!fields.repeat);
}

#[test]
fn every_source_is_read_from_its_place() {
    for (rule, expected) in [
        ("header:X-Contract", "roomy"),
        ("extension:class", "bind"),
        ("label:tier", "roomy"),
        ("query:from", "tls"),
        ("path:2", "000000000000002a"),
        ("principal", "spiffe://partner/7"),
        ("service", "booking"),
        ("method", "GET"),
        ("host", "api.example"),
        ("id", "envoy-7"),
        ("value:a#b", "a#b"),
        ("header:x-metering#spread", "1"),
    ] {
        let rules = MappingRules { customer: rule.into(), ..MappingRules::default() };
        let mapping = Mapping::new(&rules, CLASSES, PLANS).expect(rule);
        assert_eq!(mapping.read(&typical_request()).expect(rule).customer, expected, "{rule}");
    }
}

#[test]
fn an_absent_field_is_named_in_the_error() {
    let mapping = Mapping::new(&MappingRules::default(), CLASSES, PLANS).expect("a valid mapping");
    assert_eq!(mapping.read(&CheckRequest::default()), Err(MissingField("attributes")));
    let empty = CheckRequest { attributes: Some(AttributeContext::default()) };
    assert_eq!(mapping.read(&empty), Err(MissingField("request")));
    for (path, headers, field) in [
        ("", &[][..], "class"),
        ("/quote", &[], "customer"),
        ("/quote/", &[], "customer"),
        ("/quote/1", &[], "plan"),
        ("/quote/1", &[("x-contract", "roomy")], "units"),
        ("/quote/1", &[("x-contract", "roomy"), ("x-metering", "units=1,units=2,spread=1")], "units"),
        ("/quote/1", &[("x-contract", "roomy"), ("x-metering", "units=1")], "width"),
        ("/quote/1", &[("x-contract", "roomy"), ("x-metering", "units=1,spread=1")], "id"),
    ] {
        assert_eq!(
            mapping.read(&check_request(path, headers)),
            Err(MissingField(field)),
            "{path} {headers:?}"
        );
    }
}

#[test]
fn invalid_rules_are_rejected_at_startup() {
    let with = |change: fn(&mut MappingRules)| {
        let mut rules = MappingRules::default();
        change(&mut rules);
        Mapping::new(&rules, CLASSES, PLANS).err().map(|e| e.to_string()).unwrap_or_default()
    };
    for (found, expected) in [
        (with(|r| r.class = "value:qoute".into()), "class is \"value:qoute\", expected one of quote, bind"),
        (with(|r| r.plan = "value:x".into()), "plan is \"value:x\", expected one of roomy"),
        (with(|r| r.units = "value:0".into()), "units is \"value:0\", expected a number above 0"),
        (with(|r| r.width = "value:one".into()), "width is \"value:one\", expected a number above 0"),
        (with(|r| r.id = "value:1".into()), "id is \"value:1\", expected a source that differs"),
        (with(|r| r.customer = "path:0".into()), "customer is \"path:0\", expected a segment's number"),
        (with(|r| r.customer = "path".into()), "customer is \"path\", expected path:N"),
        (with(|r| r.key = "header:a b".into()), "key is \"header:a b\", expected a header's name"),
        (with(|r| r.key = "header:".into()), "key is \"header:\", expected header:NAME"),
        (with(|r| r.units = "header:x#".into()), "units is \"header:x#\", expected a member's name"),
        (with(|r| r.time_left = "heeder:x".into()), "time_left is \"heeder:x\", expected header:NAME,"),
        (with(|r| r.plan = "principal:x".into()), "plan is \"principal:x\", expected header:NAME,"),
    ] {
        assert!(found.contains(expected), "{found:?} does not contain {expected:?}");
    }
}
