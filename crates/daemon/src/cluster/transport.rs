//! The UDP socket of a member. In tests every datagram goes through a proxy that plays the links between members.

use super::ClusterError;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// An IPv4 address and a port, in network order.
const ENCODED_ADDRESS_BYTES: usize = 6;
/// The socket is bound to any port of this address where a proxy is used.
const PROXIED_BIND_ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

pub(super) struct Transport {
    socket: UdpSocket,
    /// The address by which other members know this one.
    address: SocketAddr,
    link_proxy: Option<SocketAddr>,
}

/// The address in front of a proxied datagram.
fn encode_address(address: SocketAddr) -> [u8; ENCODED_ADDRESS_BYTES] {
    let [a, b, c, d] = match address {
        SocketAddr::V4(v4) => v4.ip().octets(),
        // Members use loopback only, and tests name it by its IPv4 address.
        SocketAddr::V6(_) => [127, 0, 0, 1],
    };
    let [high, low] = address.port().to_be_bytes();
    [a, b, c, d, high, low]
}

fn decode_address(bytes: &[u8]) -> Option<(SocketAddr, &[u8])> {
    let (&[a, b, c, d, high, low], rest) = bytes.split_first_chunk::<ENCODED_ADDRESS_BYTES>()?;
    Some((SocketAddr::from(([a, b, c, d], u16::from_be_bytes([high, low]))), rest))
}

impl Transport {
    /// Opens the socket of the member with an address; port 0 takes any.
    pub async fn open(
        address: SocketAddr,
        link_proxy: Option<SocketAddr>,
    ) -> Result<Transport, ClusterError> {
        let bind_address = if link_proxy.is_some() { PROXIED_BIND_ADDRESS.into() } else { address };
        let bound = UdpSocket::bind(bind_address).await;
        let socket = bound.map_err(|source| ClusterError::Bind { address: bind_address, source })?;
        let address = match link_proxy {
            Some(_) => address,
            None => socket.local_addr().map_err(ClusterError::LocalAddress)?,
        };
        Ok(Transport { socket, address, link_proxy })
    }

    /// The address by which other members know this one.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a datagram. It is lost if the buffer is full, as the network may lose it: nothing waits for a datagram.
    pub fn send(&self, to: SocketAddr, bytes: &[u8]) {
        let _ = match self.link_proxy {
            None => self.socket.try_send_to(bytes, to),
            Some(proxy) => {
                let datagram = [&encode_address(self.address)[..], &encode_address(to), bytes].concat();
                self.socket.try_send_to(&datagram, proxy)
            }
        };
    }

    pub async fn readable(&self) -> std::io::Result<()> {
        self.socket.readable().await
    }

    /// Receives a datagram that has arrived; its length, and the address that it came from.
    pub fn try_receive(&self, buffer: &mut [u8]) -> Option<(usize, SocketAddr)> {
        self.socket.try_recv_from(buffer).ok()
    }

    /// The sender and the content of a received datagram; `None` if a proxied one is too short.
    pub fn unwrap<'a>(&self, from: SocketAddr, bytes: &'a [u8]) -> Option<(SocketAddr, &'a [u8])> {
        match self.link_proxy {
            None => Some((from, bytes)),
            Some(_) => decode_address(bytes),
        }
    }
}
