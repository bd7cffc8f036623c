//! What the operating system holds of this machine's connections (`/proc/net/tcp`).

use std::net::{Ipv4Addr, SocketAddr};

/// One end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct End {
    pub local: SocketAddr,
    pub remote: SocketAddr,
    /// Bytes that were sent and not acknowledged.
    pub sending: usize,
    /// Bytes that were received and not read.
    pub received: usize,
}

/// All ends of connections over IPv4.
pub fn ends() -> Vec<End> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of connections");
    table.lines().skip(1).map(|line| end(line).expect("a line of the table")).collect()
}

/// Reads a line: number, both addresses, state, both queues, and more.
fn end(line: &str) -> Option<End> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let [_, local, remote, _, queues, ..] = fields[..] else { return None };
    let (sending, received) = queues.split_once(':')?;
    let bytes = |hex| usize::from_str_radix(hex, 16).ok();
    Some(End {
        local: address(local)?,
        remote: address(remote)?,
        sending: bytes(sending)?,
        received: bytes(received)?,
    })
}

/// Reads an address: in the machine's order of bytes, and the port.
fn address(text: &str) -> Option<SocketAddr> {
    let (address, port) = text.split_once(':')?;
    let address = Ipv4Addr::from(u32::from_str_radix(address, 16).ok()?.to_ne_bytes());
    Some(SocketAddr::from((address, u16::from_str_radix(port, 16).ok()?)))
}
