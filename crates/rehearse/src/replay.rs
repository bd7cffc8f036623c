//! One list of questions, asked through two clients that share neither language nor protocol, of fronts that are alike:
//! the Rust client over WHEP, and another program over CMCD. Both must hear the same outcomes.
//!
//! A list is JSON lines: questions, and troubles that befall all from there on. Questions are asked one after the other, so
//! that both passes put the front into the same states; what it answers is recorded on the way, not taken from clients.

use crate::check::{Terms, Verdict, check};
use crate::run::{CannotRun, Folder, list_file, start, unix};
use crate::sabotage::Break;
use micadyke::interface::ServerState;
use micadyke_client::net::Client;
use micadyke_client::retry::Rule;
use micadyke_client::{Outcome, Question};
use micadyke_config::{BoxRow, Config, RouteKind, Title, write_boxes};
use micadyke_standin::link::Link;
use micadyke_standin::media_box::{Fleet, Habits};
use micadyke_standin::model::World;
use micadyke_standin::offers::offer;
use micadyke_standin::record::{Deed, End, Record};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};
use tokio::time::sleep;

/// Something that befalls the boxes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "trouble", rename_all = "snake_case")]
pub enum Trouble {
    /// The list has these boxes draining, and no others.
    Drain {
        /// Which boxes.
        boxes: Vec<u32>,
    },
    /// No box has room.
    Full,
    /// Boxes reset connections in place of answers to set-ups.
    Resets,
    /// Boxes lose their answers to set-ups.
    LoseAnswers,
    /// All is well again.
    Calm,
}

/// A line of a list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Line {
    /// What happens from here on.
    Trouble(Trouble),
    /// A question.
    Ask(Question),
}

/// Reads a list; the number of the line at fault, and what is wrong with it.
pub fn read_list(text: &str) -> Result<Vec<Line>, (usize, String)> {
    let lines = text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty() && !l.starts_with('#'));
    lines
        .map(|(n, l)| {
            serde_json::from_str(l).map_err(|_| {
                (n + 1, "neither a question (title, class, patience_ms) nor a trouble".to_owned())
            })
        })
        .collect()
}

/// A list of so many questions by a seed, with troubles.
pub fn make_list(questions: usize, seed: u64) -> Vec<Line> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut lines = Vec::new();
    let (mut asked, mut trouble_ends) = (0, None);
    while asked < questions {
        if trouble_ends == Some(asked) {
            lines.push(Line::Trouble(Trouble::Calm));
            trouble_ends = None;
        } else if trouble_ends.is_none() && random.random_bool(0.04) {
            let (trouble, length) = match random.random_range(0..20) {
                0..=8 => {
                    let most = random.random_range(1..=TITLES);
                    (Trouble::Drain { boxes: (1..=most).collect() }, random.random_range(4..20))
                }
                9..=14 => (Trouble::Full, random.random_range(4..16)),
                15..=18 => (Trouble::Resets, random.random_range(2..8)),
                // Each costs its viewer the whole of its patience.
                _ => (Trouble::LoseAnswers, 1),
            };
            lines.push(Line::Trouble(trouble));
            trouble_ends = Some(asked + length);
        }
        let title = match random.random_range(0..20) {
            0 => "unknown".to_owned(),
            n => format!("title-{}", n % TITLES),
        };
        let ceiling = [None, Some(1_200), Some(3_000), Some(20_000)][random.random_range(0..4)];
        let class = if random.random_bool(0.3) { "paid-spot" } else { "recorded-play" };
        lines.push(Line::Ask(Question {
            title,
            class: class.into(),
            ceiling,
            patience_ms: 1_000,
            repeatable: class == "recorded-play",
        }));
        asked += 1;
    }
    lines
}

/// Boxes of a replay, and titles that they all hold.
const BOXES: u32 = 4;
const TITLES: u32 = 4;

/// What asks.
#[derive(Debug, Clone)]
pub enum Via {
    /// The Rust client over WHEP.
    Whep,
    /// A program over CMCD: it gets the front's address and `CLASS=PATH` for each route, a bearer token as
    /// `MICADYKE_BEARER`, questions on standard input, and writes outcomes, a line each.
    Cmcd(Vec<String>),
}

/// What one pass came to.
#[derive(Debug)]
pub struct Pass {
    /// Outcomes in the questions' order, as the client heard them.
    pub outcomes: Vec<Outcome>,
    /// The rules, from the traffic.
    pub verdict: Verdict,
    /// Requests that reached the way to the front, and answers that came back on it.
    pub passed: (u64, u64),
    /// Requests that got any other number of answers than one.
    pub not_once: u64,
}

/// The routes of a kind, by their class.
pub fn routes(config: &Config, kind: RouteKind) -> HashMap<String, String> {
    let of = config.routes.iter().filter(|r| r.kind == kind);
    of.map(|r| (config.classes[r.class].name.clone(), r.prefix.clone())).collect()
}

enum Asker {
    Whep(Client, u64),
    /// The program ends when this is dropped.
    Cmcd {
        _program: Child,
        to: ChildStdin,
        from: tokio::io::Lines<BufReader<ChildStdout>>,
    },
}

impl Asker {
    fn begin(via: &Via, config: &Config, front: SocketAddr) -> Result<Self, CannotRun> {
        match via {
            Via::Whep => {
                let rule = Rule { most: 1, ..Rule::default() };
                let bearer = config.routes.iter().find_map(|r| r.bearers.first().cloned());
                let routes = routes(config, RouteKind::Play);
                Ok(Asker::Whep(Client { routes, bearer, rule, ..Client::new(front) }, 0))
            }
            Via::Cmcd(command) => {
                let failed = |e: &dyn std::fmt::Display| CannotRun(format!("{}: {e}", command.join(" ")));
                let (program, args) = command.split_first().ok_or_else(|| failed(&"no command"))?;
                let mut child = Command::new(program);
                child.args(args).arg(format!("http://{front}"));
                if let Some(token) = config.routes.iter().find_map(|r| r.bearers.first()) {
                    child.env("MICADYKE_BEARER", token);
                }
                child.args(routes(config, RouteKind::Media).iter().map(|(c, p)| format!("{c}={p}")));
                let child = child.stdin(Stdio::piped()).stdout(Stdio::piped()).kill_on_drop(true).spawn();
                let mut child = child.map_err(|e| failed(&e))?;
                let (Some(to), Some(from)) = (child.stdin.take(), child.stdout.take()) else {
                    return Err(failed(&"no pipes"));
                };
                Ok(Asker::Cmcd { _program: child, to, from: BufReader::new(from).lines() })
            }
        }
    }

    async fn ask(&mut self, question: &Question) -> Result<Outcome, CannotRun> {
        match self {
            Asker::Whep(client, n) => {
                *n += 1;
                // The certificate is the viewer's: each comes once.
                let (outcome, session) =
                    client.ask(question, &offer(false, *n, *n, None), std::future::pending()).await;
                if let Some(session) = session {
                    client.end(&session).await;
                }
                Ok(outcome)
            }
            Asker::Cmcd { to, from, .. } => {
                let failed = |what: String| CannotRun(format!("the client over CMCD: {what}"));
                let mut line = serde_json::to_string(question).map_err(|e| failed(e.to_string()))?;
                line.push('\n');
                to.write_all(line.as_bytes()).await.map_err(|e| failed(e.to_string()))?;
                let limit = Duration::from_millis(question.patience_ms) + Duration::from_secs(20);
                let answer = tokio::time::timeout(limit, from.next_line()).await;
                let answer = answer.map_err(|_| failed("it says nothing".into()))?;
                let answer = answer.map_err(|e| failed(e.to_string()))?;
                let answer = answer.ok_or_else(|| failed("it has ended".into()))?;
                serde_json::from_str(&answer).map_err(|e| failed(format!("{e} in {answer}")))
            }
        }
    }
}

/// What a box was asked for and nobody came to use is over after this, in nanoseconds.
const REAP: u64 = 2_000_000_000;
/// News of the list are heard within this.
const HEARD: Duration = Duration::from_millis(200);

/// Asks a list of a front with a seed, beside boxes of its own; `how`: the front is broken so. It must run as a task of a
/// `LocalSet`.
pub async fn pass(
    lines: &[Line], config: &Config, via: &Via, seed: u64, how: Option<Break>,
) -> Result<Pass, CannotRun> {
    let fail = |e: std::io::Error| CannotRun(e.to_string());
    let mut config = config.clone();
    (config.settings.cells, config.settings.fronts) = (BOXES, 1);
    for n in 0..TITLES {
        config.titles.insert(format!("title-{n}"), Title { base: 0, spread: BOXES });
    }
    let mut rows = BoxRow::on_loopback(BOXES);
    let places: BTreeMap<u32, u32> =
        rows.iter().map(|r| (r.id, config.settings.streams_by_kind[r.kind])).collect();
    let record = Record::new();
    let fleet = Fleet::new(World::of(&config, &rows, REAP), Habits::default(), record.clone(), seed);
    fleet.open_all(&mut rows).await.map_err(fail)?;
    let dir = std::env::temp_dir().join(format!("micadyke-replay-{}-{:x}", std::process::id(), unix()));
    std::fs::create_dir_all(&dir).map_err(fail)?;
    let _folder = Folder(dir.clone());
    let tell = |rows: &[BoxRow]| -> Result<(), CannotRun> {
        let (file, next) = (list_file(&dir, 0), dir.join("next"));
        std::fs::write(&next, write_boxes(rows, &config)).map_err(fail)?;
        std::fs::rename(&next, &file).map_err(fail)?;
        let unready = rows.iter().filter(|r| r.state != ServerState::Ready).map(|r| r.id).collect();
        record.deed(Deed::List { front: 0, unready });
        Ok(())
    };
    tell(&rows)?;
    let listener = TcpListener::bind("127.0.0.1:0").map_err(fail)?;
    let at = listener.local_addr().map_err(fail)?;
    let front = start(0, listener, config.clone(), dir.clone(), how, seed)?;
    sleep(HEARD).await;
    let way = Link::recorded(at, record.clone(), End::Viewer(0)).await.map_err(fail)?;
    let mut asker = Asker::begin(via, &config, way.addr())?;
    let mut outcomes = Vec::new();
    for line in lines {
        match line {
            Line::Ask(question) => outcomes.push(asker.ask(question).await?),
            Line::Trouble(trouble) => {
                befall(trouble, &fleet, &places, &mut rows);
                tell(&rows)?;
                sleep(HEARD).await;
            }
        }
    }
    drop(asker);
    sleep(HEARD).await;
    front.end()?;
    let entries = record.entries();
    let verdict = check(&entries, &record.deeds(), &Terms { config: &config, places: &places, seats: None });
    let (mut passed, mut not_once) = ((0, 0), 0);
    for c in crate::traffic::conversations(&entries) {
        if c.end != End::Viewer(0) {
            continue;
        }
        let (asked, told) = (c.requests.len() as u64, c.responses.len() as u64);
        passed = (passed.0 + asked, passed.1 + told);
        // A viewer whose patience was over closes the connection, and is owed nothing more.
        let left =
            told + 1 == asked && c.closed.is_some() && c.peer_closed.is_none_or(|p| c.closed <= Some(p));
        not_once += u64::from(asked != told && !left);
    }
    Ok(Pass { outcomes, verdict, passed, not_once })
}

fn befall(trouble: &Trouble, fleet: &Fleet, places: &BTreeMap<u32, u32>, rows: &mut [BoxRow]) {
    let drained: &[u32] = if let Trouble::Drain { boxes } = trouble { boxes } else { &[] };
    for row in rows {
        row.state = if drained.contains(&row.id) { ServerState::Draining } else { ServerState::Ready };
        let id = row.id;
        let full = *trouble == Trouble::Full;
        fleet.world(|w| {
            if let Some(b) = w.boxes.get_mut(&id) {
                b.places = if full { 0 } else { places[&id] };
            }
        });
        let on = |is: Trouble| if *trouble == is { 1.0 } else { 0.0 };
        let (reset, lose_answers) = (on(Trouble::Resets), on(Trouble::LoseAnswers));
        fleet.trouble(id, |t| (t.reset, t.lose_answers) = (reset, lose_answers));
    }
}

/// How two passes compare.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Compared {
    /// Questions.
    pub asked: usize,
    /// Of each kind of outcome, in the first pass.
    pub kinds: BTreeMap<String, usize>,
    /// Questions whose outcomes are not of one kind and status: their numbers from 1, and both.
    pub differ: Vec<(usize, Outcome, Outcome)>,
    /// Of those that are, plays at another box or rung, and refusals with other advice: what depends on the moment.
    pub places_differ: usize,
    /// See above.
    pub advice_differs: usize,
}

/// Compares the outcomes of two passes over one list.
pub fn compare(a: &[Outcome], b: &[Outcome]) -> Compared {
    let mut c = Compared { asked: a.len().max(b.len()), ..Compared::default() };
    let missing = Outcome::NotKnown;
    for n in 0..c.asked {
        let (x, y) = (a.get(n).unwrap_or(&missing), b.get(n).unwrap_or(&missing));
        let kind = match x {
            Outcome::Plays { .. } => "plays".to_owned(),
            Outcome::Refused { .. } => "refused".to_owned(),
            Outcome::Failed { status } => format!("failed {status}"),
            other => format!("{other:?}").to_lowercase(),
        };
        *c.kinds.entry(kind).or_default() += 1;
        match (x, y) {
            (Outcome::Plays { .. }, Outcome::Plays { .. }) => c.places_differ += usize::from(x != y),
            (Outcome::Refused { .. }, Outcome::Refused { .. }) => c.advice_differs += usize::from(x != y),
            _ if x == y && a.len() == b.len() => {}
            _ => c.differ.push((n + 1, x.clone(), y.clone())),
        }
    }
    c
}

/// Reads the settings of a replay beside a list, or the built-in ones.
pub fn settings(file: Option<&Path>) -> std::io::Result<String> {
    file.map_or_else(|| Ok(SETTINGS.to_owned()), std::fs::read_to_string)
}

/// Both protocols for two classes; no budget of attempts, which would count by the clock.
const SETTINGS: &str = include_str!("replay.sexp");
