//! Links between rooms, as proxies that can be cut.
//!
//! While a link is cut nothing passes. Its receive buffers are small, so that a long request stays in the kernel of its
//! sender, as on a real link. When the link is back, a connection from before the cut goes on, as TCP does: what its
//! sender had written comes, also if the sender has closed the connection since, but not if it has reset it. Connections
//! from during the cut are reset.

use crate::http::accept_all;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
/// Receive buffer of a link, in bytes.
const RECEIVE_BUFFER: i32 = 8 * 1024;
const CHUNK: usize = 1024;

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// The state of all links between two rooms; cheap to clone.
#[derive(Clone, Default)]
pub struct Links(Arc<(Mutex<bool>, Condvar)>);

impl Links {
    /// Cuts all links, or joins them again.
    pub fn set_cut(&self, cut: bool) {
        *self.0 .0.lock().expect("the state of the links") = cut;
        self.0 .1.notify_all();
    }

    fn is_cut(&self) -> bool {
        *self.0 .0.lock().expect("the state of the links")
    }

    fn wait_until_whole(&self) {
        let cut = self.0 .0.lock().expect("the state of the links");
        drop(self.0 .1.wait_while(cut, |cut| *cut).expect("the state of the links"));
    }

    /// Opens a link to a server, and returns the address at which the other room reaches it.
    pub fn open(&self, server: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the address of a listener");
        // SAFETY: the value outlives the call, and its length is given.
        unsafe { setsockopt(listener.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER, 4) };
        let links = self.clone();
        accept_all(listener, move |near| {
            if links.is_cut() {
                links.wait_until_whole();
                return;
            }
            let Ok(far) = TcpStream::connect(server) else { return };
            let _ = far.set_nodelay(true);
            let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else { return };
            let back = links.clone();
            thread::spawn(move || back.pass(far_copy, near_copy));
            links.pass(near, far);
        });
        address
    }

    /// Passes bytes from one side to the other until the connection ends.
    fn pass(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut chunk = [0; CHUNK];
        loop {
            self.wait_until_whole();
            let count = match from.read(&mut chunk) {
                Ok(count) => count,
                Err(_) => break,
            };
            self.wait_until_whole();
            // A sender that has reset the connection sends nothing again of what was lost.
            if !matches!(from.take_error(), Ok(None)) {
                break;
            }
            if count == 0 {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            if to.write_all(&chunk[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }
}
