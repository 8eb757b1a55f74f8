//! Runs the adapter as a process and checks the lines that it writes.
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_liftrouter-sim"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("start");
    // The write fails if the process exits at a malformed line before it has read all input.
    let _ = child.stdin.take().expect("stdin").write_all(input.as_bytes());
    child.wait_with_output().expect("run")
}

const CONFIG: &str = r#"{"me":0,"peers-total":2,"zone":"a","period-s":0.002,"new-key":[1],"discovery":"on_request",
"classes":[{"name":"read","aim-s":1.0,"deadline-s":4.0,"effect":"read_like","group":"all","worth":1.0}],
"tariffs":[{"name":"plain","rate":10.0,"depth":20.0,"pays":1.0}],
"family-info":{"has-counter":true,"count-limit-s":0.05},"limits":{"max-attempts":3,"cancel":true,"retry-after":true,
"max-retry-after-s":2.0},"invariants":{"ramp-time-s":10.0,"start-capacity":0.2,"fall-multiple":3.0,"overload-for-s":2.0}}"#;

fn start() -> String {
    let config = CONFIG.replace('\n', "");
    format!("TURN 10 1\nPROVISION 0 7 {config}\nREGISTRY 0 stale_copy 1 1\nITEM s:1 a std 0 in_service 1 -\nOVER_TO_YOU\n")
}

fn stdout(out: &Output) -> String {
    String::from_utf8_lossy(&out.stdout).into_owned()
}

#[test]
fn a_request_is_sent_counted_and_finished() {
    let out = run(&(start()
        + "TURN 10.5 2\nSUBMIT 0 5 0 0 14.5 2 1 0 plain read key:a extra\nOVER_TO_YOU\n"
        + "TURN 10.6 3\nALARM 0 0\nENDED 0 5 0 0 1 s:1 0.1 100 - rif:3,busy:0.5\nOVER_TO_YOU\n"));
    let text = stdout(&out);
    assert!(out.status.success(), "{text}");
    assert!(text.contains("FOLLOW 0 1\n"), "{text}");
    assert!(text.contains("ASSIGN 0 5 0 s:1\n"), "{text}");
    // A new limiter calls the counter for half of the requests, and each call counts for two.
    assert!(!text.contains("INCR 0 ") || text.contains(" 2 40\n"), "{text}");
    assert!(text.contains("DEFER 0 "), "{text}");
    assert!(text.ends_with("NEXT 3\n"), "{text}");
}

#[test]
fn every_other_event_is_accepted() {
    let out = run(&(start()
        + "TURN 11 2\nFIRST 0 5 0 s:1 0.1\nCLIENT_GONE 0 5\nTOTAL 0 3 100 0.002 x\nTOTAL 0 - 303 0.05 x\n"
        + "HEALTH_RESULT 0 s:1 0.001 100 busy:0.5\nINBOX 0 1 68\nALARM 0 someones\nNEW_KIND 0 1 2 3\n"
        + "REGISTRY 0 broken 2 0\nREGISTRY 0 patch 3 2\nITEM s:1 a std 0 terminating 1 -\nITEM s:2 b std 1 terminated 1 4\n"
        + "DESTROY 0\nSUBMIT 0 6 0 0 14.5 2 1 0 plain read key:a\nOVER_TO_YOU\nTURN 12 3\nOVER_TO_YOU\n"));
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    assert!(stdout(&out).ends_with("NEXT 2\nNEXT 3\n"), "{}", stdout(&out));
}

#[test]
fn rejections_and_failures_are_written() {
    let drained = "REGISTRY 0 patch 2 1\nITEM s:1 a std 0 terminating 1 -\n";
    let out = run(&(start()
        + "TURN 11 2\n"
        + drained
        + "SUBMIT 0 5 0 0 14.5 2 1 0 plain read key:a\nOVER_TO_YOU\n"));
    assert!(stdout(&out).contains("SAY_NO 0 5 0.2\n"), "{}", stdout(&out));
    let late = "TURN 11 2\nSUBMIT 0 5 0 0 14.5 2 1 0 plain read key:a\nOVER_TO_YOU\nTURN 14.5 3\nALARM 0 21\nOVER_TO_YOU\n";
    let out = run(&(start() + late));
    assert!(stdout(&out).contains("END_FAILED 0 5\nSTOP_ATTEMPT 0 5 0\n"), "{}", stdout(&out));
}

#[test]
fn malformed_input_ends_with_a_message_and_a_failure() {
    for (lines, expected) in [
        ("HELLO\n", "expected TURN"),
        ("TURN x 1\n", "clock"),
        ("TURN 1 1\nSUBMIT 0 5 0 0 soon 2 1 0 plain read key:a\n", "due-s"),
        ("TURN 1 1\nSUBMIT 0 5\n", "missing"),
        ("TURN 1 1\nENDED 0 5 0 0 1 s:1 0.1 999 - -\n", "code"),
        ("TURN 1 1\nPROVISION 0 7 {\"me\":\n", "config"),
        ("TURN 1 1\nREGISTRY 0 whole 1 2\nOVER_TO_YOU\n", "ITEM"),
        ("TURN 1 1\n", "ended within a batch"),
    ] {
        let out = run(lines);
        let message = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success(), "{lines}");
        assert!(message.contains(expected) && message.contains("line "), "{lines}: {message}");
        assert!(!message.contains("panicked"), "{message}");
    }
}

#[test]
fn end_of_input_between_batches_is_success() {
    assert!(run("").status.success());
    assert!(run(&start()).status.success());
}
