//! The real limiter behind the rogue: its process, and where it listens.

use super::Options;
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// Lines of the limiter's log, and of the shell that holds it, which say what has been started.
const PROCESS_LINE: &str = "rogue: limiter ";
const GRPC_LINE: &str = "liftrouter: gRPC on ";
const LISTENING_LINE: &str = "liftrouter: listening on ";

/// A limiter that runs. The shell that holds it ends it when this value is dropped, or this process ends in any way.
pub(super) struct LimiterProcess {
    _shell: Child,
    pid: Pid,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where it answers external authorisation, if it does.
    pub grpc: Option<SocketAddr>,
}

impl LimiterProcess {
    /// Starts the limiter on a port of its own. It is held by a shell that reads from this process: when this one ends,
    /// the shell's input does too, and it ends the limiter by its id.
    pub fn start(
        options: &Options,
        name: &str,
        grpc_listen: Option<SocketAddr>,
    ) -> Result<LimiterProcess, String> {
        let operator = operator_argument(options, name, grpc_listen)?;
        let script = format!(
            "( exec {}{operator} ) & p=$!; echo \"{PROCESS_LINE}$p\" >&2; read _; kill -9 $p 2>/dev/null",
            options.limiter
        );
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(script).env("ROUTER_LISTEN", "127.0.0.1:0");
        command.stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut shell = command.spawn().map_err(|e| format!("the limiter cannot be started: {e}"))?;
        let mut lines = BufReader::new(shell.stderr.take().ok_or("no log of the limiter")?).lines();
        let (mut pid, mut address, mut grpc) = (None, None, None);
        while pid.is_none() || address.is_none() {
            let Some(Ok(line)) = lines.next() else { return Err("the limiter ended at its start".into()) };
            if let Some(text) = line.strip_prefix(PROCESS_LINE) {
                pid = text.parse().ok().and_then(Pid::from_raw);
            } else if let Some(text) = line.strip_prefix(GRPC_LINE) {
                grpc = text.parse().ok();
            } else if let Some(text) = line.strip_prefix(LISTENING_LINE) {
                address = text.parse().ok();
            } else {
                eprintln!("{line}");
            }
        }
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(|line| eprintln!("{line}")));
        let (pid, address) = pid.zip(address).ok_or("no limiter")?;
        Ok(LimiterProcess { _shell: shell, pid, address, grpc })
    }

    /// Asks it to end.
    pub fn terminate(&self) {
        let _ = kill_process(self.pid, Signal::TERM);
    }
}

/// Where the limiter is to answer external authorisation, by its operator file.
pub(super) fn grpc_listen(options: &Options) -> Result<Option<SocketAddr>, String> {
    let Some(path) = &options.operator else { return Ok(None) };
    let text = std::fs::read_to_string(path).map_err(|e| failed(path, &e))?;
    let table: toml::Table = text.parse().map_err(|e| format!("{}: {e}", path.display()))?;
    let listen = table.get("grpc").and_then(|grpc| grpc.get("listen")).and_then(toml::Value::as_str);
    Ok(listen.and_then(|listen| listen.parse().ok()))
}

/// The argument that names the limiter's own operator file: the given one with another address for gRPC, since the rogue
/// listens on the address that it names.
fn operator_argument(options: &Options, name: &str, listen: Option<SocketAddr>) -> Result<String, String> {
    let Some(path) = &options.operator else { return Ok(String::new()) };
    let mut text = std::fs::read_to_string(path).map_err(|e| failed(path, &e))?;
    if let Some(listen) = listen {
        text = text.replace(&listen.to_string(), "127.0.0.1:0");
    }
    let own = options.wrongs.join(format!("{name}.limiter"));
    std::fs::write(&own, text).map_err(|e| failed(&own, &e))?;
    Ok(format!(" --operator '{}'", own.display()))
}

fn failed(path: &Path, error: &std::io::Error) -> String {
    format!("{}: {error}", path.display())
}
