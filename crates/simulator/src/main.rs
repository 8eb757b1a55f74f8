//! Adapter between the simulator and the decision module: reads batches of events from standard input,
//! passes each event to its limiter, and writes the resulting actions and one NEXT line per batch to
//! standard output. It only parses, routes and formats; all decisions are made by the module.
#![forbid(unsafe_code)]

mod line;
mod wire;

use liftrouter_decision::{Action, Event, Limiter};
use line::Line;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use wire::Message;

/// The limiters of this process by instance number. They share no state.
type Limiters = BTreeMap<u32, Limiter>;

fn main() -> ExitCode {
    match serve(io::stdin().lock(), BufWriter::with_capacity(1 << 20, io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("liftrouter-sim: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Processes the input until its end. A malformed line is an error that ends the process.
fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut limiters = Limiters::new();
    let mut line_number = 0usize;
    let mut buffer = Vec::new();
    let mut batch: Option<(f64, String)> = None;
    let mut list: Option<wire::PendingList> = None;
    loop {
        buffer.clear();
        let read = input.read_until(b'\n', &mut buffer).map_err(|e| format!("cannot read: {e}"))?;
        if read == 0 {
            return match batch {
                Some(_) => Err(format!("line {line_number}: input ended within a batch")),
                None => Ok(()),
            };
        }
        line_number += 1;
        let at_line = |error: String| format!("line {line_number}: {error}");
        let text = std::str::from_utf8(&buffer).map_err(|_| at_line("not valid UTF-8".into()))?;
        let line = Line::new(text.trim_end_matches(['\n', '\r']));
        if let Some(mut pending) = list.take() {
            pending.push(&line).map_err(at_line)?;
            list = Some(pending);
        } else {
            let Some((now, _)) = &batch else {
                if !line.is_empty() {
                    batch = Some(wire::parse_turn(&line).map_err(at_line)?);
                }
                continue;
            };
            match wire::parse_message(&line).map_err(at_line)? {
                Message::End => {
                    if let Some((_, turn)) = batch.take() {
                        writeln!(output, "NEXT {turn}").and_then(|()| output.flush()).map_err(write_error)?;
                    }
                }
                Message::Start(instance, seed, settings) => {
                    limiters.insert(instance, Limiter::new(*settings, seed, *now));
                }
                Message::Stop(instance) => {
                    limiters.remove(&instance);
                }
                Message::List(pending) => list = Some(pending),
                Message::Event(instance, event) => {
                    deliver(&mut limiters, instance, *now, event, &mut output)?;
                }
                Message::Ignored => {}
            }
        }
        if list.as_ref().is_some_and(|pending| pending.is_complete()) {
            if let (Some(pending), Some((now, _))) = (list.take(), &batch) {
                let (instance, event) = pending.into_event();
                deliver(&mut limiters, instance, *now, event, &mut output)?;
            }
        }
    }
}

/// Passes an event to its limiter and writes the actions. Events for an unknown limiter are ignored.
fn deliver(
    limiters: &mut Limiters,
    instance: u32,
    now: f64,
    event: Event,
    output: &mut impl Write,
) -> Result<(), String> {
    let Some(limiter) = limiters.get_mut(&instance) else { return Ok(()) };
    let mut actions: Vec<Action> = Vec::new();
    let result = catch_unwind(AssertUnwindSafe(|| limiter.handle(now, event, &mut actions)));
    if result.is_err() {
        return writeln!(output, "FAULT {instance} the decision module panicked").map_err(write_error);
    }
    actions.iter().try_for_each(|action| wire::write_action(output, instance, action)).map_err(write_error)
}

fn write_error(e: io::Error) -> String {
    format!("cannot write: {e}")
}
