//! A UDP proxy between members that simulates faults of their links.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;

/// A fault of the link from one member to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkFault {
    /// Datagrams are lost.
    Cut,
    /// One of every N datagrams through the proxy is lost, if it is on this link.
    Loss(u32),
    /// Datagrams are delayed until the link recovers, then delivered all at once.
    Stall,
    /// Datagrams are delivered twice, the second time after later ones.
    Duplicate,
}

#[derive(Default)]
struct Links {
    /// The socket address of each member, by the address that other members know it by.
    sockets: BTreeMap<SocketAddr, SocketAddr>,
    /// By sender and receiver.
    faults: BTreeMap<(SocketAddr, SocketAddr), LinkFault>,
    /// Sender, receiver and content.
    delayed: Vec<(SocketAddr, SocketAddr, Vec<u8>)>,
    datagrams: u64,
}

/// Forwards the datagrams between all members and injects the faults of their links.
pub struct LinkProxy {
    pub address: SocketAddr,
    links: Arc<Mutex<Links>>,
    socket: UdpSocket,
}

fn encode_address(address: SocketAddr) -> Vec<u8> {
    let SocketAddr::V4(v4) = address else { panic!("{address}") };
    [&v4.ip().octets()[..], &address.port().to_be_bytes()].concat()
}

fn decode_address(bytes: &[u8]) -> SocketAddr {
    ([bytes[0], bytes[1], bytes[2], bytes[3]], u16::from_be_bytes([bytes[4], bytes[5]])).into()
}

impl LinkProxy {
    pub fn new() -> LinkProxy {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("bind");
        let address = socket.local_addr().expect("an address");
        let links: Arc<Mutex<Links>> = Arc::default();
        let (thread_links, receiver) = (links.clone(), socket.try_clone().expect("a second handle"));
        thread::spawn(move || {
            let mut buffer = [0; 2_000];
            while let Ok((len, socket)) = receiver.recv_from(&mut buffer) {
                if len < 12 {
                    break;
                }
                let (from, to) = (decode_address(&buffer), decode_address(&buffer[6..]));
                let mut links = thread_links.lock().expect("lock");
                links.sockets.insert(from, socket);
                links.datagrams += 1;
                let (n, bytes) = (links.datagrams, buffer[12..len].to_vec());
                match links.faults.get(&(from, to)) {
                    Some(LinkFault::Cut) => {}
                    Some(LinkFault::Loss(one_in)) if n % u64::from(*one_in) == 0 => {}
                    Some(LinkFault::Stall) => links.delayed.push((from, to, bytes)),
                    Some(LinkFault::Duplicate) => {
                        deliver(&receiver, &links, (from, to), &bytes);
                        if let Some((a, b, old)) = links.delayed.pop() {
                            deliver(&receiver, &links, (a, b), &old);
                        }
                        links.delayed.push((from, to, bytes));
                    }
                    _ => deliver(&receiver, &links, (from, to), &bytes),
                }
            }
        });
        LinkProxy { address, links, socket }
    }

    pub fn set_fault(&self, from: usize, to: usize, fault: LinkFault) {
        self.links.lock().expect("lock").faults.insert((address(from), address(to)), fault);
    }

    /// Sets the fault of the links between one member and each of the others, both ways.
    pub fn isolate_with(&self, one: usize, count: usize, fault: LinkFault) {
        for other in (0..count).filter(|other| *other != one) {
            self.set_fault(one, other, fault);
            self.set_fault(other, one, fault);
        }
    }

    /// Ends all faults; delayed datagrams are delivered at once.
    pub fn heal(&self) {
        let mut links = self.links.lock().expect("lock");
        links.faults.clear();
        for (from, to, bytes) in std::mem::take(&mut links.delayed) {
            deliver(&self.socket, &links, (from, to), &bytes);
        }
    }
}

impl Drop for LinkProxy {
    fn drop(&mut self) {
        // A datagram that is too short ends the thread.
        let _ = self.socket.send_to(&[0], self.address);
    }
}

fn deliver(socket: &UdpSocket, links: &Links, (from, to): (SocketAddr, SocketAddr), bytes: &[u8]) {
    if let Some(destination) = links.sockets.get(&to) {
        let _ = socket.send_to(&[&encode_address(from)[..], bytes].concat(), destination);
    }
}

/// The address of a member. Nothing listens there: the proxy knows its socket.
pub fn address(n: usize) -> SocketAddr {
    ([127, 0, 0, 1], 20_000 + n as u16).into()
}
