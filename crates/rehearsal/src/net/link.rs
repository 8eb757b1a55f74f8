//! Links: each limiter reaches each peer through an address of its own, and what passes there can be delayed,
//! held, dropped, reset, or kept from coming up at all.
//!
//! A link is a listening address and the sockets accepted on it; the stand-in reads and writes through them.
//! Troubles carry the number of the fault that made them, so that overlapping ones are undone one by one.
//! What the limiter does to a socket is seen at once, whatever the link withholds from the stand-in: the judge
//! goes by that.

use super::end::{note_ends, ConnectionEnd};
use crate::trouble::{Born, Troubles};
pub use crate::trouble::{Effect, Trouble};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::collections::VecDeque;
use std::io;
use std::mem::MaybeUninit;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout};

/// Connections that the kernel holds until they are accepted.
const BACKLOG: i32 = 1_024;
/// Bytes read ahead of what the link lets through, for each connection.
const READ_AHEAD: usize = 1 << 20;
/// A connection on loopback that is not up by then will not come up.
const FILLED: Duration = Duration::from_millis(20);

/// A link and its troubles.
pub struct Link {
    troubles: Mutex<Troubles>,
    effect: watch::Sender<Effect>,
}

impl Default for Link {
    fn default() -> Self {
        Link { troubles: Mutex::default(), effect: watch::Sender::new(Effect::default()) }
    }
}

impl Link {
    /// A sound one.
    pub fn new() -> Arc<Link> {
        Arc::default()
    }

    /// A fault makes trouble here.
    pub fn begin(&self, fault: u32, trouble: Trouble) {
        self.change(|troubles| troubles.begin(fault, trouble));
    }

    /// The trouble that this fault made is over; that of others goes on.
    pub fn undo(&self, fault: u32) {
        self.change(|troubles| troubles.undo(fault));
    }

    fn change(&self, how: impl FnOnce(&mut Troubles)) {
        let mut troubles = self.troubles.lock().unwrap_or_else(PoisonError::into_inner);
        how(&mut troubles);
        self.effect.send_replace(troubles.effect());
    }

    /// What its troubles come to now.
    pub fn effect(&self) -> Effect {
        *self.effect.borrow()
    }
}

/// An address that refuses connections: bound, and not listened on. It stays so while a socket beside it listens, so that
/// nothing else on the machine can get it between two times.
pub struct Reserved {
    _held: Socket,
    /// The address.
    pub address: SocketAddr,
}

impl Reserved {
    /// Any free port of the loopback address.
    ///
    /// # Errors
    /// None is to be had.
    pub fn any() -> io::Result<Reserved> {
        Reserved::at((Ipv4Addr::LOCALHOST, 0).into())
    }

    /// This address.
    ///
    /// # Errors
    /// It is taken, or not an address of this machine.
    pub fn at(address: SocketAddr) -> io::Result<Reserved> {
        let held = bound(address)?;
        let address = held.local_addr()?.as_socket().ok_or_else(|| io::Error::other("no address"))?;
        Ok(Reserved { _held: held, address })
    }

    /// Begins to listen.
    ///
    /// # Errors
    /// As the system says.
    pub fn open(self, link: Arc<Link>) -> io::Result<Door> {
        let socket = bound(self.address)?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        let listener = TcpListener::from_std(socket.into())?;
        let effect = link.effect.subscribe();
        Ok(Door { address: self.address, reserved: self, listener, effect, shut: false, fillers: Vec::new() })
    }
}

fn bound(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // Several may be bound to one address as long as all say this and none listens yet (socket(7)).
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// A listening address at the end of a link.
pub struct Door {
    /// The address.
    pub address: SocketAddr,
    reserved: Reserved,
    listener: TcpListener,
    effect: watch::Receiver<Effect>,
    shut: bool,
    fillers: Vec<TcpStream>,
}

impl Door {
    /// The next connection that the link lets come up.
    ///
    /// # Errors
    /// As the system says.
    pub async fn accept(&mut self) -> io::Result<Pipe> {
        loop {
            let effect = *self.effect.borrow_and_update();
            if effect.cut != self.shut {
                self.set_shut(effect.cut).await?;
            }
            if effect.cut {
                let _ = self.effect.changed().await;
                continue;
            }
            tokio::select! {
                accepted = self.listener.accept() => {
                    let (socket, from) = accepted?;
                    if self.fillers.iter().any(|f| f.local_addr().is_ok_and(|a| a == from)) {
                        continue;
                    }
                    let pipe = Pipe::new(socket, self.effect.clone());
                    if effect.resetting {
                        pipe.reset();
                        continue;
                    }
                    return Ok(pipe);
                }
                _ = self.effect.changed() => {}
            }
        }
    }

    /// Keeps connections from coming up: with nothing accepted and the kernel's queue full, it drops what asks
    /// for one, as a machine that is cut off would.
    async fn set_shut(&mut self, shut: bool) -> io::Result<()> {
        let socket = SockRef::from(&self.listener);
        self.shut = shut;
        if !shut {
            socket.listen(BACKLOG)?;
            // What is left of those who filled the queue is known by its address when it is accepted.
            return Ok(());
        }
        self.fillers.clear();
        socket.listen(0)?;
        while let Ok(Ok(filler)) = timeout(FILLED, TcpStream::connect(self.address)).await {
            self.fillers.push(filler);
        }
        Ok(())
    }

    /// Stops listening: connections are refused from now on, and the address stays reserved.
    pub fn close(self) -> Reserved {
        self.reserved
    }
}

/// Listens on an address at the end of a link, open or closed as it is told, and hands over what comes through;
/// gives the address.
///
/// # Errors
/// It cannot be listened on.
pub fn serve(
    reserved: Reserved,
    link: Arc<Link>,
    open: watch::Receiver<bool>,
    on: impl FnMut(Pipe) + Send + 'static,
) -> io::Result<SocketAddr> {
    let door = reserved.open(link.clone())?;
    let address = door.address;
    tokio::spawn(async move { keep(door, link, open, on).await.expect("a stand-in's address") });
    Ok(address)
}

/// Keeps a door open or closed as it is told, and hands over what comes through.
///
/// # Errors
/// As the system says.
async fn keep(
    mut door: Door,
    link: Arc<Link>,
    mut open: watch::Receiver<bool>,
    mut on: impl FnMut(Pipe),
) -> io::Result<()> {
    loop {
        loop {
            tokio::select! {
                biased;
                closed = open.wait_for(|open| !*open) => {
                    if closed.is_err() {
                        return Ok(());
                    }
                    break;
                }
                accepted = door.accept() => on(accepted?),
            }
        }
        let reserved = door.close();
        if open.wait_for(|open| *open).await.is_err() {
            return Ok(());
        }
        door = reserved.open(link.clone())?;
    }
}

/// An accepted connection, as its link lets it be.
pub struct Pipe {
    socket: Arc<TcpStream>,
    effect: watch::Receiver<Effect>,
    born: Born,
    pending: VecDeque<(Instant, Vec<u8>)>,
    held: usize,
    end: Arc<ConnectionEnd>,
}

impl Pipe {
    fn new(socket: TcpStream, effect: watch::Receiver<Effect>) -> Pipe {
        let _ = socket.set_nodelay(true);
        let born = effect.borrow().born();
        let socket = Arc::new(socket);
        let end = ConnectionEnd::new(socket.clone());
        Pipe { socket, effect, born, pending: VecDeque::new(), held: 0, end }
    }

    /// The socket, for a look at whether it is still open.
    pub fn socket(&self) -> Arc<TcpStream> {
        self.socket.clone()
    }

    /// When the limiter ended it, as far as is known.
    pub fn ended_at(&self) -> Option<Instant> {
        self.end.at()
    }

    /// Resets it.
    pub fn reset(self) {
        let _ = SockRef::from(&*self.socket).set_linger(Some(Duration::ZERO));
    }

    /// Takes in what has come, whatever the link lets through.
    fn pump(&mut self) {
        let mut buffer = [0; 16 * 1024];
        while self.ended_at().is_none() && self.held < READ_AHEAD {
            match self.socket.try_read(&mut buffer) {
                Ok(0) => self.end.set(),
                Ok(n) => {
                    // What the limiter ended before it wrote these bytes has to have the earlier time.
                    note_ends();
                    self.held += n;
                    self.pending.push_back((Instant::now(), buffer[..n].to_vec()));
                    if self.effect.borrow().holds_bytes() {
                        self.end.watch();
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => self.end.set(),
            }
        }
    }

    fn broken() -> io::Error {
        io::ErrorKind::ConnectionReset.into()
    }

    /// Waits until something may have changed: bytes, the link, or the time at which bytes are due.
    async fn change(&mut self, due: Option<Instant>) {
        let more = self.ended_at().is_none() && self.held < READ_AHEAD;
        tokio::select! {
            _ = self.socket.readable(), if more => {}
            changed = self.effect.changed() => {
                if changed.is_err() {
                    // Its link is gone: nothing changes any more but bytes.
                    sleep(Duration::from_millis(50)).await;
                }
            }
            () = sleep_until(due.unwrap_or_else(Instant::now).into()), if due.is_some() => {}
        }
    }

    /// The next bytes that the link lets through, and when they came; none at the end.
    ///
    /// # Errors
    /// The link resets the connection.
    pub async fn read(&mut self) -> io::Result<Option<(Instant, Vec<u8>)>> {
        loop {
            self.pump();
            let effect = *self.effect.borrow_and_update();
            if effect.has_reset(self.born) {
                return Err(Pipe::broken());
            }
            let swallows = effect.swallows(self.born);
            let mut due = None;
            if !effect.held && !swallows {
                match self.pending.front().map(|(at, _)| *at + effect.delay) {
                    Some(at) if at <= Instant::now() => {
                        let next = self.pending.pop_front();
                        self.held -= next.as_ref().map_or(0, |(_, bytes)| bytes.len());
                        return Ok(next);
                    }
                    Some(at) => due = Some(at),
                    None if self.ended_at().is_some() => return Ok(None),
                    None => {}
                }
            }
            if swallows && self.ended_at().is_some() {
                return Ok(None);
            }
            self.change(due).await;
        }
    }

    /// Waits until the link lets bytes out that are written now; false if it loses them.
    ///
    /// # Errors
    /// The limiter ended the connection, or the link resets it.
    pub async fn passes(&mut self) -> io::Result<bool> {
        let asked = Instant::now();
        loop {
            self.pump();
            let effect = *self.effect.borrow_and_update();
            if effect.has_reset(self.born) || self.ended_at().is_some() {
                return Err(Pipe::broken());
            }
            if effect.swallows(self.born) {
                return Ok(false);
            }
            let due = asked + effect.delay;
            if !effect.held && due <= Instant::now() {
                return Ok(true);
            }
            self.change((!effect.held).then_some(due)).await;
        }
    }

    /// Writes at once, whatever the link would do.
    ///
    /// # Errors
    /// As the system says.
    pub async fn put(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut left = bytes;
        while !left.is_empty() {
            self.socket.writable().await?;
            match self.socket.try_write(left) {
                Ok(n) => left = &left[n..],
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Writes as the link lets it: late, never, or to nowhere.
    ///
    /// # Errors
    /// The limiter ended the connection, or the link resets it.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.passes().await? {
            self.put(bytes).await?;
        }
        Ok(())
    }

    /// Waits until the limiter has ended the connection or the link resets it; bytes are kept for later.
    pub async fn ended(&mut self) {
        loop {
            self.pump();
            let effect = *self.effect.borrow_and_update();
            if self.ended_at().is_some() || effect.has_reset(self.born) {
                return;
            }
            self.change(None).await;
        }
    }
}

/// Whether the other side has neither ended its sending nor reset the connection, by the kernel's word: on
/// loopback that is known here as soon as the other side's call returns, before anything that it does next.
pub fn looks_open(socket: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    match SockRef::from(socket).peek(&mut byte) {
        Ok(n) => n > 0,
        Err(e) => e.kind() == io::ErrorKind::WouldBlock,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    fn troubles() -> impl Strategy<Value = Trouble> {
        prop_oneof![
            Just(Trouble::Cut),
            Just(Trouble::Held),
            Just(Trouble::Dropping),
            (1u64..100).prop_map(|ms| Trouble::Slow(Duration::from_millis(ms))),
            Just(Trouble::Reset),
        ]
    }

    proptest! {
        #[test]
        fn undoing_one_leaves_the_others_as_if_it_had_never_been(
            all in proptest::collection::vec(troubles(), 1..6), which in 0usize..6,
        ) {
            let which = which % all.len();
            let (both, rest) = (Link::default(), Link::default());
            for (n, trouble) in all.iter().enumerate() {
                both.begin(n as u32, *trouble);
                if n != which {
                    rest.begin(n as u32, *trouble);
                }
            }
            both.undo(which as u32);
            let plain = |e: Effect| (e.cut, e.held, e.resetting, e.dropping, e.delay);
            prop_assert_eq!(plain(both.effect()), plain(rest.effect()));
        }
    }

    async fn door() -> (Arc<Link>, Door) {
        let link = Link::new();
        let door = Reserved::any().expect("an address").open(link.clone()).expect("a door");
        (link, door)
    }

    #[tokio::test]
    async fn a_cut_link_brings_no_connection_up_until_it_is_whole_again() {
        let (link, mut door) = door().await;
        let address = door.address;
        link.begin(1, Trouble::Cut);
        link.begin(2, Trouble::Cut);
        let accepting = tokio::spawn(async move {
            loop {
                let mut pipe = door.accept().await.expect("a connection");
                tokio::spawn(async move {
                    while let Ok(Some((_, bytes))) = pipe.read().await {
                        let _ = pipe.write(&bytes).await;
                    }
                });
            }
        });
        // The door needs a moment to be shut; from then on nothing comes up.
        let limit = Instant::now() + Duration::from_secs(10);
        while timeout(Duration::from_millis(150), TcpStream::connect(address)).await.is_ok() {
            assert!(Instant::now() < limit, "connections still come up");
        }
        link.undo(1);
        assert!(timeout(Duration::from_millis(150), TcpStream::connect(address)).await.is_err());
        link.undo(2);
        let mut client = timeout(Duration::from_secs(10), TcpStream::connect(address))
            .await
            .expect("in time")
            .expect("it comes up");
        client.write_all(b"hello").await.expect("write");
        let echoed = timeout(Duration::from_secs(10), client.read_exact(&mut [0; 5])).await;
        echoed.expect("in time").expect("it works again");
        accepting.abort();
    }

    #[tokio::test]
    async fn a_held_link_hides_bytes_but_not_the_end_of_the_connection() {
        let (link, mut door) = door().await;
        let mut client = TcpStream::connect(door.address).await.expect("connect");
        let mut pipe = door.accept().await.expect("accept");
        link.begin(1, Trouble::Held);
        client.write_all(b"hello").await.expect("write");
        assert!(timeout(Duration::from_millis(100), pipe.read()).await.is_err(), "nothing passes");
        assert!(looks_open(&pipe.socket));
        drop(client);
        timeout(Duration::from_secs(10), pipe.ended()).await.expect("its end is seen");
        assert!(!looks_open(&pipe.socket));
        link.undo(1);
        let (_, bytes) = pipe.read().await.expect("read").expect("bytes");
        assert_eq!(bytes, b"hello");
        assert!(pipe.read().await.expect("read").is_none());
    }

    #[tokio::test]
    async fn a_slow_link_delays_both_ways_and_a_reset_ends_what_is_open() {
        let (link, mut door) = door().await;
        let mut client = TcpStream::connect(door.address).await.expect("connect");
        let mut pipe = door.accept().await.expect("accept");
        let delay = Duration::from_millis(80);
        link.begin(1, Trouble::Slow(delay));
        client.write_all(b"ask").await.expect("write");
        let began = Instant::now();
        let (came, _) = pipe.read().await.expect("read").expect("bytes");
        assert!(came.elapsed() >= delay, "the time it came is the wire's, not the link's");
        pipe.write(b"answer").await.expect("write");
        client.read_exact(&mut [0; 6]).await.expect("read");
        assert!(began.elapsed() >= 2 * delay);
        link.begin(2, Trouble::Reset);
        assert!(pipe.read().await.is_err());
        pipe.reset();
        assert!(client.read(&mut [0]).await.is_err());
    }

    #[tokio::test]
    async fn a_connection_that_lost_bytes_never_works_again() {
        let (link, mut door) = door().await;
        let mut client = TcpStream::connect(door.address).await.expect("connect");
        let mut pipe = door.accept().await.expect("accept");
        link.begin(1, Trouble::Dropping);
        link.undo(1);
        client.write_all(b"lost").await.expect("write");
        assert!(timeout(Duration::from_millis(100), pipe.read()).await.is_err());
        pipe.write(b"lost too").await.expect("swallowed");
        let mut fresh = TcpStream::connect(door.address).await.expect("connect");
        let mut second = door.accept().await.expect("accept");
        fresh.write_all(b"kept").await.expect("write");
        assert_eq!(second.read().await.expect("read").expect("bytes").1, b"kept");
    }

    #[tokio::test]
    async fn a_closed_door_refuses_and_keeps_its_address() {
        let (link, door) = door().await;
        let address = door.address;
        let reserved = door.close();
        let refused = TcpStream::connect(address).await.expect_err("refused");
        assert_eq!(refused.kind(), io::ErrorKind::ConnectionRefused);
        let mut door = reserved.open(link).expect("open");
        let _client = TcpStream::connect(address).await.expect("connect");
        door.accept().await.expect("accept");
    }
}
