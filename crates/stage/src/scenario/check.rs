//! What a scenario must hold to be played, and where it does not.

use super::{Kind, Range, Scenario, Victim, KINDS};
use std::fmt;
use std::ops::Range as Span;

/// A fault of a scenario file: where, what was found, what was expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file.
    pub file: String,
    /// Line and column from 1; none where the whole file is meant.
    pub at: Option<(usize, usize)>,
    /// What was found and what was expected.
    pub what: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.at {
            Some((line, column)) => write!(f, "{}:{line}:{column}: {}", self.file, self.what),
            None => write!(f, "{}: {}", self.file, self.what),
        }
    }
}

impl Problem {
    /// One of the whole file.
    pub fn whole(file: &str, what: String) -> Problem {
        Problem { file: file.into(), at: None, what }
    }

    /// One at a place of the text.
    pub fn at(file: &str, text: &str, span: Option<Span<usize>>, what: String) -> Problem {
        let at = span.map(|span| {
            let before = text.get(..span.start).unwrap_or(text);
            let line = before.matches('\n').count() + 1;
            let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
            (line, column)
        });
        Problem { file: file.into(), at, what }
    }

    /// What the TOML reader found.
    pub fn of_toml(file: &str, text: &str, e: &toml::de::Error) -> Problem {
        Problem::at(file, text, e.span(), e.message().to_string())
    }
}

struct Checker<'a> {
    file: &'a str,
    text: &'a str,
    problems: Vec<Problem>,
}

impl Checker<'_> {
    fn say(&mut self, span: Option<Span<usize>>, what: String) {
        self.problems.push(Problem::at(self.file, self.text, span, what));
    }

    /// Where a key of a table stands: the table's header, then the key behind it. Values that carry no place
    /// of their own are found so.
    fn key(&self, table: &str, nth: usize, key: &str) -> Option<Span<usize>> {
        let dotted = format!("{table}.{key}");
        self.key_below(table, nth, key).or_else(|| self.key_below("", 0, &dotted))
    }

    fn key_below(&self, table: &str, nth: usize, key: &str) -> Option<Span<usize>> {
        let mut from = 0;
        if !table.is_empty() {
            let mut seen = 0;
            let mut at = 0;
            from = self.text.split_inclusive('\n').find_map(|line| {
                let (start, head) = (at, line.trim());
                at += line.len();
                if head == format!("[{table}]") || head == format!("[[{table}]]") {
                    seen += 1;
                    return (seen > nth).then_some(start + line.len());
                }
                None
            })?;
        }
        let mut at = from;
        for line in self.text[from..].split_inclusive('\n') {
            let head = line.trim_start();
            if head.starts_with('[') {
                return None;
            }
            if head.strip_prefix(key).is_some_and(|rest| rest.trim_start().starts_with('=')) {
                let start = at + (line.len() - head.len());
                return Some(start..start + key.len());
            }
            at += line.len();
        }
        None
    }

    fn number(&mut self, (table, nth, key): (&str, usize, &str), found: f64, least: f64, most: f64) {
        if !(least..=most).contains(&found) {
            let span = self.key(table, nth, key);
            self.say(span, format!("{key} is {found}, expected a number from {least} to {most}"));
        }
    }

    fn range(&mut self, span: Option<Span<usize>>, key: &str, found: Range, least: f64, most: f64) {
        let (a, b) = found.ends();
        if !(a >= least && a <= b && b <= most) {
            let text = if a == b { format!("{a}") } else { format!("[{a}, {b}]") };
            let expected = format!("expected a number or a range [least, most] within {least} to {most}");
            self.say(span, format!("{key} is {text}, {expected}"));
        }
    }

    fn one_of(&mut self, span: Span<usize>, key: &str, found: &str, names: &[String]) {
        if !names.iter().any(|n| n == found) {
            self.say(Some(span), format!("{key} is {found:?}, expected one of {}", names.join(", ")));
        }
    }
}

/// The longest rehearsal, in seconds.
const LONGEST: f64 = 7_200.0;

/// Every problem of a scenario that could be parsed.
pub fn check(file: &str, text: &str, s: &Scenario) -> Vec<Problem> {
    let mut c = Checker { file, text, problems: Vec::new() };
    c.number(("", 0, "length_s"), s.length_s, 1.0, LONGEST);
    c.number(("limiters", 0, "count"), s.limiters.count as f64, 1.0, 5_000.0);
    c.number(("limiters", 0, "memory_mb"), s.limiters.memory_mb as f64, 16.0, 65_536.0);
    c.number(("limiters", 0, "sockets"), s.limiters.sockets as f64, 64.0, 65_536.0);
    c.number(("nodes", 0, "count"), s.nodes.count as f64, 1.0, 20_000.0);
    c.number(("nodes", 0, "cores"), s.nodes.cores as f64, 1.0, 1_024.0);
    let span = c.key("nodes", 0, "speed");
    c.range(span, "speed", s.nodes.speed, 0.01, 1_000.0);
    c.number(("nodes", 0, "queue_per_core"), s.nodes.queue_per_core as f64, 0.0, 100_000.0);
    c.number(("nodes", 0, "cold_from"), s.nodes.cold_from, 0.01, 1.0);
    c.number(("nodes", 0, "cold_s"), s.nodes.cold_s, 0.0, 600.0);
    c.number(("nodes", 0, "connections"), s.nodes.connections as f64, 1.0, 100_000.0);
    c.number(("nodes", 0, "handshake_ms"), s.nodes.handshake_ms, 0.0, 1_000.0);
    c.number(("nodes", 0, "idle_s"), s.nodes.idle_s, 0.1, 600.0);
    c.number(("nodes", 0, "key_memory_s"), s.nodes.key_memory_s, 0.1, 600.0);
    c.number(("keeper", 0, "calls_per_s"), s.keeper.calls_per_s, 1.0, 1e6);
    c.number(("keeper", 0, "call_ms"), s.keeper.call_ms, 0.0, 1_000.0);
    c.number(("keeper", 0, "timeout_ms"), s.keeper.timeout_ms, 1.0, 10_000.0);
    c.number(("keeper", 0, "count"), s.keeper.count as f64, 1.0, 8.0);
    c.number(("keeper", 0, "every_ms"), s.keeper.every_ms as f64, 50.0, 3_000.0);
    c.number(("keeper", 0, "roll_ms"), s.keeper.roll_ms as f64, 5.0 * s.keeper.every_ms as f64, 15_000.0);
    c.number(("keeper", 0, "settle_s"), s.keeper.settle_s as f64, 1.0, 3_600.0);
    if s.keeper.count > 1 && !s.keeper.judged {
        let span = c.key("keeper", 0, "count");
        c.say(
            span,
            "count is more than 1, expected judged = true beside it: nobody would call the others".into(),
        );
    }
    if s.keeper.paced && !s.keeper.judged {
        let span = c.key("keeper", 0, "paced");
        c.say(span, "paced is given, expected judged = true beside it".into());
    }
    c.number(("list", 0, "notice_s"), s.list.notice_s, 0.0, 60.0);
    c.number(("list", 0, "silent_notice_s"), s.list.silent_notice_s, 0.0, 600.0);
    c.number(("list", 0, "padding"), s.list.padding as f64, 0.0, 100_000.0);
    c.number(("load", 0, "tries_per_s"), s.load.tries_per_s, 0.1, 20_000.0);
    for (key, share) in
        [("heavy", s.load.heavy), ("spiky", s.load.spiky), ("honour", s.load.honour), ("leave", s.load.leave)]
    {
        c.number(("load", 0, key), share, 0.0, 1.0);
    }
    for (key, share) in [("permissions", s.load.permissions), ("resets", s.load.resets)] {
        c.number(("load", 0, key), share, 0.0, 1.0);
    }
    if let Some(a) = &s.authoriser {
        c.number(("authoriser", 0, "call_ms"), a.call_ms, 0.0, 60_000.0);
        c.number(("authoriser", 0, "timeout_ms"), a.timeout_ms, 1.0, 60_000.0);
        c.number(("authoriser", 0, "deny"), a.deny, 0.0, 1.0);
        c.number(("authoriser", 0, "connections"), a.connections as f64, 1.0, 64.0);
        let names: Vec<_> = s.classes.iter().map(|k| k.name.clone()).collect();
        for class in a.classes.keys().filter(|class| !names.contains(class)) {
            let span = c.key("authoriser", 0, "classes");
            c.say(span, format!("classes has {class:?}, expected one of {}", names.join(", ")));
        }
    }
    c.number(("load", 0, "retries"), f64::from(s.load.retries), 0.0, 10.0);
    let span = c.key("load", 0, "heavy_use");
    c.range(span, "heavy_use", s.load.heavy_use, 0.1, 100.0);
    let span = c.key("load", 0, "backoff_ms");
    c.range(span, "backoff_ms", s.load.backoff_ms, 1.0, 60_000.0);
    c.number(("load", 0, "front_notice_s"), s.load.front_notice_s, 0.0, 60.0);
    c.number(("load", 0, "spread"), s.load.spread as f64, 1.0, 5_000.0);
    for (n, class) in s.classes.iter().enumerate() {
        c.number(("class", n, "share"), class.share, 0.0, 1e6);
        c.number(("class", n, "work_ms"), class.work_ms, 0.01, 60_000.0);
        c.number(("class", n, "deadline_ms"), class.deadline_ms, 50.0, 60_000.0);
        c.number(("class", n, "aim_ms"), class.aim_ms, 1.0, class.deadline_ms);
        c.number(("class", n, "worth"), class.worth, 0.0, 1e6);
    }
    for (n, plan) in s.plans.iter().enumerate() {
        c.number(("plan", n, "share"), plan.share, 0.0, 1e6);
        c.number(("plan", n, "rate"), plan.rate, 0.01, 1e6);
        c.number(("plan", n, "burst_s"), plan.burst_s, 0.1, 600.0);
        c.number(("plan", n, "price"), plan.price, 0.0, 1e6);
        c.number(("plan", n, "over_cost"), plan.over_cost, 0.0, 10.0);
        c.number(("plan", n, "ceiling"), plan.ceiling, 0.0, 100.0);
        if let Some(spread) = plan.spread {
            c.number(("plan", n, "spread"), spread as f64, 1.0, 5_000.0);
        }
    }
    let names = s.rooms.iter().map(|r| ("rooms", r)).chain(s.classes.iter().map(|k| ("class", &k.name)));
    let names: Vec<_> = names.chain(s.plans.iter().map(|p| ("plan", &p.name))).collect();
    for (n, (table, name)) in names.iter().enumerate() {
        let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if name.is_empty() || !name.chars().all(plain) {
            c.say(None, format!("{table}: the name {name:?} holds other than letters, digits, - and _"));
        }
        if names[..n].contains(&(*table, *name)) {
            c.say(None, format!("{table}: the name {name:?} is given twice, expected different names"));
        }
    }
    for (table, none) in
        [("class", s.classes.is_empty()), ("plan", s.plans.is_empty()), ("rooms", s.rooms.is_empty())]
    {
        if none {
            c.say(None, format!("no {table}, expected one at least"));
        }
    }
    for (what, shares) in [
        ("class", s.classes.iter().map(|k| k.share).sum::<f64>()),
        ("plan", s.plans.iter().map(|p| p.share).sum()),
    ] {
        if shares <= 0.0 {
            c.say(None, format!("the shares of every {what} sum to {shares}, expected more than 0"));
        }
    }
    for fault in &s.faults {
        check_fault(&mut c, s, fault);
    }
    c.problems.sort_by_key(|p| p.at);
    c.problems
}

/// What strikes several at once.
fn check_several(c: &mut Checker, about: &super::faults::About, f: &super::Fault) {
    let several = matches!(about.victim, Victim::Node | Victim::Limiter);
    if let Some(share) = &f.share {
        if !several {
            let what = format!("share is given, but {} strikes neither nodes nor limiters", about.name);
            c.say(Some(share.span()), what);
        } else if f.victim.is_some() {
            c.say(Some(share.span()), "share is given beside victim, expected one of them".into());
        } else if !(*share.get_ref() > 0.0 && *share.get_ref() <= 1.0) {
            let found = share.get_ref();
            c.say(Some(share.span()), format!("share is {found}, expected more than 0 and 1 at most"));
        }
    }
    if let Some(within) = &f.within_s {
        if !several {
            let what = format!("within_s is given, but {} strikes neither nodes nor limiters", about.name);
            c.say(Some(within.span()), what);
        } else if !(0.0..=LONGEST).contains(within.get_ref()) {
            let found = within.get_ref();
            c.say(Some(within.span()), format!("within_s is {found}, expected 0 to {LONGEST}"));
        }
    }
}

fn check_fault(c: &mut Checker, s: &Scenario, fault: &toml::Spanned<super::Fault>) {
    let f = fault.get_ref();
    let Some(kind) = Kind::named(f.what.get_ref()) else {
        let names: Vec<_> = KINDS.iter().map(|k| k.name.to_string()).collect();
        return c.one_of(f.what.span(), "what", f.what.get_ref(), &names);
    };
    let about = kind.about();
    c.range(Some(f.at_s.span()), "at_s", *f.at_s.get_ref(), 0.0, s.length_s);
    match (&f.for_s, about.lasts) {
        (Some(span), true) => c.range(Some(span.span()), "for_s", *span.get_ref(), 0.0, LONGEST),
        (None, true) => {
            c.say(Some(f.what.span()), format!("for_s is missing, expected how long {} lasts", about.name))
        }
        (Some(span), false) => {
            c.say(Some(span.span()), format!("for_s is given, but {} does not last", about.name))
        }
        (None, false) => {}
    }
    check_several(c, about, f);
    if let Some(victim) = &f.victim {
        let names = match about.victim {
            Victim::Node => [s.node_names(), s.rooms.clone()].concat(),
            Victim::Limiter => [s.limiter_names(), s.rooms.clone()].concat(),
            Victim::Room => s.rooms.clone(),
            Victim::Keeper => s.keeper_names(),
            Victim::None => Vec::new(),
        };
        if about.victim == Victim::None {
            c.say(
                Some(victim.span()),
                format!("victim is given, but {} strikes none in particular", about.name),
            );
        } else {
            c.one_of(victim.span(), "victim", victim.get_ref(), &names);
        }
    }
    if let Some(peer) = &f.peer {
        if about.peer {
            let mut names = vec!["keeper".to_string(), "list".to_string()];
            names.extend(s.authoriser.is_some().then(|| "authoriser".to_string()));
            names.extend(s.node_names());
            c.one_of(peer.span(), "peer", peer.get_ref(), &names);
        } else {
            c.say(Some(peer.span()), format!("peer is given, but {} is no fault of links", about.name));
        }
    }
    if let Some(size) = &f.size {
        match about.size {
            Some((means, _, least, most)) if !(least..=most).contains(size.get_ref()) => {
                let found = size.get_ref();
                c.say(Some(size.span()), format!("size ({means}) is {found}, expected {least} to {most}"));
            }
            Some(_) => {}
            None => c.say(Some(size.span()), format!("size is given, but {} has none", about.name)),
        }
    }
    if !(1..=1_000).contains(&f.times) {
        c.say(Some(fault.span()), format!("times is {}, expected 1 to 1000", f.times));
    }
    match &f.every_s {
        Some(every) if !(0.1..=LONGEST).contains(every.get_ref()) => {
            c.say(Some(every.span()), format!("every_s is {}, expected 0.1 to {LONGEST}", every.get_ref()));
        }
        None if f.times > 1 => {
            c.say(Some(fault.span()), "every_s is missing, expected the seconds between two".into())
        }
        _ => {}
    }
    let of_files = matches!(kind, Kind::FileDamaged | Kind::FileMissing);
    if of_files && s.list.through == super::Through::Discovery {
        let what = format!("{} without files, expected list.through = \"csv\" or \"yaml\"", about.name);
        c.say(Some(f.what.span()), what);
    }
    let of_authoriser = matches!(
        kind,
        Kind::AuthoriserSilent
            | Kind::AuthoriserSlow
            | Kind::AuthoriserRefusing
            | Kind::AuthoriserRubbish
            | Kind::AuthoriserGoaway
    );
    if of_authoriser && s.authoriser.is_none() {
        let what = format!("{} without an authoriser, expected [authoriser]", about.name);
        c.say(Some(f.what.span()), what);
    }
    if kind == Kind::ResetFlood && s.load.permissions <= 0.0 {
        let what = "reset-flood without a gRPC front, expected load.permissions above 0";
        c.say(Some(f.what.span()), what.into());
    }
    if kind == Kind::RoomCut && s.rooms.len() < 2 {
        c.say(Some(f.what.span()), "room-cut with one room, expected two at least".into());
    }
}
