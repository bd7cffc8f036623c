//! Ports for processes that are told their address before they listen at it, or that come back to it.
//!
//! They lie below those that the operating system gives to calls and to listeners on any port: between the look and the
//! listening, nobody else is given one.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

const FIRST_PORT: u16 = 16_384;
const PORTS: u16 = 16_384;
/// How far apart processes begin.
const PORTS_OF_A_PROCESS: u32 = 64;

/// An address that nobody listens at, neither for connections nor for datagrams, given to no other test: tests of one
/// process count on, processes begin apart.
pub fn free_port() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let of_this_process = std::process::id().wrapping_mul(PORTS_OF_A_PROCESS) as u16;
    for _ in 0..PORTS {
        let number = of_this_process.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let at = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + number % PORTS));
        if TcpListener::bind(at).is_ok() && UdpSocket::bind(at).is_ok() {
            return at;
        }
    }
    panic!("no port from {FIRST_PORT} on is free")
}
