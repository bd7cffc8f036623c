//! A stand-in of the platform as a process of its own: one media server, or the event bus. It ends by itself after a stated
//! time, whoever started it; what it saw stays in a file. For a `LocalSet`.

use crate::platform::{MediaServer, Seen, Treat};
use crate::platform_net::{Bus, Listening, Scene};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// No stand-in outlives its start by more.
pub const LONGEST: Duration = Duration::from_secs(4 * 3600);
/// Bytes of a bus's file at most: what is beyond is an error, for nobody could tell it from the end.
const LONGEST_BUS: u64 = 1 << 20;
/// How often a bus looks at its file, and a server whether its record is kept.
const LOOK: Duration = Duration::from_millis(20);

/// What a process stands in for.
#[derive(Debug, Clone)]
pub enum Role {
    /// A media server.
    Server {
        /// Its id.
        id: String,
        /// From a set-up to its answer.
        delay: Duration,
        /// How long a session plays.
        life: Duration,
        /// Where what it sees is written down, a JSON line each; what is there stays.
        seen: PathBuf,
    },
    /// The event bus.
    Bus {
        /// Its events, numbered from 1: `full` or `part`, a space, and servers as JSON objects between commas, a line each.
        /// Lines that are added are told; numbers begin anew with the process.
        events: PathBuf,
    },
}

/// Why a stand-in could not begin, or ended.
#[derive(Debug, thiserror::Error)]
#[allow(missing_docs)]
pub enum Error {
    #[error("stand-ins run on loopback only, not on {0}")]
    Beyond(SocketAddr),
    #[error("{0:?} is longer than a stand-in may live: {LONGEST:?}")]
    TooLong(Duration),
    #[error("cannot listen on {at}: {why}")]
    Listen { at: SocketAddr, why: std::io::Error },
    #[error("{}: {why}", file.display())]
    File { file: PathBuf, why: std::io::Error },
    #[error("{}: line {line} begins with neither 'full' nor 'part'", file.display())]
    Event { file: PathBuf, line: usize },
}

/// Runs it until `stop` resolves or `lifetime` is over; `listens` is told where.
///
/// # Errors
///
/// Where it can't begin, or its file can't be read or written any more.
pub async fn run(
    role: Role, at: SocketAddr, lifetime: Duration, listens: impl FnOnce(SocketAddr),
    stop: impl Future<Output = ()>,
) -> Result<(), Error> {
    if !at.ip().is_loopback() {
        return Err(Error::Beyond(at));
    }
    if lifetime > LONGEST {
        return Err(Error::TooLong(lifetime));
    }
    let lives = async {
        tokio::select! {
            () = stop => {}
            () = tokio::time::sleep(lifetime) => {}
        }
    };
    let refused = |why| Error::Listen { at, why };
    match role {
        Role::Server { id, delay, life, seen } => {
            let at_file = |why| Error::File { file: seen.clone(), why };
            let scene = Scene::in_file(&seen).map_err(at_file)?;
            let model = MediaServer::new(&id, delay.as_nanos() as u64, Treat::Serve(life.as_nanos() as u64));
            // Whoever finds it listening finds it started.
            scene.note(Seen::Started { server: id });
            let server = Listening::start(at, model, scene.clone()).await.map_err(refused)?;
            listens(server.addr);
            let watch = async {
                loop {
                    tokio::time::sleep(LOOK).await;
                    if let Some(why) = scene.unkept() {
                        return at_file(why);
                    }
                }
            };
            tokio::select! {
                why = watch => Err(why),
                () = lives => Ok(()),
            }
        }
        Role::Bus { events } => {
            let bus = Bus::start_at(at, read(&events)?).await.map_err(refused)?;
            listens(bus.addr);
            let follow = spawn_local(follow(bus, events));
            tokio::select! {
                ended = follow => ended.unwrap_or(Ok(())),
                () = lives => Ok(()),
            }
        }
    }
}

fn read(file: &PathBuf) -> Result<Vec<(bool, String)>, Error> {
    let at_file = |why| Error::File { file: file.clone(), why };
    let text = std::fs::read_to_string(file).map_err(at_file)?;
    if text.len() as u64 > LONGEST_BUS {
        return Err(at_file(std::io::Error::other(format!("more than {LONGEST_BUS} bytes"))));
    }
    // A line is there when its end is.
    let whole = text.rfind('\n').map_or("", |end| &text[..end]);
    let event = |(n, l): (usize, &str)| match l.split_once(' ').unwrap_or((l, "")) {
        ("full", rows) => Ok((true, rows.to_owned())),
        ("part", rows) => Ok((false, rows.to_owned())),
        _ => Err(Error::Event { file: file.clone(), line: n + 1 }),
    };
    whole.lines().enumerate().map(event).collect()
}

async fn follow(bus: Rc<Bus>, file: PathBuf) -> Result<(), Error> {
    let mut told = bus.events();
    loop {
        tokio::time::sleep(LOOK).await;
        let events = read(&file)?;
        for (full, rows) in events.iter().skip(told) {
            bus.tell(*full, rows);
        }
        told = told.max(events.len());
    }
}
