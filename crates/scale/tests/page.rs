//! The capacity page against the records that it is worked out from.

use liftrouter_scale::budget::{Budget, Unknown, Verdict};
use liftrouter_scale::capacity::{blocks, needs, render, slope_list, Carries, Records};
use liftrouter_scale::fit::Interval;
use liftrouter_scale::record::{Point, Record};
use liftrouter_scale::table::{number, with_interval};
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn budget() -> Budget {
    Budget::read(&root().join("deploy/capacity-budget.toml")).expect("the budget")
}

fn records() -> Records {
    Records::read(&root().join("docs/capacity")).expect("the records")
}

fn page() -> String {
    std::fs::read_to_string(root().join("docs/CAPACITY.md")).expect("the page")
}

/// What the page would be by these records.
fn worked_out(page: &str, records: &Records) -> String {
    render(page, &blocks(records, &budget()).expect("blocks")).expect("a page with all blocks")
}

/// The first line in which page and records part.
fn first_difference(page: &str, records: &Records) -> Option<(String, String)> {
    let expected = worked_out(page, records);
    let (mut found, mut wanted) = (page.lines(), expected.lines());
    loop {
        match (found.next(), wanted.next()) {
            (None, None) => return None,
            (a, b) if a == b => {}
            (a, b) => return Some((a.unwrap_or("").into(), b.unwrap_or("").into())),
        }
    }
}

/// The text of a block.
fn block<'a>(page: &'a str, name: &str) -> &'a str {
    let (begin, end) = (format!("<!-- begin {name} -->"), format!("<!-- end {name} -->"));
    let after = page.split(&begin).nth(1).expect("a block");
    after.split(&end).next().expect("its end")
}

#[test]
fn the_page_says_what_the_records_say() {
    let (page, records) = (page(), records());
    if let Some((found, expected)) = first_difference(&page, &records) {
        panic!("the page says\n{found}\nthe records say\n{expected}\n(`liftrouter-scale report` works it out anew)");
    }
}

#[test]
fn every_slope_that_is_named_has_a_record() {
    let records = records();
    for key in slope_list(&budget()).iter().filter(|key| key.record.starts_with("slope-")) {
        let fit = records.fit(key.record, key.quantity, key.variable).expect("a fit");
        assert!(fit.is_some(), "{} has nothing of {} by {}", key.record, key.quantity, key.variable);
    }
}

#[test]
fn every_row_of_the_slopes_recomputes_by_itself() {
    let (page, records) = (page(), records());
    let rows: Vec<Vec<&str>> =
        block(&page, "slopes").lines().filter(|line| line.starts_with("| `")).map(cells).collect();
    assert_eq!(rows.len(), slope_list(&budget()).len());
    for row in rows {
        let [record, quantity, variable] = [0, 1, 2].map(|n| row[n].trim_matches('`'));
        let Some(fit) = records.fit(record, quantity, variable).expect("a fit") else {
            assert_eq!(row[3], "not run", "{row:?}");
            continue;
        };
        let target: f64 = row[9].replace(',', "").parse().expect("a size");
        let used = fit.line_beyond();
        assert_eq!(row[4], with_interval(used.slope), "{row:?}");
        assert_eq!(row[5], with_interval(used.intercept), "{row:?}");
        // The size in the page is rounded to four digits.
        let (shown, value) = (row[10], fit.at(target).interval);
        let first = shown.split(" ± ").next().unwrap_or("").replace(',', "").parse::<f64>().expect("a value");
        assert!(
            (first - value.value).abs() <= 2e-3 * value.value.abs().max(1e-9),
            "{shown}, expected {value:?}"
        );
    }
}

fn cells(line: &str) -> Vec<&str> {
    line.trim_matches('|').split(" | ").map(str::trim).collect()
}

#[test]
fn every_changed_digit_of_a_block_is_found() {
    let (page, records) = (page(), records());
    let blocks = blocks(&records, &budget()).expect("blocks");
    let mut changed = 0;
    for name in ["ranking", "before-and-after", "roles", "needs", "faults", "faults-played", "slopes"] {
        let begin = page.find(&format!("<!-- begin {name} -->")).expect("a block");
        let end = page.find(&format!("<!-- end {name} -->")).expect("its end");
        // Every seventeenth digit: all of them take long.
        let digits = page[begin..end].char_indices().filter(|(_, c)| c.is_ascii_digit()).step_by(17);
        for (at, digit) in digits {
            let other = if digit == '9' { "1" } else { "9" };
            let mut altered = page.clone();
            altered.replace_range(begin + at..begin + at + 1, other);
            let expected = render(&altered, &blocks).expect("a page with all blocks");
            assert_ne!(altered, expected, "a changed {digit} in {name} passes");
            changed += 1;
        }
    }
    assert!(changed > 50, "{changed} digits were tried");
}

#[test]
fn a_changed_point_of_a_record_is_found() {
    let page = page();
    for key in slope_list(&budget()) {
        let mut altered = records();
        let Some(mut record) = altered.remove(key.record) else { continue };
        let named = |p: &&mut liftrouter_scale::record::Point| {
            p.quantity == key.quantity && p.variable == key.variable
        };
        let Some(point) = record.points.iter_mut().find(named) else { continue };
        point.value = point.value * 1.5 + 1.0;
        altered.insert(record);
        assert!(first_difference(&page, &altered).is_some(), "{} {}", key.record, key.quantity);
    }
}

/// The mean of what a record has of a quantity at its smallest size, and at its largest.
fn ends(record: &Record, quantity: &str) -> [f64; 2] {
    let points = || record.points.iter().filter(|point| point.quantity == quantity);
    let sizes = || points().map(|point| point.size);
    let (smallest, largest) = (sizes().fold(f64::INFINITY, f64::min), sizes().fold(0.0, f64::max));
    assert!(largest >= 10.0 * smallest, "{}: {smallest} to {largest}", record.name);
    [smallest, largest].map(|size| {
        let at_size: Vec<f64> =
            points().filter(|point| point.size == size).map(|point| point.value).collect();
        at_size.iter().sum::<f64>() / at_size.len() as f64
    })
}

/// Where the stored runs say that a limiter by service costs more with ten times the servers, or in a fleet of ten
/// times the size.
fn grown_by_service(records: &Records) -> Vec<String> {
    const FLAT: f64 = 1.2;
    let mut grown = Vec::new();
    for name in ["service-servers", "service-limiters"] {
        let record = records.get(name).expect("a record");
        for quantity in ["limiter.cpu_percent", "limiter.bytes_in_per_s", "limiter.rss_kb"] {
            let [small, large] = ends(record, quantity);
            if large > FLAT * small {
                grown.push(format!("{name}, {quantity}: {small} to {large}"));
            }
        }
    }
    grown
}

#[test]
fn by_service_a_limiter_costs_the_same_at_ten_times_the_size() {
    let mut records = records();
    assert_eq!(grown_by_service(&records), Vec::<String>::new());
    let mut altered = records.remove("service-limiters").expect("a record");
    let largest = altered.points.iter().map(|point| point.size).fold(0.0, f64::max);
    let named = |point: &&mut Point| point.quantity == "limiter.cpu_percent" && point.size == largest;
    altered.points.iter_mut().filter(named).for_each(|point| point.value *= 2.0);
    records.insert(altered);
    assert_eq!(grown_by_service(&records).len(), 1, "a run that grows is found");
}

#[test]
fn a_missing_record_is_found() {
    let page = page();
    let names: Vec<String> = records().iter().map(|record| record.name.clone()).collect();
    assert!(names.len() >= 10, "{names:?}");
    for name in names {
        let mut altered = records();
        altered.remove(&name);
        assert!(first_difference(&page, &altered).is_some(), "{name}");
    }
}

#[test]
fn a_page_without_a_block_is_refused() {
    let (page, records) = (page(), records());
    let blocks = blocks(&records, &budget()).expect("blocks");
    let without = page.replace("<!-- end needs -->", "");
    assert!(render(&without, &blocks).is_err());
    let twice = page.replace("<!-- begin needs -->\n", "<!-- begin needs -->\n<!-- begin needs -->\n");
    assert!(render(&twice, &blocks).is_err());
}

#[test]
fn verdicts_take_the_whole_interval_and_the_stretch() {
    let need = |value, half| Some(Interval { value, half });
    assert_eq!(Verdict::of(need(8.0, 1.0), Some(10.0), 1.0), Verdict::Holds { ratio: 0.8 });
    assert_eq!(Verdict::of(need(30.0, 1.0), Some(10.0), 10.0), Verdict::DoesNot { ratio: 3.0 });
    let unsure = Verdict::NotKnown(Unknown::TooWide { ratio: 1.1 });
    assert_eq!(Verdict::of(need(11.0, 2.0), Some(10.0), 1.0), unsure);
    let below = Verdict::NotKnown(Unknown::BelowZero { ratio: -0.5 });
    assert_eq!(Verdict::of(need(-5.0, 1.0), Some(10.0), 1.0), below);
    let far = Verdict::NotKnown(Unknown::TooFar { ratio: 0.1, stretch: 11.0 });
    assert_eq!(Verdict::of(need(1.0, 0.0), Some(10.0), 11.0), far);
    assert_eq!(Verdict::of(None, Some(10.0), 1.0), Verdict::NotKnown(Unknown::NotRun));
    assert_eq!(Verdict::of(need(1.0, 0.0), None, 1.0), Verdict::NotKnown(Unknown::NoBudget));
}

#[test]
fn the_ranking_is_in_order_and_names_what_does_not_hold_today() {
    let all = needs(&records(), &budget()).expect("needs");
    let page = page();
    let ratios: Vec<f64> = block(&page, "ranking")
        .lines()
        .filter(|line| line.starts_with("| ") && !line.starts_with("| need") && !line.starts_with("| ---"))
        .map(|line| cells(line)[0].parse().expect("a ratio"))
        .collect();
    assert!(ratios.windows(2).all(|pair| pair[0] >= pair[1]), "{ratios:?}");
    let failing = |need: &&liftrouter_scale::capacity::Need| {
        need.carries == Carries::Today && matches!(need.verdict(), Verdict::DoesNot { .. })
    };
    for need in all.iter().filter(failing) {
        assert!(block(&page, "ranking").contains(&need.what), "{}", need.what);
    }
}

#[test]
fn a_budget_with_an_unknown_figure_is_refused() {
    let text = std::fs::read_to_string(root().join("deploy/capacity-budget.toml")).expect("the budget");
    let folder = std::env::temp_dir().join(format!("liftrouter-budget-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("budget.toml");
    std::fs::write(&path, text.replace("machines = 16", "machines = 16\nmoons = 2")).expect("a file");
    assert!(Budget::read(&path).is_err());
    std::fs::write(&path, text.replace("machines = 16", "")).expect("a file");
    assert!(Budget::read(&path).is_err());
    std::fs::remove_dir_all(&folder).expect("the folder goes");
}

#[test]
fn numbers_have_four_digits() {
    let cases = [
        (0.0, "0"),
        (1.0, "1"),
        (12_345.678, "12,350"),
        (7_100.0, "7,100"),
        (2.655_5, "2.656"),
        (0.017, "0.017"),
        (-61_000.0, "-61,000"),
        (11_176_209.0, "11,180,000"),
    ];
    for (value, text) in cases {
        assert_eq!(number(value), text);
    }
    assert_eq!(number(f64::INFINITY), "∞");
}
