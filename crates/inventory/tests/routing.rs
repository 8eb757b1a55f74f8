//! The same twelve nodes read from CSV and from YAML produce the same routing decisions.
use liftrouter_decision::{
    Action, EndpointEntry, EndpointState, Event, Limiter, LoadReport, Outcome, Request, Settings,
};
use liftrouter_inventory::{read, Format, Inventory, State};

fn settings() -> Settings {
    let class = liftrouter_decision::Class {
        name: "quote".into(),
        latency_objective_s: 0.5,
        deadline_s: 2.0,
        priority_weight: 1.0,
        ..Default::default()
    };
    let plan = liftrouter_decision::Plan {
        name: "plan".into(),
        rate: 1e6,
        burst: 1e6,
        weight_multiplier: 1.0,
        ..Default::default()
    };
    Settings {
        instance_count: 2,
        zone: "room-a".into(),
        tick_interval_s: 0.002,
        classes: vec![class],
        plans: vec![plan],
        max_request_units: 4.0,
        max_attempts: 5,
        may_cancel: true,
        slow_start_capacity: 0.2,
        slow_start_duration_s: 18.0,
        overload_multiple: 3.0,
        overload_window_s: 2.0,
        ..Settings::default()
    }
}

fn entries(inventory: &Inventory) -> Vec<EndpointEntry> {
    let entry = |n: &liftrouter_inventory::Node| EndpointEntry {
        id: n.id.as_str().into(),
        address: Some(n.address),
        zone: n.zone.as_str().into(),
        machine_type: n.kind.as_str().into(),
        cell: n.cell,
        state: if n.state == State::InService { EndpointState::InService } else { EndpointState::Draining },
        weight: n.weight,
        started_at: n.started_ms.map(|at| at as f64 / 1e3),
    };
    inventory.nodes.iter().map(entry).collect()
}

/// Runs a limiter over several thousand events drawn from one seed and returns all its actions.
fn actions(inventory: &Inventory, seed: u64) -> Vec<Action> {
    let start = 1_764_500_004.0;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut limiter = Limiter::new(settings(), seed, start);
    let (mut now, mut all, mut out) = (start, Vec::new(), Vec::new());
    limiter.handle(now, Event::EndpointList(entries(inventory)), &mut out);
    for id in 1..3_000u64 {
        now += 0.004 * rng.f64();
        let request = Request {
            id,
            customer: format!("{:016x}", rng.u64(0..50)).into(),
            plan: "plan".into(),
            class: "quote".into(),
            units: 1.0,
            reachable_instances: 2,
            is_retry: false,
            deadline: now + 2.0,
        };
        limiter.handle(now, Event::Request(request), &mut out);
        let mut attempt = 0;
        while out.iter().any(|a| matches!(a, Action::Send { .. })) {
            all.append(&mut out);
            // Some first attempts fail with a reset, so that another server gets the request.
            let reset = attempt == 0 && rng.f64() < 0.05;
            let outcome = if reset { Outcome::Reset } else { Outcome::Ok };
            let (elapsed_s, report) = (0.01 + 0.1 * rng.f64(), LoadReport::default());
            let ended = Event::AttemptEnded {
                id,
                attempt,
                request_finished: !reset,
                outcome,
                elapsed_s,
                units: None,
                report,
            };
            limiter.handle(now, ended, &mut out);
            attempt += 1;
        }
        all.append(&mut out);
    }
    all
}

#[test]
fn the_same_nodes_in_both_formats_route_identically() {
    let csv = read("twelve.csv", Format::Csv, include_bytes!("twelve.csv")).expect("good");
    let yaml = read("twelve.yaml", Format::Yaml, include_bytes!("twelve.yaml")).expect("good");
    for seed in 1..5 {
        let (a, b) = (actions(&csv, seed), actions(&yaml, seed));
        let sent = a.iter().filter(|a| matches!(a, Action::Send { .. })).count();
        assert!(sent > 2_000, "{sent} requests were sent on");
        assert_eq!(a, b);
    }
    // A changed weight changes the actions, so the comparison above is not vacuous.
    let mut other = csv.clone();
    other.nodes[0].weight = 3.0;
    assert_ne!(actions(&csv, 1), actions(&other, 1));
}
