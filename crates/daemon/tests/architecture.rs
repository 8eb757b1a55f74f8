//! The architecture page names only files and folders that exist, and a source file for each alarm.

use std::path::{Path, PathBuf};

/// The folders of the repository that the page refers to by path.
const ROOTS: [&str; 6] = ["crates/", "docs/", "deploy/", "scenarios/", "experiments/", ".ci/"];
/// The number of alarms that the page must cover.
const ALARMS: usize = 6;

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page() -> String {
    std::fs::read_to_string(repository().join("docs/architecture.md")).expect("the architecture page")
}

/// The paths that a text names between backticks.
fn paths(text: &str) -> impl Iterator<Item = &str> {
    let quoted = text.split('`').skip(1).step_by(2);
    quoted.filter(|span| ROOTS.iter().any(|root| span.starts_with(root)))
}

#[test]
fn every_path_on_the_architecture_page_exists() {
    let page = page();
    let missing: Vec<&str> = paths(&page).filter(|path| !repository().join(path).exists()).collect();
    assert_eq!(missing, Vec::<&str>::new(), "the architecture page names paths that do not exist");
}

#[test]
fn every_alarm_on_the_architecture_page_leads_to_a_source_file() {
    let page = page();
    let section = page.split("## When an alarm rings").nth(1).expect("the section on alarms");
    let table = section.split("\n## ").next().expect("the end of the section");
    let rows: Vec<&str> = table.lines().filter(|line| line.starts_with("| ")).skip(2).collect();
    assert_eq!(rows.len(), ALARMS, "rows of the table: {rows:?}");
    for row in rows {
        let source = paths(row).any(|path| Path::new(path).extension().is_some_and(|kind| kind == "rs"));
        assert!(source, "no source file is named in: {row}");
    }
}
