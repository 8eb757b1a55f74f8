//! The summary on the terminal.

use super::Report;
use crate::ledger::Verdict;
use crate::schedule::seconds;
use std::fmt::Write as _;

/// Breaks and doubts that are printed; the JSON has them all.
const MOST: usize = 8;
/// Events of a proof that are printed.
const PROOF: usize = 8;

/// The whole summary, with a line end at the end.
pub fn summary(r: &Report) -> String {
    let mut t = String::new();
    let j = &r.judgement;
    let (c, s) = (&j.counts, &j.service);
    let _ = writeln!(t, "{} (seed {}): {}", r.scenario, r.seed, r.about);
    for f in &r.faults {
        let lasts = f.for_s.map_or(String::new(), |s| format!(" for {s:.1} s"));
        let _ = writeln!(t, "  {:>6.1} s  {}{lasts}", f.at_s, f.label);
    }
    let _ = writeln!(
        t,
        "\nRequests {}, tries {}, attempts {} ({} resends)",
        c.requests, c.tries, c.attempts, c.resends
    );
    let _ = writeln!(
        t,
        "  served {}, refused {} (told when to come back: {}), failed {}, client left {}",
        c.served,
        c.refused + c.refused_advised,
        c.refused_advised,
        c.failed,
        c.left
    );
    let _ = writeln!(
        t,
        "  limiter not reached {}, held by a killed one {}, by a paused one {}, lost {}, open {}",
        c.unreached, c.held_by_killed, c.held_by_paused, c.lost, c.open
    );
    if c.resent + c.resent_unsure > 0 {
        let _ = writeln!(
            t,
            "  sent once more since a kept connection ended under them: {} surely not read, {} not known",
            c.resent, c.resent_unsure
        );
    }
    if c.permissions + c.questions > 0 {
        let _ = writeln!(
            t,
            "  permissions asked over gRPC {}, permitted {}; questions to the authoriser {}, denied {}",
            c.permissions, c.permitted, c.questions, c.denied
        );
    }
    let _ = writeln!(
        t,
        "  keeper calls {} ({} answered, {} in a second at most), probes {}",
        c.keeper_calls, c.keeper_answers, j.keeper_calls_peak, c.probes
    );
    let _ = writeln!(
        t,
        "\nService {:.3}: whole {:.3}, worst 10 s {:.3} (from {} s), worst plan {:.3}",
        s.figure, s.whole, s.worst_window, s.worst_window_at_s, s.worst_plan
    );
    let plans: Vec<_> = s.plans.iter().map(|(name, share)| format!("{name} {share:.3}")).collect();
    let _ = writeln!(
        t,
        "  plans: {}; {:.0} % of the worth asked lay beyond quotas",
        plans.join(", "),
        s.asked_beyond * 100.0
    );
    let p = &s.prices;
    let _ = writeln!(
        t,
        "  prices: over quota {:.3}, crossing rooms {:.3}, waste {:.3}, late failures {:.3}, keeper {:.3}, probes {:.3}",
        p.over_quota, p.cross_room, p.waste, p.late_fail, p.keeper, p.probe
    );
    for q in j.quotas.iter().filter(|q| q.customers > 0) {
        let _ = writeln!(
            t,
            "  quota {}: {:.1} units beyond it at most (stated: {:.1}); inside it {:.0} refused at most (stated: {:.0})",
            q.plan, q.over, q.over_bound, q.under, q.under_bound
        );
    }
    let _ = writeln!(
        t,
        "  served within {:.1} ms (median), {:.1} ms (99 %)",
        j.answer_p50_us as f64 / 1e3,
        j.answer_p99_us as f64 / 1e3
    );
    if let Some(a) = &j.adoption {
        let _ = writeln!(
            t,
            "  inventory files: {} versions, adopted and used within {:.0} ms (median), {:.0} ms (99 %)",
            a.versions,
            a.median_us as f64 / 1e3,
            a.p99_us as f64 / 1e3
        );
    }
    for l in &r.limiters {
        let _ = writeln!(
            t,
            "  {}: started {}, CPU {:.2} s, memory {:.1} MB, descriptors {}",
            l.name,
            times(l.starts),
            l.cpu_s,
            l.memory_kb as f64 / 1024.0,
            l.descriptors
        );
    }
    let _ = writeln!(
        t,
        "  the kit itself: CPU {:.2} s, late by {:.1} ms at the 99th percentile, {:.1} ms at most",
        r.kit_cpu_s,
        j.late_p99_us as f64 / 1e3,
        j.late_max_us as f64 / 1e3
    );
    let _ = writeln!(t);
    for (n, rule) in r.rules.iter().enumerate() {
        let broken = j.breaks.iter().filter(|b| usize::from(b.rule) == n + 1).count();
        let doubt = j.doubts.iter().filter(|d| usize::from(d.would_be.rule) == n + 1).count();
        let word = match (broken, doubt) {
            (0, 0) => "kept  ".to_string(),
            (0, d) => format!("doubt ({d})"),
            (b, _) => format!("BROKEN ({b})"),
        };
        let _ = writeln!(t, "  rule {}  {word}  {rule}", n + 1);
    }
    for b in j.breaks.iter().take(MOST) {
        let request = b.request.as_deref().map_or(String::new(), |r| format!(", request {r}"));
        let _ = writeln!(t, "\nRule {} broken at {:.3} s{request}:\n  {}", b.rule, seconds(b.at), b.what);
        for e in b.proof.iter().take(PROOF) {
            let _ = writeln!(t, "    {:>10.3} s  {:?}", seconds(e.at), e.event);
        }
    }
    if j.breaks.len() > MOST {
        let _ = writeln!(t, "\n... and {} more breaks; --json has them all", j.breaks.len() - MOST);
    }
    for d in j.doubts.iter().take(MOST) {
        let late = d.kit_late_us as f64 / 1e3;
        let _ = writeln!(
            t,
            "\nIn doubt at {:.3} s, where the kit itself was {late:.0} ms late: rule {}, {}",
            seconds(d.would_be.at),
            d.would_be.rule,
            d.would_be.what
        );
    }
    let _ = writeln!(t, "\n{}", verdict(r));
    t
}

fn times(n: usize) -> String {
    match n {
        1 => "once".into(),
        n => format!("{n} times"),
    }
}

/// The verdict in a line.
pub fn verdict(r: &Report) -> String {
    let j = &r.judgement;
    match (j.verdict, &j.unjudged) {
        (Verdict::Kept, _) => "VERDICT: all five rules kept".into(),
        (Verdict::Broken, None) => format!("VERDICT: broken, {} times", j.breaks.len()),
        (Verdict::Broken, Some(why)) => format!("VERDICT: broken, {} times (also: {why})", j.breaks.len()),
        (Verdict::Unjudged, why) => {
            format!("VERDICT: could not be judged: {}", why.as_deref().unwrap_or("no reason is known"))
        }
    }
}
