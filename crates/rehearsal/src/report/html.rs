//! One HTML page that needs nothing else: the course of a rehearsal with its faults drawn over it.

use super::text::verdict;
use super::Report;
use crate::ledger::Verdict;
use crate::schedule::seconds;
use std::fmt::Write as _;

const WIDTH: f64 = 1_080.0;
const LEFT: f64 = 56.0;
const RIGHT: f64 = 20.0;
const COLORS: [&str; 8] =
    ["#1b6ca8", "#d1495b", "#edae49", "#66a182", "#7d5ba6", "#5c6b73", "#c97b36", "#2e4057"];
/// Breaks that the page lists.
const MOST: usize = 50;

struct Line<'a> {
    name: &'a str,
    color: &'a str,
    /// Time in seconds and value.
    points: Vec<(f64, f64)>,
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// A round number that is at least this.
fn round_up(most: f64) -> f64 {
    let most = most.max(1e-9);
    let unit = 10f64.powf(most.log10().floor());
    [1.0, 2.0, 2.5, 5.0, 10.0].iter().map(|n| n * unit).find(|n| *n >= most * 0.999).unwrap_or(most)
}

fn x(at: f64, length: f64) -> f64 {
    LEFT + (WIDTH - LEFT - RIGHT) * (at / length).clamp(0.0, 1.0)
}

fn number(n: f64) -> String {
    match n {
        n if n >= 100.0 || n.fract() == 0.0 => format!("{n:.0}"),
        n if n < 0.1 => format!("{n:.3}"),
        n => format!("{n:.2}"),
    }
}

/// A chart of lines over the time of the rehearsal, with its faults behind them.
fn chart(r: &Report, title: &str, unit: &str, lines: &[Line], top: Option<f64>, height: f64) -> String {
    let length = r.length_s.max(1.0);
    let most = lines.iter().flat_map(|l| &l.points).map(|(_, v)| *v).fold(0.0, f64::max);
    let most = top.unwrap_or_else(|| round_up(most));
    let (upper, lower) = (8.0, height - 22.0);
    let y = |v: f64| lower - (lower - upper) * (v / most).clamp(0.0, 1.0);
    let mut t = format!("<h2>{}</h2><p class=key>", escape(title));
    for l in lines {
        let _ = write!(t, "<span><i style=\"background:{}\"></i>{}</span> ", l.color, escape(l.name));
    }
    let _ = write!(t, "</p><svg viewBox=\"0 0 {WIDTH} {height}\" role=img aria-label=\"{}\">", escape(title));
    for f in &r.faults {
        let from = x(f.at_s, length);
        let to = f.for_s.map_or(from + 1.5, |s| x(f.at_s + s, length).max(from + 1.5));
        let _ = write!(
            t,
            "<rect x=\"{from:.1}\" y=\"{upper}\" width=\"{:.1}\" height=\"{:.1}\" class=fault><title>{}</title></rect>",
            to - from,
            lower - upper,
            escape(&f.label)
        );
    }
    for n in 0..=4 {
        let v = most * f64::from(n) / 4.0;
        let (at, label) = (y(v), number(v));
        let _ = write!(t, "<path d=\"M{LEFT} {at:.1}H{:.1}\" class=grid /><text x=\"{}\" y=\"{:.1}\" class=left>{label}{}</text>", WIDTH - RIGHT, LEFT - 6.0, at + 4.0, if n == 4 { unit } else { "" });
    }
    let step = round_up(length / 12.0);
    let mut at = 0.0;
    while at <= length + 1e-9 {
        let _ = write!(
            t,
            "<text x=\"{:.1}\" y=\"{:.1}\" class=below>{} s</text>",
            x(at, length),
            height - 6.0,
            number(at)
        );
        at += step;
    }
    for l in lines {
        let mut path = String::new();
        for (n, (at, v)) in l.points.iter().enumerate() {
            let _ = write!(path, "{}{:.1} {:.1}", if n == 0 { "M" } else { "L" }, x(*at, length), y(*v));
        }
        let _ = write!(t, "<path d=\"{path}\" fill=none stroke=\"{}\" stroke-width=1.6 />", l.color);
    }
    t.push_str("</svg>");
    t
}

/// The faults one below the other, with their names.
fn fault_rows(r: &Report) -> String {
    const ROW: f64 = 17.0;
    if r.faults.is_empty() {
        return String::new();
    }
    let length = r.length_s.max(1.0);
    // Each takes the first row in which it, with its name, meets none before it.
    let mut rows: Vec<f64> = Vec::new();
    let mut t = String::new();
    for f in &r.faults {
        let from = x(f.at_s, length);
        let to = f.for_s.map_or(from + 3.0, |s| x(f.at_s + s, length).max(from + 3.0));
        let name_from = if from > WIDTH * 0.75 { from - 6.0 * f.label.len() as f64 - 6.0 } else { from };
        let until = if from > WIDTH * 0.75 { to } else { to.max(from) + 6.4 * f.label.len() as f64 + 8.0 };
        let row = rows.iter().position(|end| *end <= name_from).unwrap_or_else(|| {
            rows.push(0.0);
            rows.len() - 1
        });
        rows[row] = until;
        let top = row as f64 * ROW;
        let _ = write!(
            t,
            "<rect x=\"{from:.1}\" y=\"{:.1}\" width=\"{:.1}\" height=11 class=bar />",
            top + 2.0,
            to - from
        );
        let (at, anchor) = if from > WIDTH * 0.75 { (from - 4.0, "end") } else { (to + 4.0, "start") };
        let _ = write!(
            t,
            "<text x=\"{at:.1}\" y=\"{:.1}\" text-anchor={anchor}>{}</text>",
            top + 11.5,
            escape(&f.label)
        );
    }
    let height = rows.len() as f64 * ROW + 4.0;
    format!(
        "<h2>What went wrong</h2><svg viewBox=\"0 0 {WIDTH} {height}\" role=img aria-label=faults>{t}</svg>"
    )
}

fn per_second(r: &Report, of: impl Fn(&crate::ledger::Second) -> f64) -> Vec<(f64, f64)> {
    r.judgement.seconds.iter().enumerate().map(|(n, s)| (n as f64 + 0.5, of(s))).collect()
}

/// Service over windows of so many seconds, which one second alone is too short for.
fn service(r: &Report, window: usize) -> Vec<(f64, f64)> {
    let all = &r.judgement.seconds;
    let share = |w: &[crate::ledger::Second]| {
        let asked: f64 = w.iter().map(|s| s.asked).sum();
        let answered: f64 = w.iter().map(|s| s.answered).sum();
        if asked > 0.0 {
            (answered / asked).min(1.0)
        } else {
            1.0
        }
    };
    let half = window / 2;
    (0..all.len())
        .map(|n| (n as f64 + 0.5, share(&all[n.saturating_sub(half)..(n + half + 1).min(all.len())])))
        .collect()
}

/// The page.
pub fn page(r: &Report) -> String {
    let j = &r.judgement;
    let (c, s) = (&j.counts, &j.service);
    let tone = match j.verdict {
        Verdict::Kept => "kept",
        Verdict::Broken => "broken",
        Verdict::Unjudged => "unjudged",
    };
    let line = |name: &'static str, color: usize, points| Line { name, color: COLORS[color], points };
    let mut t = format!(
        "<!doctype html><html lang=en><meta charset=utf-8><meta name=viewport content=\"width=device-width\">\
         <title>Rehearsal {0}</title><style>{STYLE}</style><h1>Rehearsal <b>{0}</b>, seed {1}</h1><p>{2}</p>\
         <p class=\"verdict {tone}\">{3}</p>",
        escape(&r.scenario),
        r.seed,
        escape(&r.about),
        escape(&verdict(r))
    );
    let _ = write!(
        t,
        "<div class=figures><div><b>{:.3}</b>service</div><div><b>{:.3}</b>whole</div><div><b>{:.3}</b>worst 10 s, \
         from {} s</div><div><b>{:.3}</b>worst plan</div><div><b>{}</b>requests</div><div><b>{}</b>served</div>\
         <div><b>{}</b>refused</div><div><b>{}</b>failed</div><div><b>{}</b>held by killed or paused</div>\
         <div><b>{}</b>lost</div><div><b>{}</b>sent again, surely not read</div><div><b>{}</b>sent again, not known \
         whether read</div></div>",
        s.figure,
        s.whole,
        s.worst_window,
        s.worst_window_at_s,
        s.worst_plan,
        c.requests,
        c.served,
        c.refused + c.refused_advised,
        c.failed,
        c.held_by_killed + c.held_by_paused,
        c.lost,
        c.resent,
        c.resent_unsure
    );
    t.push_str(&fault_rows(r));
    let lines = [line("answered in time, over 5 s", 0, service(r, 5))];
    t.push_str(&chart(
        r,
        "Service: worth answered in time over worth asked inside quotas",
        "",
        &lines,
        Some(1.0),
        190.0,
    ));
    let lines = [
        line("tries", 5, per_second(r, |s| f64::from(s.tries))),
        line("served", 0, per_second(r, |s| f64::from(s.served))),
        line("attempts at nodes", 3, per_second(r, |s| f64::from(s.attempts))),
    ];
    t.push_str(&chart(r, "Tries and attempts a second", "/s", &lines, None, 190.0));
    let lines = [
        line("refused, told when to come back", 2, per_second(r, |s| f64::from(s.refused_advised))),
        line("refused without advice", 6, per_second(r, |s| f64::from(s.refused))),
        line("failed", 1, per_second(r, |s| f64::from(s.failed))),
        line("limiter not reached, or killed or paused", 4, per_second(r, |s| f64::from(s.not_answered))),
    ];
    t.push_str(&chart(r, "Not served, by reason, a second", "/s", &lines, None, 190.0));
    let lines = [line("calls", 7, per_second(r, |s| f64::from(s.keeper_calls)))];
    t.push_str(&chart(r, "Keeper calls a second", "/s", &lines, None, 140.0));
    let of_limiters = |of: fn(&super::Sample) -> f64| -> Vec<Line> {
        let limiters = r.limiters.iter().enumerate();
        limiters
            .map(|(n, l)| Line {
                name: &l.name,
                color: COLORS[n % COLORS.len()],
                points: l.samples.iter().map(|s| (s.at_s, of(s))).collect(),
            })
            .collect()
    };
    t.push_str(&chart(r, "CPU of each limiter, in cores", "", &of_limiters(|s| s.cores), None, 150.0));
    t.push_str(&chart(
        r,
        "Memory of each limiter",
        " MB",
        &of_limiters(|s| s.memory_kb as f64 / 1024.0),
        None,
        150.0,
    ));
    let lines = [line("most in each second", 5, per_second(r, |s| s.kit_late_us as f64 / 1e3))];
    t.push_str(&chart(r, "Lateness of the kit itself", " ms", &lines, None, 120.0));
    t.push_str("<h2>The five rules</h2><table>");
    for (n, rule) in r.rules.iter().enumerate() {
        let breaks = j.breaks.iter().filter(|b| usize::from(b.rule) == n + 1).count();
        let (class, word) =
            if breaks > 0 { ("broken", format!("broken {breaks} times")) } else { ("kept", "kept".into()) };
        let _ = write!(t, "<tr><td>{}<td>{}<td class={class}>{word}", n + 1, escape(rule));
    }
    t.push_str("</table>");
    if !j.breaks.is_empty() {
        t.push_str("<h2>Breaks, with their proof</h2>");
    }
    for b in j.breaks.iter().take(MOST) {
        let request = b.request.as_deref().unwrap_or("none in particular");
        let _ = write!(
            t,
            "<details><summary>Rule {} at {:.3} s: {}</summary><p>Request {}</p><pre>",
            b.rule,
            seconds(b.at),
            escape(&b.what),
            escape(request)
        );
        for e in &b.proof {
            let _ = writeln!(t, "{:>10.3} s  {}", seconds(e.at), escape(&format!("{:?}", e.event)));
        }
        t.push_str("</pre></details>");
    }
    let _ = write!(t, "<p class=small>Limiters started by <code>{}</code>.</p></html>", escape(&r.command));
    t
}

const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;max-width:1100px;margin:24px auto;padding:0 16px;\
color:#22313a;background:#fff}h1{font-weight:400;font-size:26px;margin:0}h2{font-size:16px;margin:26px 0 2px}\
.verdict{padding:10px 14px;border-radius:6px;font-weight:600}.verdict.kept{background:#dff2e5;color:#14532d}\
.verdict.broken{background:#fbdfe2;color:#7f1d1d}.verdict.unjudged{background:#fdf0d0;color:#713f12}\
.figures{display:flex;flex-wrap:wrap;gap:10px}.figures div{background:#f3f6f8;border-radius:6px;padding:8px 14px;\
font-size:13px}.figures b{display:block;font-size:20px}svg{width:100%;height:auto;display:block}\
svg text{font:11px system-ui,sans-serif;fill:#51616b}.left{text-anchor:end}.below{text-anchor:middle}\
.grid{stroke:#e3e9ed;stroke-width:1}.fault{fill:#d1495b;opacity:.11}.bar{fill:#d1495b;opacity:.75}\
.key{margin:0 0 2px;font-size:13px;color:#51616b}.key span{margin-right:14px}.key i{display:inline-block;\
width:11px;height:11px;border-radius:2px;margin-right:5px}table{border-collapse:collapse}td{padding:4px 12px 4px 0}\
td.kept{color:#14743b}td.broken{color:#b01030;font-weight:600}pre{overflow-x:auto;font-size:12px;background:#f3f6f8;\
padding:8px}.small{color:#51616b;font-size:13px;margin-top:24px}";
