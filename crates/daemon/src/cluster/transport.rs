//! The UDP socket of a member. In tests every datagram goes through a proxy that simulates link faults.

use super::ClusterError;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// Length of an IPv4 address and a port, in network byte order.
const ENCODED_ADDRESS_BYTES: usize = 6;
/// Where the socket is bound if a proxy is used; the system chooses the port.
const PROXIED_BIND_ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

pub(super) struct Transport {
    socket: UdpSocket,
    /// The address by which other members know this one.
    address: SocketAddr,
    link_proxy: Option<SocketAddr>,
}

/// Encodes an address for the prefix of a proxied datagram.
fn encode_address(address: SocketAddr) -> [u8; ENCODED_ADDRESS_BYTES] {
    let [a, b, c, d] = match address {
        SocketAddr::V4(v4) => v4.ip().octets(),
        // Members listen on loopback only, and tests use its IPv4 address.
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
    /// Opens the socket of the member with this address. For port 0 the system chooses a port.
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

    /// Sends a datagram without waiting. If the send buffer is full, the datagram is dropped: the protocol tolerates loss.
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

    /// Receives a datagram if one has arrived. Returns its length and the address that it came from.
    pub fn try_receive(&self, buffer: &mut [u8]) -> Option<(usize, SocketAddr)> {
        self.socket.try_recv_from(buffer).ok()
    }

    /// The sender and the content of a received datagram; `None` if a proxied one is too short.
    pub fn decode_received<'a>(&self, from: SocketAddr, bytes: &'a [u8]) -> Option<(SocketAddr, &'a [u8])> {
        match self.link_proxy {
            None => Some((from, bytes)),
            Some(_) => decode_address(bytes),
        }
    }
}
