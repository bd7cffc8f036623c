//! The simulator's line protocol: parses text lines into events and prints actions as text lines.
//!
//! This is an adapter without decisions of its own. The names of messages and fields are those of
//! `WIRE-micadyke.md`; the decision module does not depend on them.

use micadyke::decide::Controller;
use micadyke::interface::*;
use micadyke_settings::{Names, position, read};
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, Write};

/// An error in the input, with its line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireError {
    /// Number of the line, from 1.
    pub line: usize,
    /// Description of the error.
    pub what: String,
}

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}: {}", self.line, self.what)
    }
}

impl std::error::Error for WireError {}

type Parsed<T> = Result<T, String>;

/// A line of the protocol: a message name and its fields.
struct Line<'a> {
    name: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    fn parse(text: &'a str) -> Parsed<Self> {
        let (name, mut rest) = text.split_once(' ').unwrap_or((text, ""));
        let mut fields = Vec::new();
        while !rest.is_empty() {
            let (key, after) = rest.split_once('=').ok_or_else(|| format!("'{rest}' is no name=value"))?;
            if key.is_empty() || key.contains(' ') {
                return Err(format!("'{key}' is no field name"));
            }
            if key == "settings" || key == "body_text" {
                fields.push((key, after));
                break;
            }
            let (value, more) = after.split_once(' ').unwrap_or((after, ""));
            fields.push((key, value));
            rest = more;
        }
        Ok(Line { name, fields })
    }

    fn get(&self, key: &str) -> Option<&'a str> {
        self.fields.iter().find(|(k, _)| *k == key).map(|(_, v)| *v)
    }

    fn required(&self, key: &str) -> Parsed<&'a str> {
        self.get(key).ok_or_else(|| format!("{} lacks the field {key}", self.name))
    }

    fn read<T: std::str::FromStr>(&self, key: &str, text: &str) -> Parsed<T> {
        text.parse().map_err(|_| format!("{}: field {key} holds '{text}', which can't be read", self.name))
    }

    fn number<T: std::str::FromStr>(&self, key: &str) -> Parsed<T> {
        self.read(key, self.required(key)?)
    }

    fn optional<T: std::str::FromStr>(&self, key: &str) -> Parsed<Option<T>> {
        self.get(key).map(|v| self.read(key, v)).transpose()
    }

    fn flag(&self, key: &str) -> Parsed<bool> {
        match self.get(key) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(v) => Err(format!("{}: field {key} holds '{v}', not 0 or 1", self.name)),
        }
    }

    /// A small whole number that the protocol may write as a decimal number ("3" or "3.0").
    fn index(&self, key: &str) -> Parsed<u32> {
        let v: f64 = self.number(key)?;
        if v.is_finite() && v >= 0.0 && v.fract() == 0.0 && v <= f64::from(u32::MAX) {
            Ok(v as u32)
        } else {
            Err(format!("{}: field {key} holds {v}, not a whole number from 0", self.name))
        }
    }

    fn session(&self) -> Parsed<SessionId> {
        let text = self.required("tid")?;
        let hex = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        match u64::from_str_radix(text, 16) {
            Ok(id) if hex => Ok(SessionId(id)),
            _ => Err(format!("{}: field tid holds '{text}', not 16 hex digits", self.name)),
        }
    }

    fn server(&self) -> Parsed<ServerId> {
        Ok(ServerId(self.number("server")?))
    }
}

/// An entry of a server list that several instances share, with machine kind and zone still as names.
struct Row {
    kind: String,
    weight: f64,
    server: ServerId,
    started_at: Nanos,
    cell: u32,
    state: ServerState,
    zone: String,
}

fn parse_row(line: &Line) -> Parsed<Row> {
    if line.name != "row" {
        return Err(format!("'{}' where a row of the list belongs", line.name));
    }
    Ok(Row {
        kind: line.get("type").unwrap_or("").to_owned(),
        weight: line.optional("nominal")?.unwrap_or(1.0),
        server: line.server()?,
        started_at: line.optional("started_at_ns")?.unwrap_or(0),
        cell: line.optional("cell")?.unwrap_or(0),
        state: match line.required("state")? {
            "1" => ServerState::Ready,
            "3" => ServerState::Draining,
            "0" => ServerState::Gone,
            other => return Err(format!("row: field state holds '{other}'")),
        },
        zone: line.get("locality").unwrap_or("").to_owned(),
    })
}

/// A controller and the names that its settings define.
struct Instance {
    controller: Controller,
    names: Names,
}

impl Instance {
    fn entries(&self, rows: &[Row]) -> Vec<ServerEntry> {
        let entry = |r: &Row| ServerEntry {
            server: r.server,
            state: r.state,
            kind: position(&self.names.kinds, &r.kind).unwrap_or(self.names.kinds.len()),
            weight: r.weight,
            cell: r.cell,
            zone: position(&self.names.zones, &r.zone).unwrap_or(self.names.zones.len() + 1) as u32,
            started_at: r.started_at,
        };
        rows.iter().map(entry).collect()
    }

    fn session_request(&self, line: &Line) -> Parsed<SessionRequest> {
        let class = line.required("tier_class")?;
        let class = position(&self.names.classes, class)
            .ok_or_else(|| format!("{}: the settings know no class '{class}'", line.name))?;
        Ok(SessionRequest {
            session: line.session()?,
            class: ClassId(class),
            title: TitleId(line.get("item").unwrap_or("").into()),
            base: line.index("base")?,
            spread: line.index("spread")?,
            top: line.index("best_rung")? as Rung,
            give_up_at: line.optional("not_after_ns")?.unwrap_or(0),
            returning: line.flag("came_back")? | line.flag("is_retry")? | line.flag("moved")?,
        })
    }

    /// The event that a line describes, or `None` if the decision module does not use it.
    fn event(&self, line: &Line, lists: &HashMap<u32, Vec<Row>>) -> Parsed<Option<Event>> {
        let event = match line.name {
            "peers_known" => {
                let kind = match line.required("kind")? {
                    "4" => ListKind::Delta,
                    "2" => ListKind::Full,
                    "3" => ListKind::Cached,
                    "0" => ListKind::Failed,
                    other => return Err(format!("peers_known: field kind holds '{other}'")),
                };
                let entries = if kind == ListKind::Failed {
                    Vec::new()
                } else {
                    let n: u32 = line.number("list")?;
                    self.entries(lists.get(&n).ok_or_else(|| format!("peers_known: there is no list {n}"))?)
                };
                Event::List { kind, entries }
            }
            "submit" => Event::Request(self.session_request(line)?),
            "adopted" => Event::Adopted { request: self.session_request(line)?, server: line.server()? },
            "begun" => Event::Started { session: line.session()? },
            "returned" => Event::Ended {
                session: line.session()?,
                server: line.server()?,
                outcome: match line.required("status")? {
                    "GOOD" => Outcome::Served,
                    "BAD" => Outcome::Error,
                    "FULL" => Outcome::Full,
                    "LATE" => Outcome::TimedOut,
                    "NOCONN" => Outcome::NoConnection,
                    "RST" => Outcome::Reset,
                    "CXL" => Outcome::Cancelled,
                    "NOP" => Outcome::NotSent,
                    other => return Err(format!("returned: field status holds '{other}'")),
                },
                finished: line.flag("terminal")?,
            },
            "lapsed" => Event::Left { session: line.session()? },
            "hint_update" => Event::Report {
                session: line.session()?,
                server: line.server()?,
                kind: match line.index("sort")? {
                    1 => ReportKind::Delivered,
                    2 => ReportKind::RungInForce,
                    3 => ReportKind::LinkUse,
                    4 => ReportKind::UplinkUse,
                    _ => return Ok(None),
                },
                value: line.number("amount")?,
            },
            "wakeup" => Event::Timer { token: line.number("tag")? },
            // The module neither sends probes nor exchanges messages with other fronts.
            "status_back" => {
                line.server()?;
                return Ok(None);
            }
            "neighbour_says" => {
                line.number::<u32>("from")?;
                return Ok(None);
            }
            other => return Err(format!("unknown message '{other}'")),
        };
        Ok(Some(event))
    }
}

fn print_action(out: &mut Vec<u8>, instance: u32, action: &Action) {
    let i = instance;
    let _ = match *action {
        Action::SetRung { session, rung } => writeln!(out, "pitch i={i} tid={:016x} step={rung}", session.0),
        Action::Send { session, server, timeout } => {
            writeln!(out, "issue i={i} tid={:016x} cap_ns={timeout} server={}", session.0, server.0)
        }
        Action::Refuse { session, retry_after } => {
            writeln!(out, "overload_reply i={i} tid={:016x} come_back_ns={retry_after}", session.0)
        }
        Action::Fail { session } => writeln!(out, "lose i={i} tid={:016x}", session.0),
        Action::SetTimer { after, token } => writeln!(out, "set_timer i={i} offset_ns={after} tag={token}"),
        Action::Subscribe => writeln!(out, "watch i={i} want=1"),
    };
}

/// Runs many controllers behind one pair of streams. They share nothing but the text of the server lists.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    lists: HashMap<u32, Vec<Row>>,
    pending: Option<(u32, usize, Vec<Row>)>,
    now: Option<Nanos>,
    line: usize,
}

impl Host {
    /// Handles one line and appends the answers to `reply`. Returns true when a batch has ended and `reply` is complete.
    ///
    /// # Errors
    ///
    /// The line is malformed or not allowed at this point.
    pub fn handle_line(&mut self, text: &str, reply: &mut Vec<u8>) -> Result<bool, WireError> {
        self.line += 1;
        self.handle_batch_line(text, reply).map_err(|what| WireError { line: self.line, what })
    }

    fn handle_batch_line(&mut self, text: &str, reply: &mut Vec<u8>) -> Parsed<bool> {
        let line = Line::parse(text)?;
        if let Some((list, left, mut rows)) = self.pending.take() {
            rows.push(parse_row(&line)?);
            if left > 1 {
                self.pending = Some((list, left - 1, rows));
            } else {
                self.lists.insert(list, rows);
            }
            return Ok(false);
        }
        let Some(now) = self.now else {
            return match line.name {
                "begin_batch" => {
                    self.now = Some(line.number("time_ns")?);
                    Ok(false)
                }
                "" => Ok(false),
                other => Err(format!("'{other}' outside a batch")),
            };
        };
        match line.name {
            "" => return Ok(false),
            "begin_batch" => return Err("begin_batch inside a batch".into()),
            "your_turn" => {
                self.now = None;
                reply.extend_from_slice(b"done\n");
                return Ok(true);
            }
            "ledger" => {
                let list = line.number("list")?;
                match line.number::<usize>("records")? {
                    0 => drop(self.lists.insert(list, Vec::new())),
                    n => self.pending = Some((list, n, Vec::new())),
                }
                return Ok(false);
            }
            _ => {}
        }
        let id: u32 = line.number("i")?;
        let mut actions = Vec::new();
        match line.name {
            "spawn" => {
                let deployment = read(line.required("settings")?).map_err(|e| e.to_string())?;
                let (settings, names) = (deployment.settings, deployment.names);
                let seed = line.number("seed")?;
                let controller =
                    Controller::new(settings, seed, now).map_err(|e| format!("settings: {e}"))?;
                self.instances.insert(id, Instance { controller, names });
            }
            "exit" => drop(self.instances.remove(&id)),
            _ => {
                let instance = self.instances.get_mut(&id).ok_or_else(|| format!("no instance {id} runs"))?;
                if let Some(event) = instance.event(&line, &self.lists)? {
                    instance.controller.handle(now, event, &mut actions);
                }
            }
        }
        actions.iter().for_each(|action| print_action(reply, id, action));
        Ok(false)
    }
}

/// Reads batches from `input` and writes the answers to `output` until the input ends.
///
/// # Errors
///
/// Reading or writing failed, a line is malformed, or the input ended inside a batch.
pub fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), Box<dyn std::error::Error>> {
    let mut host = Host::default();
    let mut reply = Vec::new();
    let mut text = Vec::new();
    loop {
        text.clear();
        if input.read_until(b'\n', &mut text)? == 0 {
            return match host.now {
                None => Ok(()),
                Some(_) => Err("the input ended inside a batch".into()),
            };
        }
        if text.last() == Some(&b'\n') {
            text.pop();
        }
        let line = std::str::from_utf8(&text)
            .map_err(|_| WireError { line: host.line + 1, what: "not UTF-8 text".into() })?;
        if host.handle_line(line, &mut reply)? {
            output.write_all(&reply)?;
            output.flush()?;
            reply.clear();
        }
    }
}
