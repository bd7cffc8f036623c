//! `micadyke node` told to stop by SIGTERM: what it took is answered, whatever the moment at which it came.

mod platform;

use micadyke_isup::{Message, code, kind};
use micadyke_standin::platform::{Seen, Treat};
use micadyke_standin::platform_net::{Bus, Listening, Scene};
use platform::connections::{End, ends};
use platform::counts::all_kept_but_releases;
use platform::*;
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};

/// SIGKILL comes no sooner than so long after SIGTERM: the longest deadline, 3 s at most, and 0.7 s.
const KILL: Duration = Duration::from_millis(3700);
/// New connections and requests come for this long after SIGTERM, as the platform's protocol has it, at the most.
const ARRIVALS: Duration = Duration::from_millis(700);
/// A 16 KiB message holds a description of this size with room to spare.
const LONG_DESCRIPTION: usize = 15 << 10;

/// A node with one server and a bus, and its log.
struct Served {
    scene: Scene,
    server: Rc<Listening>,
    node: Running,
    log: PathBuf,
    _bus: Rc<Bus>,
}

impl Drop for Served {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.log);
    }
}

impl Served {
    async fn start(tag: &str) -> Self {
        let scene = Scene::default();
        let server = server(&scene, "a", 60_000).await;
        let rows = row(&server, "a", "up");
        let bus = Bus::start(vec![(true, rows.clone())]).await.expect("a bus");
        let log = std::env::temp_dir().join(format!("micadyke-stopping-{tag}-{}.log", std::process::id()));
        let _ = std::fs::remove_file(&log);
        let under = Under { log: Some(log.clone()), ..Under::default() };
        let node = start_under(&format!("stopping-{tag}"), free_port(), bus.addr, &rows, None, None, &under);
        Served { scene, server, node, log, _bus: bus }
    }

    async fn viewer(&self) -> Viewer {
        let mut viewer = Viewer::connect(self.node.listen).await;
        assert_eq!(viewer.test().await, Some(1));
        self.scene.note(Seen::Ready { node: self.node.listen.to_string() });
        viewer
    }

    /// Sends SIGTERM and waits until the node has heard it.
    async fn terminate(&self) -> Instant {
        let at = Instant::now();
        self.node.signal("-TERM");
        self.logged("stopping: what is owed").await;
        at
    }

    /// Waits for a line of the log.
    async fn logged(&self, part: &str) {
        while !std::fs::read_to_string(&self.log).is_ok_and(|text| text.contains(part)) {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    fn asked(&self, id: u64, class: &str) {
        let paid = class == "paid";
        self.scene.note(Seen::Asked { id, patience: 4000 * MS, paid, floor: usize::from(paid) });
        self.scene.note(Seen::AskedAt { id, node: self.node.listen.to_string() });
    }

    /// Waits until a server has answered a session's set-up.
    async fn stood(&self, session: u64) {
        let stands = |seen: &Seen| matches!(seen, Seen::Stood { id, .. } if *id == session);
        while !self.scene.record.borrow().iter().any(|r| stands(&r.1)) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

/// A process that stands still over the end of its time to stop finds connections and requests in its sockets that came in
/// time: they are answered before it ends.
#[test]
fn what_came_while_the_process_stood_still_is_answered() {
    on_one_thread(async {
        let mut served = Served::start("still").await;
        let mut open = served.viewer().await;
        let terminated = served.terminate().await;
        served.node.signal("-STOP");
        // Accepted by the operating system alone; the second sends its request in two pieces.
        let mut new = Viewer::connect(served.node.listen).await;
        let mut pieces = Viewer::connect(served.node.listen).await;
        for id in 1..=3 {
            served.asked(id, "paid");
        }
        open.send(&set_up(1, "paid")).await;
        new.send(&set_up(2, "paid")).await;
        let bytes = set_up(3, "paid").encode().expect("it fits");
        pieces.stream.write_all(&bytes[..20]).await.expect("written");
        tokio::time::sleep_until((terminated + ARRIVALS + Duration::from_millis(100)).into()).await;
        pieces.stream.write_all(&bytes[20..]).await.expect("written");
        served.node.signal("-CONT");
        assert_eq!(open.answer(&served.scene, 1).await.kind, kind::ANSWER);
        assert_eq!(new.answer(&served.scene, 2).await.kind, kind::ANSWER);
        assert_eq!(pieces.answer(&served.scene, 3).await.kind, kind::ANSWER);
        assert_eq!(served.node.ends().await, Some(0));
        all_kept_but_releases(&served.scene);
    });
}

/// The configuration comes through a pipe: the process stands in the middle of its start until somebody writes it.
#[test]
fn a_signal_before_the_node_listens_ends_the_process_at_once() {
    on_one_thread(async {
        let pipe = std::env::temp_dir().join(format!("micadyke-stopping-pipe-{}.json", std::process::id()));
        let made = Command::new("mkfifo").arg(&pipe).status();
        assert!(made.expect("mkfifo runs").success());
        let listen = free_port();
        let child = Command::new(BINARY)
            .arg("node")
            .env("EDGE_CONFIG", &pipe)
            .env("EDGE_NAME", "n0")
            .env("EDGE_LISTEN", listen.to_string())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        let mut node = Running { child: child.expect("it starts"), config: pipe.clone(), listen };
        // Opened once the process reads it.
        let opened = tokio::task::spawn_blocking(move || File::options().write(true).open(pipe)).await;
        let opened = opened.expect("it ends").expect("a pipe");
        node.signal("-TERM");
        let ended = tokio::time::timeout(ARRIVALS, node.ends()).await.expect("it ends at once");
        assert!(matches!(ended, None | Some(0)), "{ended:?}");
        assert!(TcpStream::connect(listen).await.is_err());
        drop(opened);
    });
}

/// Requests on open and new connections, in pieces over the signal, a connection that says nothing, and signals again.
#[test]
fn requests_over_the_signal_are_answered_and_the_process_ends_in_time() {
    on_one_thread(async {
        let mut served = Served::start("pieces").await;
        let mut open = served.viewer().await;
        let silent = Viewer::connect(served.node.listen).await;
        for id in 1..=4 {
            served.asked(id, "paid");
        }
        let bytes = set_up(1, "paid").encode().expect("it fits");
        open.stream.write_all(&bytes[..7]).await.expect("written");
        let terminated = served.terminate().await;
        open.stream.write_all(&bytes[7..]).await.expect("written");
        let mut new = Viewer::connect(served.node.listen).await;
        new.send(&set_up(2, "paid")).await;
        for signal in ["-TERM", "-HUP", "-TERM"] {
            served.node.signal(signal);
        }
        open.send(&set_up(3, "paid")).await;
        new.send(&set_up(4, "paid")).await;
        for id in [1, 3] {
            assert_eq!(open.answer(&served.scene, id).await.kind, kind::ANSWER);
        }
        for id in [2, 4] {
            assert_eq!(new.answer(&served.scene, id).await.kind, kind::ANSWER);
        }
        assert_eq!(served.node.ends().await, Some(0));
        assert!(terminated.elapsed() >= ARRIVALS, "it serves on for as long as requests come");
        assert!(terminated.elapsed() < KILL, "ended after {:?}", terminated.elapsed());
        drop(silent);
        all_kept_but_releases(&served.scene);
    });
}

/// A server that never answers: the viewer is told so, and the process ends, before it may be killed.
#[test]
fn what_no_server_answers_is_answered_before_the_kill() {
    on_one_thread(async {
        let mut served = Served::start("owed").await;
        let mut viewer = served.viewer().await;
        served.server.server.borrow_mut().usual = Treat::Silent;
        served.asked(1, "paid");
        viewer.send(&set_up(1, "paid")).await;
        let terminated = served.terminate().await;
        let said = viewer.answer(&served.scene, 1).await;
        assert!(said.kind == kind::RELEASE && !matches!(said.cause_value(), Some(34 | 42 | 102)), "{said:?}");
        assert_eq!(served.node.ends().await, Some(0));
        assert!(terminated.elapsed() < KILL, "ended after {:?}", terminated.elapsed());
        all_kept_but_releases(&served.scene);
    });
}

/// Bytes of a connection that the operating system holds, by both ends: what was sent and not acknowledged, and what was
/// received and not read.
fn held_by_the_system(one: SocketAddr, other: SocketAddr) -> usize {
    let ours = |end: &End| [(one, other), (other, one)].contains(&(end.local, end.remote));
    ends().iter().filter(|end| ours(end)).map(|end| end.sending + end.received).sum()
}

/// A viewer that reads nothing until long after the signal gets every answer whole: what the operating system did not take
/// is written until the process may be killed.
#[test]
fn a_slow_reader_gets_its_answers_whole() {
    on_one_thread(async {
        let mut served = Served::start("slow").await;
        drop(served.viewer().await);
        {
            // Viewers leave at once: places are free again, and no release is owed.
            let mut server = served.server.server.borrow_mut();
            (server.padding, server.usual) = (LONG_DESCRIPTION, Treat::Leaves(MS));
        }
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(4096).expect("a small buffer");
        let stream = socket.connect(served.node.listen).await.expect("connected");
        let (own, node) = (stream.local_addr().expect("an end"), served.node.listen);
        let mut viewer = Viewer::over(stream);
        // Set-ups until answers wait in the process itself.
        let (mut answered, mut last) = (0, 0);
        let answer = |id: u64| {
            let description = format!("a gives {id:016x}\r\n\0").len() + LONG_DESCRIPTION;
            let message = Message::new(kind::ANSWER, id).with(code::DESCRIPTION, vec![0; description]);
            message.encode().expect("it fits").len()
        };
        loop {
            last += 1;
            served.asked(last, "free");
            viewer.send(&set_up(last, "free")).await;
            served.stood(last).await;
            answered += answer(last);
            // What is on its way between server, node and viewer is there soon; what waits in the node stays.
            let waits = || answered.saturating_sub(held_by_the_system(own, node)) > answer(last);
            let mut stays = waits();
            for _ in 0..20 {
                if !stays {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(2)).await;
                stays = waits();
            }
            if stays {
                break;
            }
        }
        let terminated = served.terminate().await;
        tokio::time::sleep_until((terminated + Duration::from_millis(1500)).into()).await;
        for id in 1..=last {
            assert_eq!(viewer.answer(&served.scene, id).await.kind, kind::ANSWER, "{id} of {last}");
        }
        assert_eq!(served.node.ends().await, Some(0));
        assert!(terminated.elapsed() < KILL, "ended after {:?}", terminated.elapsed());
        all_kept_but_releases(&served.scene);
    });
}
