//! Measurement of what a close proves: connections that are closed by the other side at about the time at which a request
//! is written to them, which is never read, as fast as the machine makes them.

use crate::net::close::{glance, Close};
use std::fmt::Write as _;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Connections at a time: enough that the waits for a reset keep nobody from making the next.
const AT_ONCE: usize = 512;

/// One connection: written to, and judged by its end.
async fn once(address: std::net::SocketAddr) -> io::Result<Option<Close>> {
    let mut here = TcpStream::connect(address).await?;
    let _ = here.set_nodelay(true);
    if here.write_all(b"GET /price-quote/1 HTTP/1.1\r\nhost: a\r\n\r\n").await.is_err() {
        // Never written whole: nothing to judge.
        return Ok(None);
    }
    let seen = glance(&here);
    Ok(Some(match here.read(&mut [0; 16]).await {
        Err(_) => Close::Unread,
        Ok(_) => Close::of_end(&here, seen, || true).await,
    }))
}

/// Crossings for so many seconds, as a text.
///
/// # Errors
/// No address is to be had, or connections cannot be made.
pub async fn all(seconds: f64) -> io::Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let closer = tokio::spawn(async move {
        let mut rng = fastrand::Rng::with_seed(21);
        loop {
            let Ok((stream, _)) = listener.accept().await else { return };
            let turns = rng.u32(0..2_000);
            tokio::spawn(async move {
                // Now before, now after the request comes.
                for _ in 0..turns {
                    std::hint::spin_loop();
                }
                if turns.is_multiple_of(3) {
                    tokio::task::yield_now().await;
                }
                drop(stream);
            });
        }
    });
    let counts: Arc<[AtomicU64; 4]> = Arc::default();
    let began = Instant::now();
    let end = began + Duration::from_secs_f64(seconds);
    let mut all = JoinSet::new();
    for _ in 0..AT_ONCE {
        let counts = counts.clone();
        all.spawn(async move {
            while Instant::now() < end {
                match once(address).await {
                    Ok(close) => {
                        let n = close.map_or(3, |close| close as usize);
                        counts[n].fetch_add(1, Ordering::Relaxed);
                    }
                    // Out of ports for a moment: ended connections still hold theirs.
                    Err(_) => sleep(Duration::from_millis(50)).await,
                }
            }
        });
    }
    while all.join_next().await.is_some() {}
    closer.abort();
    let count = |n: usize| counts[n].load(Ordering::Relaxed);
    let tries = (0..3).map(count).sum::<u64>();
    let mut text = format!(
        "Closes that cross a request which nobody reads: {tries} in {:.0} s, {:.0} a second\n",
        began.elapsed().as_secs_f64(),
        tries as f64 / began.elapsed().as_secs_f64()
    );
    for (what, n) in
        [("not read", Close::Unread), ("not known", Close::Unsure), ("read (wrongly)", Close::Read)]
    {
        let _ = writeln!(text, "  taken for {what:15} {}", count(n as usize));
    }
    let _ = writeln!(text, "  never written whole       {}", count(3));
    Ok(text)
}
