//! The stand-in keeper: adds to named numbers, a call after the other, and forgets names when their life is
//! over. It can fall silent, run slow, refuse connections, lose counts, or answer with old totals.

use super::switch::FaultSwitch;
use super::{parameter, Conn};
use crate::counts::Counts;
use crate::history::{Event, Recorder};
use crate::net::link::{serve, Link, Pipe, Reserved};
use crate::net::message::answer;
use crate::scenario;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;
use tokio::time::sleep_until;

/// Names are 1 to 64 bytes, amounts 1e9 at most.
const LONGEST_NAME: usize = 64;
const LARGEST: f64 = 1e9;

/// The keeper.
pub struct Keeper {
    recorder: Arc<Recorder>,
    counts: Mutex<Counts>,
    /// Whether it takes connections.
    open: FaultSwitch,
    /// Whether it answers nothing.
    silent: FaultSwitch,
    /// How often it was another process.
    swaps: watch::Sender<u64>,
}

impl Keeper {
    /// One that works.
    pub fn new(figures: scenario::Keeper, recorder: Arc<Recorder>) -> Arc<Keeper> {
        Arc::new(Keeper {
            counts: Mutex::new(Counts::new(&figures)),
            recorder,
            open: FaultSwitch::new(true),
            silent: FaultSwitch::new(false),
            swaps: watch::Sender::new(0),
        })
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Listens for one limiter on an address of its own.
    ///
    /// # Errors
    /// It cannot be listened on.
    pub fn serve(
        self: &Arc<Self>,
        limiter: u16,
        link: Arc<Link>,
        reserved: Reserved,
    ) -> io::Result<SocketAddr> {
        let keeper = self.clone();
        serve(reserved, link, self.open.subscribe(), move |pipe| {
            tokio::spawn(keeper.clone().connection(limiter, pipe));
        })
    }

    async fn connection(self: Arc<Self>, limiter: u16, pipe: Pipe) {
        let (mut open, mut swaps) = (self.open.subscribe(), self.swaps.subscribe());
        let mut conn = Conn::new(pipe);
        loop {
            let call = tokio::select! {
                call = conn.next() => call,
                _ = open.wait_for(|open| !*open) => return conn.pipe.reset(),
                _ = swaps.changed() => return conn.pipe.reset(),
            };
            let Some(call) = call else { return };
            let text = tokio::select! {
                text = self.take(limiter, &call.request.method, &call.request.target) => text,
                // What a caller no longer waits for is not worked on; its turn has been used.
                () = conn.pipe.ended() => return self.note(limiter, false),
                _ = open.wait_for(|open| !*open) => {
                    self.note(limiter, false);
                    return conn.pipe.reset();
                }
            };
            let written = conn.pipe.write(text.as_bytes()).await.is_ok();
            self.note(limiter, written && text.starts_with("HTTP/1.1 200"));
            if !written {
                return;
            }
        }
    }

    fn note(&self, limiter: u16, answered: bool) {
        self.recorder.note(Event::Called { limiter, answered });
    }

    /// A call gets its turn, and its answer.
    async fn take(&self, limiter: u16, method: &str, target: &str) -> String {
        let mut silent = self.silent.subscribe();
        let _ = silent.wait_for(|silent| !*silent).await;
        let path = target.split('?').next().unwrap_or_default();
        let name = path.strip_prefix("/tally/").filter(|n| (1..=LONGEST_NAME).contains(&n.len()));
        let (Some(name), "POST") = (name, method) else { return answer("404 Not Found", "", "") };
        let add = parameter(target, "n").and_then(|n| n.parse::<f64>().ok()).filter(|n| n.abs() <= LARGEST);
        let life = parameter(target, "keep_ms").and_then(|n| n.parse::<u64>().ok()).filter(|n| *n >= 1);
        let (Some(add), Some(life)) = (add, life) else { return answer("400 Bad Request", "", "") };
        let now = self.recorder.now();
        let Some((turn, done)) = self.counts().turn(now) else {
            return answer("503 Service Unavailable", "", "");
        };
        sleep_until(self.recorder.instant(turn).into()).await;
        let (now, life) = (self.recorder.now(), life.saturating_mul(1_000));
        let total = self.counts().add(limiter, now, name, add, life).to_string();
        sleep_until(self.recorder.instant(done).into()).await;
        let _ = silent.wait_for(|silent| !*silent).await;
        answer("200 OK", "", &total)
    }

    /// A fault begins: it answers nothing.
    pub fn fall_silent(&self, fault: u32) {
        self.silent.begin(fault);
    }

    /// A fault begins: it refuses connections.
    pub fn refuse(&self, fault: u32) {
        self.open.begin(fault);
    }

    /// A fault begins: calls take so many times as long.
    pub fn slow_down(&self, fault: u32, times: f64) {
        self.counts().slow_down(fault, times);
    }

    /// A fault begins: totals stay as they are now. What is added meanwhile is kept.
    pub fn freeze(&self, fault: u32) {
        self.counts().freeze(fault);
    }

    /// A fault begins: what is added is added twice.
    pub fn double(&self, fault: u32) {
        self.counts().double(fault);
    }

    /// A fault begins: these limiters reach another keeper, which begins with this share of the names.
    pub fn split(&self, fault: u32, limiters: BTreeSet<u16>, share: f64, seed: u64) {
        self.counts().split(fault, limiters, share, seed);
    }

    /// It loses this share of its names, which the seed picks.
    pub fn forget(&self, share: f64, seed: u64) {
        self.counts().forget(share, seed);
    }

    /// Another process takes its place, with this share of its names.
    pub fn swap(&self, share: f64, seed: u64) {
        self.forget(1.0 - share, seed);
        self.swaps.send_modify(|swaps| *swaps += 1);
    }

    /// What this fault did is over.
    pub fn undo(&self, fault: u32) {
        self.silent.end(fault);
        self.open.end(fault);
        self.counts().undo(fault);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::{Duration, Instant};
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpStream;
    use tokio::time::timeout;

    const LONG: Duration = Duration::from_secs(10);

    fn keeper(calls_per_s: f64) -> Arc<Keeper> {
        let figures = scenario::Keeper { calls_per_s, call_ms: 0.0, ..scenario::Keeper::default() };
        Keeper::new(figures, Arc::default())
    }

    async fn call(address: SocketAddr, target: &str) -> io::Result<(u16, String)> {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(format!("POST {target} HTTP/1.1\r\n\r\n").as_bytes()).await?;
        let mut buffer = Vec::new();
        loop {
            if let Some(a) = crate::net::message::take_answer(&mut buffer, false).expect("an answer") {
                return Ok((a.status, String::from_utf8_lossy(&a.body).into_owned()));
            }
            if stream.read_buf(&mut buffer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    #[tokio::test]
    async fn it_adds_forgets_and_knows_its_calls() {
        let k = keeper(10_000.0);
        let address = k.serve(0, Link::new(), Reserved::any().expect("an address")).expect("serve");
        assert_eq!(call(address, "/tally/a?n=2.5&keep_ms=60000").await.expect("call"), (200, "2.5".into()));
        assert_eq!(call(address, "/tally/a?n=-1&keep_ms=1").await.expect("call"), (200, "1.5".into()));
        assert_eq!(call(address, "/tally/b?n=1&keep_ms=1").await.expect("call"), (200, "1".into()));
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert_eq!(call(address, "/tally/b?n=1&keep_ms=1").await.expect("call").1, "1", "its life is over");
        for (target, status) in
            [("/tally/?n=1&keep_ms=1", 404), ("/tally/a?n=x&keep_ms=1", 400), ("/other", 404)]
        {
            assert_eq!(call(address, target).await.expect("call").0, status, "{target}");
        }
        k.freeze(1);
        assert_eq!(call(address, "/tally/a?n=10&keep_ms=1").await.expect("call").1, "1.5", "stale");
        k.undo(1);
        assert_eq!(
            call(address, "/tally/a?n=0&keep_ms=1").await.expect("call").1,
            "11.5",
            "nothing was lost"
        );
        k.forget(1.0, 7);
        assert_eq!(call(address, "/tally/a?n=0&keep_ms=1").await.expect("call").1, "0");
    }

    #[tokio::test]
    async fn a_split_keeper_has_two_sets_of_counts_which_are_added_up_when_it_is_over() {
        let k = keeper(10_000.0);
        let serve = |n| k.serve(n, Link::new(), Reserved::any().expect("an address")).expect("serve");
        let (left, right) = (serve(0), serve(1));
        let add = |at: SocketAddr, n: &'static str| async move {
            call(at, &format!("/tally/a?n={n}&keep_ms=60000")).await.expect("call").1
        };
        assert_eq!(add(left, "5").await, "5");
        k.split(1, [1].into(), 1.0, 7);
        assert_eq!((add(left, "1").await, add(right, "2").await), ("6".into(), "7".into()));
        // One that began without the counts, for the other side.
        k.split(2, [0].into(), 0.0, 7);
        assert_eq!((add(left, "4").await, add(right, "2").await), ("4".into(), "9".into()));
        k.undo(2);
        k.undo(1);
        assert_eq!((add(left, "0").await, add(right, "0").await), ("14".into(), "14".into()));
        k.double(3);
        assert_eq!(add(left, "1").await, "16");
        k.undo(3);
        // Another in its place: open connections end, and so do the names.
        let mut open = TcpStream::connect(left).await.expect("connect");
        open.write_all(b"POST /tally/a?n=1&keep_ms=60000 HTTP/1.1\r\n\r\n").await.expect("write");
        let mut buffer = [0; 256];
        assert!(open.read(&mut buffer).await.expect("an answer") > 0);
        k.swap(0.0, 7);
        let rest = async { while open.read(&mut buffer).await.is_ok_and(|n| n > 0) {} };
        timeout(LONG, rest).await.expect("the connection ends");
        assert_eq!(add(left, "1").await, "1");
    }

    #[tokio::test]
    async fn overlapping_faults_end_one_by_one() {
        let k = keeper(10_000.0);
        let address = k.serve(0, Link::new(), Reserved::any().expect("an address")).expect("serve");
        k.fall_silent(1);
        k.fall_silent(2);
        k.undo(1);
        let waiting = tokio::spawn(call(address, "/tally/a?n=1&keep_ms=60000"));
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(!waiting.is_finished(), "the second fault still holds");
        k.undo(2);
        let (status, _) = timeout(LONG, waiting).await.expect("in time").expect("no panic").expect("call");
        assert_eq!(status, 200);
        k.refuse(3);
        let refused = |e: io::Error| e.kind() == io::ErrorKind::ConnectionRefused;
        let limit = Instant::now() + LONG;
        while !call(address, "/tally/a?n=0&keep_ms=1").await.is_err_and(refused) {
            assert!(Instant::now() < limit, "it is not refused");
        }
        k.undo(3);
        while call(address, "/tally/a?n=0&keep_ms=1").await.is_err() {
            assert!(Instant::now() < limit, "it stays refused");
        }
    }
}
