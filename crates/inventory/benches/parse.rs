//! Measures the throughput of parsing by the number of nodes.
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};
use liftrouter_inventory::{read, write, Format, Inventory, Node, State};
use std::hint::black_box;

fn inventory(count: usize) -> Inventory {
    let nodes = (0..count).map(|n| Node {
        id: format!("s-{n:06}"),
        address: ([10, (n >> 16) as u8, (n >> 8) as u8, n as u8], 5000).into(),
        zone: if n % 2 == 0 { "room-a".into() } else { "room-b".into() },
        kind: "std-3".into(),
        cell: Some((n / 4) as i64),
        state: State::InService,
        weight: 1.0,
        started_ms: None,
    });
    Inventory { version: Some(1), removal_allowed: false, closed: true, nodes: nodes.collect() }
}

fn parse(c: &mut Criterion) {
    let mut group = c.benchmark_group("read");
    group.sample_size(10);
    for count in [12, 1_000, 100_000] {
        group.throughput(Throughput::Elements(count as u64));
        for (name, format) in [("csv", Format::Csv), ("yaml", Format::Yaml)] {
            let text = write(&inventory(count), format);
            group.bench_function(BenchmarkId::new(name, count), |b| {
                b.iter(|| read("nodes", format, black_box(text.as_bytes())).expect("good"));
            });
        }
    }
    group.finish();
}

criterion_group!(benches, parse);
criterion_main!(benches);
