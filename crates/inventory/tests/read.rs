//! Parsing: both file formats yield the same inventory, each fault has its position, and no input makes the parser
//! panic or use memory out of proportion.
use liftrouter_inventory::{
    read, write, Fault, Format, Inventory, Node, State, COLUMNS, MAX_BYTES, MAX_FAULTS,
};
use proptest::prelude::*;

const CSV: &str = include_str!("twelve.csv");
const YAML: &str = include_str!("twelve.yaml");

fn csv(text: &str) -> Result<Inventory, Vec<Fault>> {
    read("n.csv", Format::Csv, text.as_bytes())
}

fn yaml(text: &str) -> Result<Inventory, Vec<Fault>> {
    read("n.yaml", Format::Yaml, text.as_bytes())
}

fn fault_lines(read: Result<Inventory, Vec<Fault>>) -> Vec<String> {
    read.expect_err("it has faults").iter().map(ToString::to_string).collect()
}

/// A CSV file with this row between two valid ones, in line 3.
fn with_row(row: &str) -> String {
    format!(
        "{}\ns-a,10.0.0.1:1,a,std,1,in_service,1,\n{row}\ns-z,10.0.0.9:1,a,std,1,in_service,1,5\n",
        COLUMNS.join(",")
    )
}

#[test]
fn the_same_twelve_nodes_are_the_same_in_both_formats() {
    let (a, b) = (csv(CSV).expect("good"), yaml(YAML).expect("good"));
    assert_eq!(a, b);
    assert_eq!((a.nodes.len(), a.version, a.closed), (12, Some(7), true));
    assert_eq!(a.nodes[2].state, State::Terminating);
    assert_eq!((a.nodes[3].weight, a.nodes[3].started_ms, a.nodes[4].cell), (1.5, Some(1764500000000), None));
    assert_eq!(a.nodes[5].address.to_string(), "[::1]:5105");
}

#[test]
fn columns_in_another_order_line_ends_and_a_byte_order_mark_change_nothing() {
    let good = csv(CSV).expect("good");
    assert_eq!(csv(&CSV.replace('\n', "\r\n")).expect("CRLF"), good);
    assert_eq!(csv(&format!("\u{feff}{CSV}")).expect("BOM"), good);
    assert_eq!(yaml(&YAML.replace('\n', "\r\n")).expect("CRLF"), good);
    assert_eq!(yaml(&format!("\u{feff}{YAML}")).expect("BOM"), good);
    let reordered =
        "state,weight,id,zone,kind,address,started_ms,cell\nin_service,2,s-1,a,std,10.0.0.1:1,,\n";
    let nodes = csv(reordered).expect("good").nodes;
    assert_eq!((nodes[0].id.as_str(), nodes[0].weight, nodes[0].cell), ("s-1", 2.0, None));
}

#[test]
fn every_fault_of_a_row_has_line_column_node_and_expected_value() {
    for (row, expected) in [
        ("s-b,10.0.0.2:1,a,std,1,in_service,1", "n.csv:3:35: s-b: the row has 7 columns, expected 8"),
        ("s-b,10.0.0.2:1,a,std,1,in_service,1,,x", "n.csv:3:38: s-b: the row has 9 columns, expected 8"),
        ("s-a,10.0.0.2:1,a,std,1,in_service,1,", "n.csv:3:1: s-a: id is given twice, first in line 2"),
        (
            "s-b,10.0.0.1:1,a,std,1,in_service,1,",
            "n.csv:3:5: s-b: address 10.0.0.1:1 is already used by s-a in line 2",
        ),
        (
            "s-b,10.0.0.2,a,std,1,in_service,1,",
            "n.csv:3:5: s-b: address is \"10.0.0.2\", expected an IP address and a port",
        ),
        ("s-b,host:1,a,std,1,in_service,1,", "n.csv:3:5: s-b: address is \"host:1\""),
        ("s-b,10.0.0.2:0,a,std,1,in_service,1,", "n.csv:3:5: s-b: address is \"10.0.0.2:0\""),
        (",10.0.0.2:1,a,std,1,in_service,1,", "n.csv:3:1: id is empty, expected 1 to 128 characters"),
        ("s-b,10.0.0.2:1,,std,1,in_service,1,", "n.csv:3:16: s-b: zone is empty"),
        ("s-b,10.0.0.2:1,a,,1,in_service,1,", "n.csv:3:18: s-b: kind is empty"),
        (
            "s-b,10.0.0.2:1,a,std,x,in_service,1,",
            "n.csv:3:22: s-b: cell is \"x\", expected a whole number or nothing",
        ),
        (
            "s-b,10.0.0.2:1,a,std,1,up,1,",
            "n.csv:3:24: s-b: state is \"up\", expected in_service, terminating or terminated",
        ),
        (
            "s-b,10.0.0.2:1,a,std,1,in_service,-1,",
            "n.csv:3:35: s-b: weight is \"-1\", expected a number from 0 to 1e9",
        ),
        ("s-b,10.0.0.2:1,a,std,1,in_service,NaN,", "weight is \"NaN\""),
        ("s-b,10.0.0.2:1,a,std,1,in_service,inf,", "weight is \"inf\""),
        ("s-b,10.0.0.2:1,a,std,1,in_service,-0,", "weight is \"-0\""),
        ("s-b,10.0.0.2:1,a,std,1,in_service,,", "weight is empty"),
        (
            "s-b,10.0.0.2:1,a,std,1,in_service,1,soon",
            "n.csv:3:37: s-b: started_ms is \"soon\", expected Unix milliseconds or nothing",
        ),
        (
            "s-b,10.0.0.2:1,\"a\",std,1,in_service,1,",
            "n.csv:3:16: a quote; quoted fields, and commas in them, are not accepted",
        ),
        ("s-b,10.0.0.2:1,a,std,1,in_service\t,1,", "n.csv:3:34: a tab, expected a comma or nothing"),
        ("s-b,10.0.0.2:1,a,std,1,in_service,1,\r\r", "a carriage return within a line"),
    ] {
        let found = fault_lines(csv(&with_row(row)));
        assert!(found.iter().any(|f| f.contains(expected)), "{row:?}: {found:#?} holds no {expected:?}");
        assert!(found.iter().all(|f| f.starts_with("n.csv:3:")), "faults outside the row: {found:?}");
    }
}

#[test]
fn all_faults_of_a_damaged_file_are_reported_at_once() {
    let damaged = CSV
        .replacen("s-01,", "s-00,", 1)
        .replacen("10.1.0.12:5000", "10.1.0.10:5000", 1)
        .replacen("1.5", "nan", 1)
        .replacen("s-06,", "\"s-06\",", 1)
        .replacen("# count: 12", "# count: 11", 1);
    let found = fault_lines(csv(&damaged));
    for expected in [
        "id is given twice",
        "address 10.1.0.10:5000 is already used by",
        "weight is \"nan\"",
        "a quote",
        "count is 11, but the file holds 12 nodes",
    ] {
        assert!(found.iter().any(|f| f.contains(expected)), "{found:#?} holds no {expected:?}");
    }
    let damaged = YAML
        .replacen("weight: 1.5", "weight: .nan", 1)
        .replacen("*std", "*standard", 1)
        .replacen("state: terminating", "state: draining", 1)
        .replacen("id: s-11", "id: s-10", 1);
    let found = fault_lines(yaml(&damaged));
    for expected in [
        "weight is \".nan\"",
        "alias *standard points to no anchor",
        "state is \"draining\"",
        "id is given twice",
    ] {
        assert!(found.iter().any(|f| f.contains(expected)), "{found:#?} holds no {expected:?}");
    }
}

#[test]
fn faults_of_the_whole_csv_file_are_reported() {
    let good = with_row("s-b,10.0.0.2:1,a,std,1,in_service,1,");
    for (text, expected) in [
        (String::new(), "the file is empty, expected id,address,zone"),
        (format!("{}\n", COLUMNS.join(",")), "the file holds no node"),
        ("# only a comment\n".into(), "the file has no header"),
        (good.replace("id,", "name,"), "n.csv:1:1: unknown column \"name\""),
        (good.replace("id,", "name,"), "n.csv:1:1: the header lacks id"),
        (good.replace(",cell", ",zone"), "n.csv:1:22: column zone is given twice"),
        (good.replace("in_service,1,", "in_service,0,"), "weight is 0 for every node"),
        (format!("{good}# end\ns-q,10.0.0.7:1,a,std,1,in_service,1,\n"), "a line after `# end`"),
        (format!("# version: x\n{good}"), "n.csv:1:12: version is \"x\", expected a whole number"),
        (format!("# removal: yes\n{good}"), "removal is \"yes\", expected allowed"),
        (format!("# count: 3\n# count: 3\n{good}"), "count is given twice"),
    ] {
        let found = fault_lines(csv(&text));
        assert!(found.iter().any(|f| f.contains(expected)), "{text:?}: {found:#?} holds no {expected:?}");
    }
    assert!(csv(&format!("# removal: allowed\n{}\n", COLUMNS.join(",")))
        .expect("removal is allowed")
        .nodes
        .is_empty());
    let latin = [good.as_bytes(), b"caf\xe9\n"].concat();
    assert_eq!(fault_lines(read("n.csv", Format::Csv, &latin)), ["n.csv:5:4: byte 0xe9 is not UTF-8"]);
    let large = vec![b'#'; MAX_BYTES + 1];
    assert!(fault_lines(read("n.csv", Format::Csv, &large))[0].contains("expected 33554432 at most"));
}

#[test]
fn faults_of_yaml_are_reported() {
    let node = "{id: s-1, address: '10.0.0.1:1', zone: a, kind: std, state: in_service, weight: 1}";
    let good = format!("nodes:\n- {node}\n");
    assert_eq!(yaml(&good).expect("good").nodes.len(), 1);
    for (text, expected) in [
        ("".to_string(), "n.yaml:1:1: the file is empty"),
        ("- 1\n".into(), "the file holds a list, expected a mapping with nodes:"),
        ("nodes: 5\n".into(), "nodes: holds a value, expected a list"),
        ("nodes:\n".into(), "the file holds no node"),
        ("version: 3\n".into(), "the file holds no nodes:"),
        ("nodes: [1]\n".into(), "n.yaml:1:9: a node is a value, expected a mapping"),
        (good.replace("zone: a, ", ""), "s-1: the node lacks zone"),
        (good.replace("zone: a", "zone: a, zone: b"), "s-1: key \"zone\" is given twice"),
        (good.replace("zone: a", "room: a"), "s-1: unknown key \"room\""),
        (good.replace("zone: a", "zone: [a]"), "zone is a list, expected a value"),
        (good.replace("kind: std", "kind: *std"), "alias *std points to no anchor before it"),
        (format!("{good}nodes: []\n"), "key \"nodes\" is given twice"),
        (format!("{good}hosts: []\n"), "unknown key \"hosts\""),
        (format!("{good}---\nnodes: []\n"), "n.yaml:3:1: a second document, expected one"),
        (good.replace("nodes:\n", "nodes:\n\t"), "n.yaml:2:1: a tab, expected spaces"),
        ("nodes: &a\n- *a\n".into(), "an alias inside the value that it refers to, expected no cycle"),
        ("nodes: [\n".into(), "invalid YAML"),
        (format!("nodes: {}{}\n", "[".repeat(40), "]".repeat(40)), "over 16 levels deep"),
        (good.replace("nodes:\n- {", "nodes:\n- {<<: 5, "), "<<: is a value, expected a mapping"),
    ] {
        let found = fault_lines(yaml(&text));
        assert!(found.iter().any(|f| f.contains(expected)), "{text:?}: {found:#?} holds no {expected:?}");
    }
}

#[test]
fn a_yaml_file_whose_aliases_expand_exponentially_is_refused() {
    let mut text = String::from("x-0: &l0 [a, a, a, a, a, a, a, a, a, a]\n");
    for n in 1..15 {
        let aliases = vec![format!("*l{}", n - 1); 10].join(", ");
        text.push_str(&format!("x-{n}: &l{n} [{aliases}]\n"));
    }
    text.push_str("nodes: *l14\n");
    let found = fault_lines(yaml(&text));
    assert!(found[0].contains("with its aliases expanded the file holds") && found.len() == 1, "{found:?}");
}

#[test]
fn merge_keys_and_anchors_of_configuration_tools_are_supported() {
    let text = "x-common: &common {zone: a, kind: std, state: in_service, weight: 1}\n\
                x-cell: &cell {cell: 4, zone: other}\n\
                nodes:\n\
                - {id: s-1, address: '10.0.0.1:1', <<: [*common, *cell]}\n\
                - {<<: *common, weight: 2, id: s-2, address: '10.0.0.2:1'}\n";
    let nodes = yaml(text).expect("good").nodes;
    assert_eq!((nodes[0].zone.as_str(), nodes[0].cell), ("a", Some(4)), "earlier mappings take precedence");
    assert_eq!((nodes[1].weight, nodes[1].cell), (2.0, None), "own keys take precedence over merged ones");
}

#[test]
fn faults_over_the_limit_are_counted_but_not_listed() {
    let mut text = COLUMNS.join(",") + "\n";
    for n in 0..MAX_FAULTS * 2 {
        text.push_str(&format!("s-{n},nowhere,a,std,1,in_service,1,\n"));
    }
    let found = fault_lines(csv(&text));
    assert_eq!(found.len(), MAX_FAULTS + 1);
    assert!(found[MAX_FAULTS].ends_with("1000 more faults are not listed"), "{}", found[MAX_FAULTS]);
}

#[test]
fn a_thousand_undefined_aliases_are_parsed_in_bounded_time() {
    let node = |n: usize| format!("- {{id: s-{n}, address: *nowhere{n}}}\n");
    let text = format!("nodes:\n{}", (0..1_000).map(node).collect::<String>());
    let found = fault_lines(yaml(&text));
    assert!(found.iter().any(|f| f.contains("over 200 aliases point to no anchor")), "{found:?}");
}

#[test]
fn overlong_lines_and_too_many_values_are_refused_unparsed() {
    let commas = ",".repeat(8 << 20);
    assert_eq!(fault_lines(csv(&commas)), ["n.csv:1:1: a line of 8388608 bytes, expected 4096 at most"]);
    let values = format!("nodes: [{}]\n", "a,".repeat(4_000_000));
    let found = fault_lines(yaml(&values));
    assert!(found.len() == 1 && found[0].contains("over 3600000 values"), "{found:?}");
}

#[test]
fn mutated_files_never_panic_and_accepted_ones_round_trip() {
    let mut rng = fastrand::Rng::with_seed(11);
    let fragments: [&[u8]; 14] = [
        b"*a", b"&a ", b"<<: ", b"\t", b"\"", b",", b"\r", b"\n---\n", b"[", b"{", b"- ", b"\xff", b"nan",
        b": ",
    ];
    for round in 0..6_000 {
        let (format, text) = if round % 2 == 0 { (Format::Csv, CSV) } else { (Format::Yaml, YAML) };
        let mut bytes = text.as_bytes().to_vec();
        for _ in 0..rng.usize(1..8) {
            let at = rng.usize(0..bytes.len().max(1));
            if bytes.len() <= at {
                break;
            }
            match rng.u8(0..5) {
                0 => bytes[at] = rng.u8(..),
                1 => drop(bytes.drain(at..(at + rng.usize(0..60)).min(bytes.len()))),
                2 => bytes.truncate(at.max(1)),
                3 => drop(bytes.splice(at..at, rng.choice(fragments).unwrap_or(b"").iter().copied())),
                _ => {
                    let copy = bytes[at..(at + rng.usize(0..80)).min(bytes.len())].to_vec();
                    bytes.extend_from_slice(&copy);
                }
            }
        }
        match read("n", format, &bytes) {
            Ok(inventory) => {
                let again = read("n", format, write(&inventory, format).as_bytes())
                    .expect("what was written is good");
                assert_eq!(again.nodes, inventory.nodes);
            }
            Err(faults) => assert!(!faults.is_empty()),
        }
    }
}

fn nodes() -> impl Strategy<Value = Vec<Node>> {
    let word = "[a-z][a-z0-9.:*&!%@#-]{0,10}";
    let one = (
        word,
        word,
        proptest::option::of(any::<i64>()),
        0usize..3,
        0u32..1_000,
        proptest::option::of(1u64..1 << 47),
    );
    proptest::collection::vec(one, 1..40).prop_map(|all| {
        let states = [State::InService, State::Terminating, State::Terminated];
        let node = |(n, (zone, kind, cell, state, weight, started_ms)): (
            usize,
            (String, String, _, usize, u32, _),
        )| Node {
            id: format!("{n}-{kind}"),
            address: ([10, 0, (n >> 8) as u8, n as u8], 1).into(),
            zone,
            kind,
            cell,
            state: states[state],
            weight: f64::from(weight) / 8.0 + f64::from(u8::from(n == 0)),
            started_ms,
        };
        all.into_iter().enumerate().map(node).collect()
    })
}

proptest! {
    #[test]
    fn both_forms_round_trip(nodes in nodes(), version in proptest::option::of(any::<u64>()), removal_allowed: bool) {
        let inventory = Inventory { version, removal_allowed, closed: true, nodes };
        for format in [Format::Csv, Format::Yaml] {
            let text = write(&inventory, format);
            let again = read("n", format, text.as_bytes());
            prop_assert_eq!(again.map_err(|f| f[0].to_string()), Ok(inventory.clone()), "{}", text);
        }
    }

    #[test]
    fn a_truncated_closed_file_is_never_accepted_as_closed(cut in 1usize..900) {
        // The count precedes the nodes, so every shorter text lacks nodes; only the last newline may be missing.
        let cut = cut.min(CSV.trim_end().len() - 1);
        if let Ok(part) = csv(&CSV[..cut]) {
            prop_assert!(part.nodes.len() == 12 || !part.closed, "{} nodes of a part of {cut} bytes", part.nodes.len());
        }
    }
}
