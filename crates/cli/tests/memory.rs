//! The memory of the program under clients that send more, or hold more, than usual ones.

mod platform;

use micadyke_isup::{Message, code, kind};
use micadyke_standin::platform::Treat;
use micadyke_standin::platform_net::{Bus, Listening, Scene};
use platform::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// The memory limit in the configuration of the tests.
const LIMIT_KB: u64 = 32 << 10;
/// Nearly the viewers' half of 256 descriptors.
const CLIENTS: u64 = 120;
/// The time within which the classes of the settings want their answers.
const WANTED_WITHIN: Duration = Duration::from_secs(1);
/// Bytes of a large description.
const LARGE: usize = 15_000;

/// A node at a server that accepts connections and answers nothing, which may have many set-ups open.
struct Site {
    node: Running,
    _bus: Rc<Bus>,
    _server: Rc<Listening>,
}

impl Site {
    async fn new(name: &str) -> Self {
        let server = server(&Scene::default(), "a", 60_000).await;
        server.server.borrow_mut().usual = Treat::Silent;
        let rows = format!(
            r#"{{"id":"a","addr":"{}","zone":"z","kind":"k","cell":0,"state":"up","weight":1,"started_ms":0}}"#,
            server.addr
        );
        let bus = Bus::start(vec![(true, rows.clone())]).await.expect("a bus");
        let settings = vec![
            ("\"max_streams\":8", "\"max_streams\":4000"),
            ("\"places_by_kind\":[400]", "\"places_by_kind\":[40000]"),
            ("\"kb_per_weight\":100000.0", "\"kb_per_weight\":100000000.0"),
        ];
        let under = Under { settings, ..Under::default() };
        let name = format!("memory-{name}");
        let node = start_under(&name, free_port(), bus.addr, &rows, None, None, &under);
        let mut viewer = Viewer::connect(node.listen).await;
        assert_eq!(viewer.test().await, Some(1));
        Site { node, _bus: bus, _server: server }
    }

    /// The most memory that the process has had, in KB.
    fn peak_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.node.child.id());
        let status = std::fs::read_to_string(path).expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("its peak is told");
        line.trim().trim_end_matches("kB").trim().parse().expect("a number")
    }

    fn stays_within_its_limit(&self, what: &str) {
        let peak = self.peak_kb();
        println!("{what}: {peak} KB at the most");
        assert!(peak < LIMIT_KB, "{what}: {peak} KB, {LIMIT_KB} are allowed");
    }
}

/// Connects and writes as much of these bytes as is read within a time, then keeps the connection.
async fn write_for(to: SocketAddr, bytes: Vec<u8>, span: Duration) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(to).await.ok()?;
    let _ = timeout(span, stream.write_all(&bytes)).await;
    Some(stream)
}

fn large_set_up(id: u64) -> Vec<u8> {
    let mut message = set_up(id, "free");
    message.parameters.retain(|p| p.0 != code::DESCRIPTION);
    message.with(code::DESCRIPTION, vec![b'd'; LARGE]).encode().expect("it fits")
}

/// Picture (a) of issue 65: clients connected at once sent large set-ups, which were all held until their time was up.
#[test]
fn large_set_ups_of_many_clients_at_once_are_held_within_the_memory_limit() {
    on_one_thread(async {
        let site = Site::new("large").await;
        let all = |client: u64| (0..64).flat_map(|n| large_set_up(1000 + 100 * client + n)).collect();
        let to = site.node.listen;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| tokio::task::spawn_local(write_for(to, all(client), Duration::from_secs(2))))
            .collect();
        for client in clients {
            client.await.expect("it ends");
        }
        site.stays_within_its_limit("large set-ups");
    });
}

/// Picture (a) of issue 65: clients that write slowly, stop half way through a large message, or send very many short parameters.
#[test]
fn messages_in_part_and_in_many_short_parameters_are_held_within_the_memory_limit() {
    on_one_thread(async {
        let site = Site::new("parts").await;
        let large = large_set_up(1);
        let mut short = Message::new(kind::SETUP, 2).encode().expect("it fits");
        let parameters = (0..5000u32).flat_map(|n| [n as u8, 0, 0]);
        short.extend(parameters);
        let length = (short.len() - 2) as u16;
        short[..2].copy_from_slice(&length.to_be_bytes());
        let mut clients = Vec::new();
        for n in 0..CLIENTS as usize {
            let message = if n % 2 == 0 { &large } else { &short };
            let stream =
                write_for(site.node.listen, message[..message.len() / 2].to_vec(), Duration::from_secs(1));
            clients.push((stream.await.expect("accepted"), message[message.len() / 2..].to_vec()));
        }
        let until = Instant::now() + Duration::from_secs(1);
        while Instant::now() < until {
            for (stream, rest) in &mut clients {
                let part: Vec<u8> = rest.drain(..rest.len().min(100)).collect();
                let _ = stream.write_all(&part).await;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        site.stays_within_its_limit("messages in part");
    });
}

/// Picture (b) of issue 65: one client handed sessions over under ever new ids, each of which was held for good; and it sent small
/// sound and unsound requests at full speed. Others had their answers meanwhile.
#[test]
fn ever_new_ids_of_one_client_at_full_speed_leave_memory_and_others_their_answers() {
    const MESSAGES: u64 = 60_000;
    on_one_thread(async {
        for flood in ["hand-overs", "set-ups", "unsound"] {
            let site = Site::new(&format!("ids-{flood}")).await;
            let to = site.node.listen;
            let flooding = std::thread::spawn(move || flood_with_new_ids(to, flood, MESSAGES));
            let mut slowest = Duration::ZERO;
            while !flooding.is_finished() {
                let begin = Instant::now();
                let mut viewer = Viewer::connect(to).await;
                assert_eq!(viewer.test().await, Some(1), "{flood}");
                slowest = slowest.max(begin.elapsed());
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            flooding.join().expect("it ended");
            println!("{flood}: others waited {slowest:?} at the most");
            assert!(slowest < WANTED_WITHIN, "{flood}: {slowest:?}");
            site.stays_within_its_limit(flood);
        }
    });
}

/// Sends so many messages under ever new ids as fast as they are read, and reads what it is sent.
fn flood_with_new_ids(to: SocketAddr, what: &str, messages: u64) {
    use std::io::{Read, Write};
    let (mut sent, mut read) = (0, vec![0; 64 << 10]);
    while sent < messages {
        let Ok(mut stream) = std::net::TcpStream::connect(to) else { continue };
        let _ = stream.set_nonblocking(true);
        'connection: while sent < messages {
            let first = 1_000_000 + sent;
            let bytes: Vec<u8> = (first..first + 50).flat_map(|id| flood_message(what, id)).collect();
            let mut rest = &bytes[..];
            while !rest.is_empty() {
                match stream.write(rest) {
                    Ok(n) => rest = &rest[n..],
                    Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => std::thread::yield_now(),
                    Err(_) => break 'connection,
                }
                match stream.read(&mut read) {
                    Ok(0) => break 'connection,
                    Err(e) if e.kind() != std::io::ErrorKind::WouldBlock => break 'connection,
                    _ => {}
                }
            }
            sent += 50;
        }
    }
}

fn flood_message(what: &str, id: u64) -> Vec<u8> {
    let mut message = set_up(id, "free");
    match what {
        "hand-overs" => {
            message.parameters.retain(|p| p.0 != code::FIGURES);
            message = message.with(code::FIGURES, format!("home:0;copies:1;top:2;viewer:{id:016x};at:a"));
        }
        "unsound" => message.parameters.retain(|p| p.0 != code::TITLE),
        _ => {}
    }
    message.encode().expect("it fits")
}
