//! The program as a new user starts it: processes, signals, exit codes.

#[path = "platform/ports.rs"]
mod ports;

use ports::free_port;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

const BINARY: &str = env!("CARGO_BIN_EXE_micadyke");
const OFFER: &str = include_str!("../../../fixtures/offers/firefox-play.sdp");
const PUBLISH: &str = include_str!("../../../fixtures/offers/chromium-publish.sdp");

struct Running(Child, BufReader<ChildStdout>);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start(args: &[&str]) -> Running {
    let mut child = Command::new(BINARY)
        .args(args)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("it starts");
    let out = BufReader::new(child.stdout.take().expect("a pipe"));
    Running(child, out)
}

impl Running {
    fn line(&mut self) -> String {
        let mut line = String::new();
        self.1.read_line(&mut line).expect("a line");
        line.trim_end().to_owned()
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.0.id().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }

    fn ends(&mut self) -> Option<i32> {
        let until = Instant::now() + Duration::from_secs(20);
        loop {
            match self.0.try_wait().expect("a child") {
                Some(status) => return status.code(),
                None if Instant::now() > until => panic!("it does not end"),
                None => std::thread::sleep(Duration::from_millis(10)),
            }
        }
    }
}

fn http(addr: &str, request: &str) -> String {
    let mut stream = TcpStream::connect(addr).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a time-out");
    stream.write_all(request.as_bytes()).expect("written");
    let mut said = String::new();
    let _ = stream.read_to_string(&mut said);
    said
}

fn post(addr: &str, path: &str, body: &str) -> String {
    let n = body.len();
    http(
        addr,
        &format!(
            "POST {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-type: application/sdp\r\n\
             content-length: {n}\r\n\r\n{body}"
        ),
    )
}

#[test]
fn the_demo_serves_a_browsers_offer_and_ends_at_sigterm() {
    let mut demo = start(&["demo", "--listen", "127.0.0.1:0"]);
    let line = demo.line();
    let addr = line.strip_prefix("listening on http://").expect("the line that says it is ready").to_owned();
    assert!(demo.line().contains("/whep/demo"), "a curl line");
    let said = post(&addr, "/whep/demo", OFFER);
    assert!(said.starts_with("HTTP/1.1 201 ") && said.contains("a=sendonly"), "{said}");
    let location =
        said.lines().find_map(|l| l.strip_prefix("location: ")).expect("a resource").trim().to_owned();
    assert!(post(&addr, "/whip/new-title", PUBLISH).starts_with("HTTP/1.1 201 "));
    assert!(post(&addr, "/whep/new-title", OFFER).starts_with("HTTP/1.1 201 "));
    for _ in 0..2 {
        let said =
            http(&addr, &format!("DELETE {location} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"));
        assert!(said.starts_with("HTTP/1.1 200 "), "{said}");
    }
    demo.signal("-TERM");
    assert_eq!(demo.ends(), Some(0));
}

#[test]
fn a_front_runs_by_its_files_with_stand_in_boxes() {
    let dir = std::env::temp_dir().join(format!("micadyke-cli-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let settings =
        include_str!("../src/demo.sexp").replace("(name \"demo\")", "(name \"f\") (boxes \"boxes.sexp\")");
    let config = dir.join("front.sexp");
    std::fs::write(&config, settings).expect("written");
    let path = config.to_str().expect("a path");
    let row = |cell: usize| format!("(box {} (address \"{}\") (cell {cell}))\n", cell + 1, free_port());
    let list: String = (0..4).map(row).collect();
    std::fs::write(dir.join("boxes.sexp"), &list).expect("written");
    let check = Command::new(BINARY).args(["check", path]).output().expect("it runs");
    assert_eq!(check.status.code(), Some(0), "{check:?}");
    let mut boxes = start(&["standin", "--config", path]);
    for _ in 0..4 {
        let line = boxes.line();
        assert!(line.starts_with("box "), "{line}");
    }
    let mut front = start(&["front", "--config", path, "--listen", "127.0.0.1:0"]);
    let addr = front.line().replace("listening on http://", "");
    let said = post(&addr, "/whep/demo", OFFER);
    assert!(said.starts_with("HTTP/1.1 201 "), "{said}");
    front.signal("-INT");
    assert_eq!(front.ends(), Some(0));

    std::fs::write(&config, "(front (nme \"x\"))").expect("written");
    let check = Command::new(BINARY).args(["check", path]).output().expect("it runs");
    assert_eq!(check.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&check.stdout).contains("front.sexp:1:"), "{check:?}");
    let refused = Command::new(BINARY).args(["front", "--config", path]).output().expect("it runs");
    assert_eq!(refused.status.code(), Some(2));
    let _ = std::fs::remove_dir_all(&dir);
}

#[test]
fn a_failure_says_beneath_it_what_can_be_done() {
    let issuer = ["issuer", "--seats", "film=1", "--listen", "127.0.0.1:0", "--ttl", "250"];
    let dir = std::env::temp_dir().join(format!("micadyke-advice-{}", std::process::id()));
    std::fs::write(&dir, "(membership (fleet \"f\") (name \"n\") (key-file \"k\"))").expect("it is written");
    let file = dir.to_str().expect("a path");
    let ill = ["members", "--at", "127.0.0.1:9", "--membership", file];
    for (args, what, advice) in [
        (&issuer[..], "micadyke: --ttl: '250' has no unit", "Write one of the units named"),
        (&ill[..], "lacks its 'listen'", "micadyke check FILE"),
    ] {
        let out = Command::new(BINARY).args(args).output().expect("it runs");
        let told = String::from_utf8_lossy(&out.stderr);
        let lines: Vec<&str> = told.lines().collect();
        assert!(out.status.code() == Some(2) && lines[0].contains(what), "{out:?}");
        assert!(lines.last().is_some_and(|l| l.contains(advice)), "{out:?}");
    }
    std::fs::remove_file(&dir).expect("it was written");
}
