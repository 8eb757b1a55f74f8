//! Runs the real binary with an inventory file: the ways in which tools replace the file, the reasons for refusing a
//! version, and the effects of a change on open requests.
mod common;

use common::*;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;

const HEAD: &str = "id,address,zone,kind,cell,state,weight,started_ms\n";

/// A temporary directory with an operator's file that refers to the inventory file.
struct InventoryDirectory {
    folder: PathBuf,
    file: PathBuf,
}

impl InventoryDirectory {
    fn new(more: &str) -> InventoryDirectory {
        let folder = temp_file("").with_extension("d");
        std::fs::create_dir_all(&folder).expect("a folder");
        let file = folder.join("nodes.csv");
        let operator = format!("[inventory]\ncsv = '{}'\n{more}", file.display());
        std::fs::write(folder.join("operator.toml"), operator).expect("write");
        InventoryDirectory { folder, file }
    }

    fn limiter(&self) -> Limiter {
        // Nothing listens at the discovery address, so the test fails if the limiter depends on discovery.
        Limiter::with_operator(&self.folder.join("operator.toml"), settings(), ([127, 0, 0, 1], 9).into())
    }
}

fn csv(version: u64, nodes: &[(&str, SocketAddr, &str)]) -> String {
    let mut text = format!("# version: {version}\n# count: {}\n{HEAD}", nodes.len());
    for (id, address, state) in nodes {
        text += &[*id, address.to_string().as_str(), "room-a,std,1", *state, "1,\n"].join(",");
    }
    text
}

/// Sends a request and returns the response body: the name of the server and the inventory version of the request.
fn served_by(limiter: &Limiter) -> String {
    let answer = limiter.client().ask(&quote("roomy", 1_500));
    assert_eq!(answer.status(), 200);
    answer.text()
}

/// A server that responds with its name and the `X-Inventory` version of the request.
fn server(name: &'static str) -> Fake {
    Fake::new(move |m| ok(&format!("{name} {}", m.header("x-inventory").unwrap_or("none"))))
}

#[test]
fn a_limiter_without_discovery_is_up_only_after_the_first_inventory_is_adopted() {
    let (directory, a) = (InventoryDirectory::new(""), server("a"));
    let limiter = directory.limiter();
    wait_until("the missing file is logged", || limiter.errors().contains("the file does not exist"));
    assert!(!limiter.up(), "a limiter without an endpoint list must not be up");
    rename_over(&directory.file, &csv(5, &[("s-a", a.address, "in_service")]));
    wait_until("it is up", || limiter.up());
    assert_eq!(served_by(&limiter), "a 5");
    assert!(limiter.errors().contains("inventory: version 5 adopted, 1 nodes"), "{}", limiter.errors());
}

/// Creates a symbolic link to the target and atomically renames it over an existing link.
fn swap_link(directory: &InventoryDirectory, target: &Path, link: &Path) {
    let new = directory.folder.join("..new");
    let _ = std::fs::remove_file(&new);
    std::os::unix::fs::symlink(target, &new).expect("a link");
    std::fs::rename(&new, link).expect("rename");
}

/// Writes a version of the file in one of six ways, chosen by the version number. In one of them the file is a link
/// into a directory that is itself replaced by swapping a link, as some configuration tools do.
fn write_in_turn(directory: &InventoryDirectory, version: u64, text: &str) {
    let spare = directory.folder.join(if version.is_multiple_of(2) { "one" } else { "two" });
    let data = directory.folder.join("..data");
    match version % 6 {
        0 => rename_over(&directory.file, text),
        1 => std::fs::write(&directory.file, text).expect("in place"),
        2 => {
            std::fs::remove_file(&directory.file).expect("remove");
            std::fs::write(&directory.file, text).expect("write anew");
        }
        3 => {
            let other = spare.join(format!("{version}.csv"));
            std::fs::write(&other, text).expect("write");
            swap_link(directory, &other, &directory.file);
        }
        4 => {
            std::fs::write(spare.join("nodes.csv"), text).expect("write");
            swap_link(directory, &spare, &data);
            swap_link(directory, &data.join("nodes.csv"), &directory.file);
        }
        // Many partial writes, of which only the last is complete.
        _ => {
            let _ = std::fs::remove_file(&directory.file);
            for cut in 1..20 {
                std::fs::write(&directory.file, &text[..text.len() * cut / 20]).expect("write a part");
            }
            std::fs::write(&directory.file, text).expect("write");
        }
    }
}

#[test]
fn every_way_of_replacing_the_file_is_noticed() {
    let (directory, a, b) = (InventoryDirectory::new(""), server("a"), server("b"));
    let to = |version: u64| {
        let node = if version.is_multiple_of(2) {
            ("s-a", a.address, "in_service")
        } else {
            ("s-b", b.address, "in_service")
        };
        let text = csv(version, &[node]).replace("# count", "# removal: allowed\n# count");
        (text, format!("{} {version}", if version.is_multiple_of(2) { "a" } else { "b" }))
    };
    rename_over(&directory.file, &to(0).0);
    let limiter = directory.limiter();
    wait_until("it is up", || limiter.up());
    for folder in ["one", "two"] {
        std::fs::create_dir_all(directory.folder.join(folder)).expect("a folder");
    }
    for version in 1..=24 {
        let (text, expected) = to(version);
        write_in_turn(&directory, version, &text);
        wait_until(&format!("version {version} is adopted"), || served_by(&limiter) == expected);
    }
    let errors = limiter.errors();
    for version in 1..=24 {
        let adopted = format!("version {version} adopted,");
        assert_eq!(errors.matches(&adopted).count(), 1, "{adopted} {errors}");
    }
}

#[test]
fn a_refused_version_changes_nothing_and_is_logged_once() {
    let (directory, a, b) = (InventoryDirectory::new(""), server("a"), server("b"));
    let good = [("s-a", a.address, "in_service"), ("s-b", b.address, "in_service")];
    rename_over(&directory.file, &csv(7, &good));
    let limiter = directory.limiter();
    wait_until("it is up", || limiter.up());
    let bad = [
        (csv(8, &good).replacen("in_service", "up", 1), "state is \"up\", expected in_service"),
        (csv(8, &good[..1]).replace("count: 1", "count: 2"), "count is 2, but the file holds 1 nodes"),
        (csv(6, &good), "version 6 is older than the adopted version 7"),
        (csv(7, &good[..1]), "version 7 is already adopted with different nodes"),
        (csv(8, &[]), "the file holds no node"),
        (
            csv(8, &[]).replace("# count", "# removal: alowed\n# count"),
            "removal is \"alowed\", expected allowed",
        ),
        (csv(8, &[("s-c", a.address, "in_service")]), "it removes 2 of 2 serving nodes"),
        (csv(8, &good).replace("# count: 2\n", ""), "it has no count and no end marker"),
        (String::new(), "the file is empty"),
    ];
    for (text, why) in &bad {
        rename_over(&directory.file, text);
        wait_until(why, || limiter.errors().contains(why));
        assert!(served_by(&limiter).ends_with(" 7"), "the previous version stays in use");
    }
    std::fs::remove_file(&directory.file).expect("remove");
    wait_until("the removed file is logged", || limiter.errors().contains("the file does not exist"));
    assert!(served_by(&limiter).ends_with(" 7"));
    rename_over(&directory.file, &csv(8, &good));
    wait_until("a valid version is adopted", || served_by(&limiter).ends_with(" 8"));
    for (_, why) in &bad {
        assert_eq!(limiter.errors().matches(why).count(), 1, "{why}: {}", limiter.errors());
    }
}

#[test]
fn new_requests_avoid_drained_and_weightless_nodes_and_follow_moved_ones() {
    let (directory, a, b) = (InventoryDirectory::new("most_removed = 1.0\n"), server("a"), server("b"));
    let both = |state| [("s-a", a.address, state), ("s-b", b.address, "in_service")];
    rename_over(&directory.file, &csv(1, &both("in_service")));
    let limiter = directory.limiter();
    wait_until("it is up", || limiter.up());
    rename_over(&directory.file, &csv(2, &both("terminating")));
    wait_until("the drain is adopted", || served_by(&limiter) == "b 2");
    let before = a.count();
    (0..20).for_each(|_| assert_eq!(served_by(&limiter), "b 2"));
    assert_eq!(a.count(), before, "a draining node gets no new requests");
    // The id of one node at the address of the other, which is removed.
    rename_over(&directory.file, &csv(3, &[("s-a", b.address, "in_service")]));
    wait_until("the move is adopted", || served_by(&limiter) == "b 3");
    let weightless = csv(4, &both("in_service")).replacen(",1,\n", ",0,\n", 1);
    rename_over(&directory.file, &weightless);
    wait_until("the weight is adopted", || served_by(&limiter) == "b 4");
    (0..20).for_each(|_| assert_eq!(served_by(&limiter), "b 4"));
}

#[test]
fn open_attempts_end_at_a_removed_node_and_continue_at_a_moved_one() {
    let (directory, b) = (InventoryDirectory::new("most_removed = 1.0\n"), server("b"));
    let silent = Fake::new(|_| Reply::Silence);
    let only = |version, at: SocketAddr| csv(version, &[("s-a", at, "in_service")]);
    rename_over(&directory.file, &only(1, silent.address));
    let limiter = directory.limiter();
    wait_until("it is up", || limiter.up());
    let mut client = limiter.client();
    client.send(&quote("roomy", 2_000));
    wait_until("the silent server has the request", || silent.count() == 1);
    // A moved node: the open attempt continues at the old address, new requests go to the new one.
    rename_over(&directory.file, &only(2, b.address));
    wait_until("the move is adopted", || limiter.errors().contains("version 2 adopted"));
    assert_eq!(served_by(&limiter), "b 2");
    assert!(silent.abandoned_ids().is_empty(), "the open attempt is left alone");
    // A removed node: the open attempt is ended at once, and a request that may be retried goes to another node.
    rename_over(&directory.file, &csv(3, &[("s-b", b.address, "in_service")]));
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), answer.text().as_str()), (200, "b 3"));
    wait_until("its connection is closed", || silent.abandoned_ids().len() == 1);
}

#[test]
fn the_operator_file_is_validated_at_the_start() {
    let directory = InventoryDirectory::new("quiet_ms = 0\n");
    let output =
        command().arg("--operator").arg(directory.folder.join("operator.toml")).output().expect("run");
    assert_eq!(output.status.code(), Some(1));
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(said.contains("operator.toml:3:12: quiet_ms is 0, expected 1 to 10000"), "{said}");
}

#[test]
fn files_are_checked_converted_and_compared_on_the_command_line() {
    let directory = InventoryDirectory::new("");
    let run = |args: &[&str]| {
        let output =
            Command::new(env!("CARGO_BIN_EXE_liftrouter")).arg("inventory").args(args).output().expect("run");
        let said =
            String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
        (output.status.code(), said)
    };
    let at = |n: u16| SocketAddr::from(([10, 0, 0, 1], n));
    let two = [("s-1", at(1), "in_service"), ("s-2", at(2), "in_service")];
    let (old, new) =
        (directory.file.display().to_string(), directory.folder.join("new.yaml").display().to_string());
    std::fs::write(&old, csv(1, &two)).expect("write");
    assert_eq!(run(&["check", &old]), (Some(0), format!("{old}: good, 2 nodes, version 1\n")));
    let (code, yaml) = run(&["convert", &old, "--to", "yaml"]);
    assert_eq!(code, Some(0));
    std::fs::write(&new, &yaml).expect("write");
    assert_eq!(
        run(&["convert", &new, "--to", "csv"]),
        (Some(0), csv(1, &two)),
        "converting to YAML and back"
    );
    assert_eq!(run(&["diff", &old, &new]), (Some(0), "no change\n".into()));
    std::fs::write(&new, yaml.replacen("in_service", "terminating", 1)).expect("write");
    assert_eq!(run(&["diff", &old, &new]).1, "s-1: drains: no new requests, open attempts continue\n");
    std::fs::write(&new, yaml.replacen("weight: 1", "weight: -1", 1)).expect("write");
    let (code, said) = run(&["check", &new]);
    assert!(code == Some(1) && said.contains("new.yaml:10:11: s-1: weight is \"-1\""), "{said}");
    let (code, said) = run(&["check", &new, "--json"]);
    let json: serde_json::Value = serde_json::from_str(&said).expect("JSON");
    assert_eq!((code, &json[0]["line"], &json[0]["node"]), (Some(1), &10.into(), &"s-1".into()));
    assert_eq!(run(&["check", "nowhere.csv"]).0, Some(2));
    assert_eq!(run(&["check", "nodes.txt"]).0, Some(2));
}
