//! `micadyke node` as the platform starts it, between stand-in servers, a bus and viewers on loopback.
#![allow(dead_code)]

pub mod bus;
pub mod commanded;
pub mod connections;
pub mod counts;
pub mod held;
pub mod ports;

use micadyke_isup::{Frame, Message, Parser, code, kind};
use micadyke_standin::platform::{MediaServer, Seen, Treat};
use micadyke_standin::platform_net::{Listening, Scene};
pub use ports::free_port;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

pub const BINARY: &str = env!("CARGO_BIN_EXE_micadyke");
pub const SETTINGS: &str = include_str!("../../../../fixtures/node/settings.json");
pub const MS: u64 = 1_000_000;

pub struct Running {
    pub child: Child,
    pub config: PathBuf,
    pub listen: SocketAddr,
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        for with in ["json", "sexp", "key"] {
            let _ = std::fs::remove_file(self.config.with_extension(with));
        }
    }
}

pub fn row(server: &Listening, id: &str, state: &str) -> String {
    let addr = server.addr;
    format!(
        r#"{{"id":"{id}","addr":"{addr}","zone":"z","kind":"k","cell":0,"state":"{state}","weight":1,"started_ms":0}}"#
    )
}

pub fn write_config(path: &std::path::Path, listen: SocketAddr, bus: SocketAddr, rows: &str) {
    let text = format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":32,"sockets":256}},"bus":"{bus}","known":{{"offset":1,"batch":[{{"offset":1,"topology":{{"version":1,"full":true,"servers":[{rows}]}}}}]}},"settings":{SETTINGS}}}"#
    );
    std::fs::write(path, text).expect("written");
}

pub fn start(name: &str, listen: SocketAddr, bus: SocketAddr, rows: &str) -> Running {
    start_with(name, listen, bus, rows, None)
}

pub fn start_with(
    name: &str, listen: SocketAddr, bus: SocketAddr, rows: &str, membership: Option<&str>,
) -> Running {
    start_and_keep(name, listen, bus, rows, membership, None)
}

/// With a store too.
pub fn start_and_keep(
    name: &str, listen: SocketAddr, bus: SocketAddr, rows: &str, membership: Option<&str>,
    store: Option<&Path>,
) -> Running {
    start_under(name, listen, bus, rows, membership, store, &Under::default())
}

/// What a node is started under.
#[derive(Debug, Default, Clone)]
pub struct Under {
    /// Seconds that its clock stands beside the machine's.
    pub clock: i64,
    /// Its disk is full: no file gets longer than so many blocks of 512 bytes.
    pub blocks: Option<u32>,
    /// Its log is added to this file.
    pub log: Option<PathBuf>,
    /// What its settings say in place of the usual: each text, and the one that stands for it.
    pub settings: Vec<(&'static str, &'static str)>,
}

/// Under conditions of the test's choice.
pub fn start_under(
    name: &str, listen: SocketAddr, bus: SocketAddr, rows: &str, membership: Option<&str>,
    store: Option<&Path>, under: &Under,
) -> Running {
    let config = std::env::temp_dir().join(format!("micadyke-node-{name}-{}.json", std::process::id()));
    write_config(&config, listen, bus, rows);
    if !under.settings.is_empty() {
        let text = std::fs::read_to_string(&config).expect("it was written");
        let text = under.settings.iter().fold(text, |text, (from, to)| text.replace(from, to));
        std::fs::write(&config, text).expect("written");
    }
    let membership = membership.map(|text| {
        std::fs::write(config.with_extension("key"), "a key of the test's own").expect("written");
        let file = config.with_extension("sexp");
        let key = config.with_extension("key");
        let text =
            format!("(membership (fleet \"t\") (key-file \"{}\") (period 100ms) {text})", key.display());
        std::fs::write(&file, text).expect("written");
        ["--membership".into(), file.into_os_string()]
    });
    let mut command = match under.blocks {
        None => Command::new(BINARY),
        // What would make a file longer is refused with an error (EFBIG), as a full disk refuses it (ENOSPC).
        Some(blocks) => {
            let mut sh = Command::new("sh");
            sh.args(["-c", "trap '' XFSZ; ulimit -f \"$1\"; shift; exec \"$@\"", "sh"]);
            sh.arg(blocks.to_string()).arg(BINARY);
            sh
        }
    };
    let log = under.log.as_ref().map(|to| {
        let file = std::fs::File::options().append(true).create(true).open(to);
        Stdio::from(file.expect("a log"))
    });
    let child = command
        .args(["node", "--log", "json"])
        .args(membership.into_iter().flatten())
        .args(store.into_iter().flat_map(|s| [std::ffi::OsStr::new("--store"), s.as_os_str()]))
        .args((under.clock != 0).then(|| format!("--clock-offset={}", under.clock)))
        .env("EDGE_CONFIG", &config)
        .env("EDGE_NAME", "n0")
        .env("EDGE_LISTEN", listen.to_string())
        .stdout(Stdio::null())
        .stderr(log.unwrap_or_else(Stdio::null))
        .spawn()
        .expect("it starts");
    Running { child, config, listen }
}

impl Running {
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }

    pub async fn ends(&mut self) -> Option<i32> {
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// A viewer's connection.
pub struct Viewer {
    pub stream: TcpStream,
    parser: Parser,
    /// Each session is of a title of its own; else all are of one, whose place is one server while it can.
    pub titles: bool,
    /// The node that it is connected to, and whether that passed a test on this connection.
    pub node: SocketAddr,
    pub passed: bool,
}

impl Viewer {
    /// On a connection that is up.
    pub fn over(stream: TcpStream) -> Self {
        let node = stream.peer_addr().expect("it is up");
        Viewer { stream, parser: Parser::default(), titles: false, node, passed: false }
    }

    pub async fn connect(to: SocketAddr) -> Self {
        // Ample, so that a node that never listens fails a test in place of holding it up.
        let start = std::time::Instant::now();
        while start.elapsed() < Duration::from_secs(60) {
            if let Ok(stream) = TcpStream::connect(to).await {
                return Viewer::over(stream);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("nobody listens at {to}");
    }

    pub async fn send(&mut self, message: &Message) {
        self.stream.write_all(&message.encode().expect("it fits")).await.expect("written");
    }

    /// The next message; `None`: closed.
    pub async fn next(&mut self) -> Option<Message> {
        loop {
            match self.parser.poll().expect("the node's messages can be read") {
                Some(Frame::Message(m)) => return Some(m),
                Some(other) => panic!("{other:?}"),
                None => {}
            }
            let mut bytes = [0u8; 1024];
            match self.stream.read(&mut bytes).await {
                Ok(n @ 1..) => self.parser.feed(&bytes[..n]),
                _ => return None,
            }
        }
    }

    pub async fn test(&mut self) -> Option<u8> {
        self.send(&Message::new(kind::TEST, 1).with_cause(0)).await;
        let found = self.next().await.filter(|m| m.kind == kind::TEST_RESULT).and_then(|m| m.cause_value());
        self.passed |= found == Some(1);
        found
    }

    pub async fn ask(&mut self, scene: &Scene, id: u64, class: &str) -> Message {
        self.asks(scene, id, class);
        self.wish(id, class).await;
        self.answer(scene, id).await
    }

    /// Sends a set-up.
    pub async fn wish(&mut self, id: u64, class: &str) {
        let mut message = set_up(id, class);
        let title = message.parameters.iter_mut().find(|p| self.titles && p.0 == code::TITLE);
        title.into_iter().for_each(|t| t.1 = format!("{:016x}", !id.wrapping_mul(0x9e37_79b9)).into_bytes());
        self.send(&message).await;
    }

    pub async fn answer(&mut self, scene: &Scene, id: u64) -> Message {
        loop {
            let m = self.next().await.expect("an answer");
            if m.session == id {
                self.answered(scene, &m);
                return m;
            }
        }
    }

    /// Notes a final answer.
    pub fn answered(&self, scene: &Scene, m: &Message) {
        let description =
            (m.kind == kind::ANSWER).then(|| m.get(code::DESCRIPTION).unwrap_or_default().to_vec());
        let refused = description.is_none() && matches!(m.cause_value(), Some(34 | 42 | 102));
        scene.note(Seen::Answered { id: m.session, description, refused });
    }
}

pub fn set_up(id: u64, class: &str) -> Message {
    Message::new(kind::SETUP, id)
        .with(code::CLASS, class)
        .with(code::MAX_WAIT, "4000")
        .with(code::TITLE, "7f3a9c21e0b4d655")
        .with(code::LENGTH_HINT, "8200.0")
        .with(code::FIGURES, "home:0;copies:1;top:2;viewer:00000000b4d65521")
        .with(code::DESCRIPTION, "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\n")
}

pub async fn server(scene: &Scene, id: &str, life_ms: u64) -> Rc<Listening> {
    let model = MediaServer::new(id, 5 * MS, Treat::Serve(life_ms * MS));
    Listening::start(SocketAddr::from(([127, 0, 0, 1], 0)), model, scene.clone()).await.expect("it listens")
}

pub fn on_one_thread<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let test =
        async { tokio::time::timeout(Duration::from_secs(60), test).await.expect("it comes to an end") };
    tokio::task::LocalSet::new().block_on(&runtime, test);
}
