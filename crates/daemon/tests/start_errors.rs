//! Error messages of a start that fails: each says what was tried, with which value, and what was expected.
mod common;

use common::*;
use serde_json::{json, Value};
use std::net::TcpListener;
use std::process::Command;

/// Runs the program to its end: its exit code and what it wrote to standard error.
fn run(command: &mut Command) -> (Option<i32>, String) {
    let output = command.output().expect("run");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

/// Runs a limiter with this configuration; `FILE` in the expected text stands for the file's name.
fn assert_limiter_error(config: &str, variables: &[(&str, &str)], expected: &str) {
    let file = temp_file(config);
    let name = file.display().to_string();
    let mut command = command();
    command.env("ROUTER_CONFIG", &file).envs(variables.iter().copied());
    assert_eq!(run(&mut command), (Some(1), format!("liftrouter: {}\n", expected.replace("FILE", &name))));
    let _ = std::fs::remove_file(file);
}

fn config_without(key: &str) -> String {
    let mut config = json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": settings()});
    config[key] = Value::Null;
    config.to_string()
}

fn config_with_empty(key: &str) -> String {
    let mut config = json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": settings()});
    config["settings"][key] = json!([]);
    config.to_string()
}

#[test]
fn a_missing_configuration_file_is_named() {
    assert_eq!(run(&mut command()), (Some(1), "liftrouter: ROUTER_CONFIG is not set\n".into()));
    let expected =
        "liftrouter: ROUTER_CONFIG: cannot read no/such/file: No such file or directory (os error 2)\n";
    assert_eq!(run(command().env("ROUTER_CONFIG", "no/such/file")), (Some(1), expected.into()));
}

#[test]
fn a_malformed_configuration_file_is_located() {
    let expected = "ROUTER_CONFIG: FILE: EOF while parsing a value at line 1 column 10";
    assert_limiter_error("{\"listen\":", &[], expected);
}

#[test]
fn missing_and_empty_settings_are_named() {
    assert_limiter_error(&config_without("settings"), &[], "ROUTER_CONFIG: FILE: no settings");
    let expected = "ROUTER_CONFIG: FILE: settings: no classes";
    assert_limiter_error(&config_with_empty("classes"), &[], expected);
    let expected = "ROUTER_CONFIG: FILE: settings: no tariffs";
    assert_limiter_error(&config_with_empty("tariffs"), &[], expected);
}

/// Guards against a process that ends with a fault in the program, at its start or at some later request, because of a
/// number in its settings.
#[test]
fn numbers_that_are_no_bounds_are_named() {
    for (pointer, key, number, expected) in [
        ("/classes/1/aim-s", "aim-s", -0.5, "0 or more"),
        ("/classes/0/deadline-s", "deadline-s", -1.0, "0 or more"),
        ("/tariffs/1/depth", "depth", -4.0, "0 or more"),
        ("/limits/connect-timeout-s", "connect-timeout-s", 1e300, "1000000000000 at most"),
        ("/limits/idle-close-s", "idle-close-s", 1e300, "1000000000000 at most"),
        ("/family-info/count-limit-s", "count-limit-s", 1e300, "1000000000000 at most"),
    ] {
        let mut settings = settings();
        *settings.pointer_mut(pointer).expect("a setting") = json!(number);
        let config = json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": settings});
        let expected = format!("ROUTER_CONFIG: FILE: settings: {key} is {number}, expected {expected}");
        assert_limiter_error(&config.to_string(), &[], &expected);
    }
}

/// Guards against a limiter that does not start with a number that means "without limit", or ends because of one.
#[test]
fn a_limiter_serves_with_bounds_as_large_as_a_number_may_be() {
    let server = Fake::new(|_| ok("served"));
    for (part, key) in [
        ("/classes/0", "aim-s"),
        ("/classes/0", "deadline-s"),
        ("/classes/1", "deadline-s"),
        ("/classes/1", "window-s"),
        ("/tariffs/0", "depth"),
        ("/tariffs/1", "depth"),
        ("/tariffs/1", "hard-burst"),
    ] {
        let mut settings = settings();
        settings.pointer_mut(part).expect("a part of the settings")[key] = json!(1e300);
        let discovery = discovery(vec![instance("s-0", server.address, "in_service")]);
        let mut limiter = Limiter::start(settings, &discovery, counter().address);
        for request in [quote("roomy", 9_000), quote("small", 9_000), post("bind", "x")] {
            assert_eq!(limiter.client().ask(&request).status(), 200, "{part} {key}");
        }
        limiter.terminate();
        assert_eq!(limiter.wait().code(), Some(0), "{part} {key}");
    }
}

#[test]
fn a_missing_or_malformed_address_is_named() {
    let expected = "ROUTER_LISTEN is not set, and FILE names no listen";
    assert_limiter_error(&config_without("listen"), &[], expected);
    let expected = "ROUTER_DISCOVERY is not set, and FILE names no discovery";
    assert_limiter_error(&config_without("discovery"), &[], expected);
    let expected = "ROUTER_LISTEN: not an address: \"nowhere\"";
    assert_limiter_error(&config_without("listen"), &[("ROUTER_LISTEN", "nowhere")], expected);
}

#[test]
fn an_address_in_use_is_named() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = taken.local_addr().expect("address").to_string();
    let expected = format!("cannot listen on {address}: Address already in use (os error 98)");
    assert_limiter_error(&config_without("listen"), &[("ROUTER_LISTEN", &address)], &expected);
    let relay = run(command().args(["relay", "--listen", &address, "--discovery", "127.0.0.1:1"]));
    assert_eq!(relay, (Some(2), format!("liftrouter: {expected}\n")));
}

#[test]
fn an_address_in_use_for_grpc_is_named() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = taken.local_addr().expect("address");
    let (config, operator) =
        (temp_file(&config_without("none")), temp_file(&format!("[grpc]\nlisten = '{address}'\n")));
    let mut command = command();
    command.env("ROUTER_CONFIG", &config).arg("--operator").arg(&operator);
    let expected =
        format!("liftrouter: cannot listen on {address} for gRPC: Address already in use (os error 98)\n");
    assert_eq!(run(&mut command), (Some(1), expected));
    for file in [config, operator] {
        let _ = std::fs::remove_file(file);
    }
}

#[test]
fn a_missing_operator_file_is_named() {
    let expected = "liftrouter: no/such/file: cannot be read: No such file or directory (os error 2)\n";
    assert_eq!(run(command().args(["--operator", "no/such/file"])), (Some(1), expected.into()));
}

#[test]
fn an_inventory_file_that_cannot_be_read_is_named() {
    let expected = "liftrouter: nodes.txt: expected a name that ends in .csv, .yaml or .yml\n";
    assert_eq!(run(command().args(["inventory", "check", "nodes.txt"])), (Some(2), expected.into()));
    let expected = "liftrouter: nowhere.csv: No such file or directory (os error 2)\n";
    assert_eq!(run(command().args(["inventory", "check", "nowhere.csv"])), (Some(2), expected.into()));
}
