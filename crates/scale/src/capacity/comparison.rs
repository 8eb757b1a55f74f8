//! Whole lists against lists by service, as they were run: the row that failed first, before and after.

use super::records::Records;
use crate::record::Record;
use crate::table::{head, number, row};

/// The records that are compared, and what limiters follow there.
const COMPARED: [(&str, &str); 2] = [("whole-servers", "whole"), ("service-servers", "by service")];
/// What is compared.
const QUANTITIES: [(&str, &str); 4] = [
    ("limiter.cpu_percent", "processor time of a limiter, % of a core"),
    ("limiter.rss_kb", "memory of a limiter, KB"),
    ("lag.p999_ms", "a change in force for 99.9 in 100, ms"),
    ("first_list.last_ms", "first list, last limiter, ms"),
];

/// Each size that the first record has: the least and the most of each quantity over its repetitions.
pub(super) fn before_and_after(records: &Records) -> String {
    let mut names = vec!["listed servers", "list"];
    names.extend(QUANTITIES.map(|(_, name)| name));
    let mut text = head(&names);
    for size in sizes(records) {
        for (record, list) in COMPARED {
            let mut cells = vec![number(size), list.to_owned()];
            cells.extend(QUANTITIES.map(|(quantity, _)| range(records.get(record), quantity, size)));
            text += &row(&cells);
        }
    }
    text
}

fn sizes(records: &Records) -> Vec<f64> {
    let (quantity, _) = QUANTITIES[0];
    let points = records.get(COMPARED[0].0).into_iter().flat_map(|record| &record.points);
    let mut sizes: Vec<f64> = points.filter(|point| point.quantity == quantity).map(|p| p.size).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    sizes
}

fn range(record: Option<&Record>, quantity: &str, size: f64) -> String {
    let points = record.into_iter().flat_map(|record| &record.points);
    let at_size = points.filter(|point| point.quantity == quantity && point.size == size);
    let mut values: Vec<f64> = at_size.map(|point| point.value).collect();
    values.sort_by(f64::total_cmp);
    match values.as_slice() {
        [] => "not run".into(),
        [least, .., most] if least < most => format!("{} to {}", number(*least), number(*most)),
        [only, ..] => number(*only),
    }
}
