//! Membership of a process, and the command that shows a member's view.

use crate::desk::{self, Desk};
use crate::ground::{Failure, at, beside, checked, given, run, told};
use micadyke_config::Diagnostic;
use micadyke_config::sexp;
use micadyke_config::units::Unit;
use micadyke_directory::settings::Terms;
use micadyke_membership::frame::{FrameCodec, MIN_KEY_BYTES};
use micadyke_membership::server_report::ServerReport;
use micadyke_membership::shell::{Connections, TimedShare};
use micadyke_membership::status::{RecoveryStatus, Row, Summary};
use micadyke_membership::{
    Change, MAX_MEMBERS, Member as Known, Message, MessageChannel, Settings, State, shell,
};
use micadyke_node::shell::Peers;
use micadyke_recovery::phases::{MembershipEvent, Phase};
use micadyke_recovery::progress::{Progress, ProgressObserver};
use micadyke_recovery::record::{Record, StoredState as Before};
use micadyke_recovery::writer::StoreWriter;
use micadyke_subset::settings::SubsetSettings as Choices;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};

/// Settings and key of a member.
pub struct Member {
    settings: Settings,
    seal: FrameCodec,
    /// A directory is kept with the others.
    directory: Option<Terms>,
    /// A node chooses servers with the others.
    chooses: Option<Choices>,
}

impl Member {
    /// Its name.
    pub fn name(&self) -> &str {
        &self.settings.name
    }

    /// Takes this for its start: a store has counted it.
    pub fn starts(&mut self, start: u64) {
        self.settings.start = Some(start);
    }

    /// Reads both; `name` stands in where the settings give none.
    pub fn load(file: &Path, name: Option<&str>) -> Result<Self, Failure> {
        let (settings, chooses) = checked(file, |text, file| read(text, file, name))?.map_err(told)?;
        let directory = checked(file, micadyke_directory::settings::read)?.map_err(told)?;
        let path = beside(file, &settings.key_file);
        let key = std::fs::read(&path).map_err(at(&path))?;
        let seal = FrameCodec::new(&settings.fleet, key.trim_ascii());
        let seal = seal
            .ok_or_else(|| format!("{}: a key of {MIN_KEY_BYTES} bytes at least is due", path.display()))?;
        Ok(Member { settings, seal, directory, chooses })
    }
}

/// Reads membership's settings, and how a node chooses servers with the others, from one text.
pub fn read(
    text: &str, file: &str, name: Option<&str>,
) -> Result<(Settings, Option<Choices>), Vec<Diagnostic>> {
    let chooses = micadyke_subset::settings::read(text, file)?;
    Ok((micadyke_membership::settings::read(text, file, name)?, chooses))
}

/// Whether a file holds settings of membership.
pub fn is_membership(file: &Path) -> bool {
    let nodes = std::fs::read_to_string(file).ok().and_then(|t| sexp::read(&t).ok()).unwrap_or_default();
    nodes.first().and_then(|n| n.list()?.first()?.atom()) == Some("membership")
}

/// A member's side of what it and a node tell each other.
#[derive(Default)]
pub struct Neighbours {
    parts: Option<watch::Sender<Option<TimedShare>>>,
    heard: Option<mpsc::Sender<ServerReport>>,
    tell: Option<mpsc::Receiver<ServerReport>>,
    fleet: Option<mpsc::Sender<MembershipEvent>>,
    keeper: Option<Rc<StoreWriter>>,
    returning: Option<watch::Receiver<Option<RecoveryStatus>>>,
    directory: Option<DirectoryShell>,
}

/// A directory that is to run beside the member: its letters, and membership's end of them.
struct DirectoryShell {
    desk: Rc<Desk>,
    letters: mpsc::Receiver<Message>,
    post: MessageChannel,
}

impl Neighbours {
    /// No directory is kept: nothing here tells it of sessions.
    pub fn without_directory(&mut self) {
        if self.directory.take().is_some() {
            tracing::warn!("no directory is kept here: only nodes have one");
        }
    }

    /// Each settled view is kept for the next start.
    pub fn keeps(&mut self, keeper: Rc<StoreWriter>) {
        self.keeper = Some(keeper);
    }

    /// How far the recovery is that begins with what was kept is told to whoever asks the member.
    pub fn watches(&mut self, kept: &mut Before) {
        let (tell, told) = watch::channel(None);
        self.returning = Some(told);
        kept.observer = ProgressObserver::new(move |stage| {
            let now = in_words(stage);
            tell.send_if_modified(|last: &mut Option<RecoveryStatus>| {
                let same = last.as_ref().map(|r| (&r.phase, &r.waits_for))
                    == now.as_ref().map(|r| (&r.phase, &r.waits_for));
                if !same {
                    *last = now;
                }
                !same
            });
        });
    }
}

/// A stage as people see it; nothing in service.
pub fn in_words(Progress { phase, waits_for, left }: Progress) -> Option<RecoveryStatus> {
    let phase = match phase {
        Phase::List => "list",
        Phase::View => "view",
        Phase::Servers => "servers",
        Phase::Parts => "parts",
        Phase::Serving => return None,
    };
    Some(RecoveryStatus { phase: phase.to_owned(), waits_for, left_ms: left / 1_000_000 })
}

/// Pieces of news that wait between member and node; more are lost, as datagrams may be.
const NEWS: usize = 256;

/// Changes of the view that wait between member and node: all members, with room for each to change its mind. Recovery
/// that misses one waits to its limit.
const FACTS: usize = 2 * MAX_MEMBERS;

/// Both sides of what a member and a node tell each other; none where there is no member.
pub fn others(member: Option<&Member>) -> (Neighbours, Option<Peers>) {
    let Some(member) = member else { return (Neighbours::default(), None) };
    let (part, parts) = watch::channel(None);
    let (told, heard) = mpsc::channel(NEWS);
    let (tell, news) = mpsc::channel(NEWS);
    let shares = member.settings.shares.is_some();
    let (seen, fleet) = mpsc::channel(FACTS);
    let (mut kept, mut directed) = (None, None);
    if let Some(terms) = &member.directory {
        let (desk, way, letters, post) = desk::open(&member.settings.name, terms.clone());
        (kept, directed) = (Some(DirectoryShell { desk, letters, post }), Some(way));
    }
    let neighbours = Neighbours {
        directory: kept,
        parts: Some(part),
        heard: Some(told),
        tell: Some(news),
        fleet: Some(seen),
        ..Neighbours::default()
    };
    let chooses = member.chooses.clone().map(|terms| (member.name().to_owned(), terms));
    let parts = shares.then_some(parts);
    (
        neighbours,
        Some(Peers {
            shares: parts,
            reports_in: heard,
            reports_out: tell,
            membership: fleet,
            directory: directed,
            coordination: chooses,
        }),
    )
}

/// Runs a member beside `work`, where one is to run: it takes its leave when the work is over. Where it cannot listen,
/// nothing is served.
pub async fn with_member<T>(
    member: Option<Member>, neighbours: Neighbours, work: impl Future<Output = T>,
) -> Result<T, Failure> {
    let Some(Member { mut settings, seal, .. }) = member else { return Ok(work.await) };
    let (stop, stopped) = oneshot::channel();
    let Neighbours { parts, heard, tell, fleet, keeper, returning, directory } = neighbours;
    let mut living = BTreeMap::from([(settings.name.clone(), settings.start.unwrap_or_default())]);
    let mut epoch = 0;
    let (desk, post) = match directory {
        Some(DirectoryShell { desk, letters, post }) => {
            desk.starts(*settings.start.get_or_insert_with(shell::start_by_clock));
            tokio::task::spawn_local(desk.clone().run(letters));
            (Some(desk), post)
        }
        // Nothing stands on the view that would send letters.
        None => (None, MessageChannel::pair().0),
    };
    let (tools, key) = (desk.clone(), seal.clone());
    let tools = async move {
        match tools {
            Some(desk) => desk.listen(key).await,
            None => std::future::pending().await,
        }
    };
    let told = move |change: &Change, zero: Instant| {
        desk.iter().for_each(|d| d.seen(change));
        let mut facts = Vec::new();
        match change {
            Change::Up(m) | Change::Renewed { new: m, .. } => {
                living.insert(m.name.clone(), m.start);
                facts.push(MembershipEvent::Alive(m.name.clone(), m.start));
            }
            Change::Rejoined(m) => drop(living.insert(m.name.clone(), m.start)),
            Change::Down(m) | Change::Left(m) => {
                living.remove(&m.name);
                facts.push(MembershipEvent::Gone(m.name.clone()));
            }
            Change::Settled { .. } => {
                if let Some(keeper) = &keeper {
                    let at = Duration::from_millis(shell::start_by_clock()).as_nanos() as u64;
                    keeper.save(Record::View { at, members: living.clone(), epoch });
                }
                facts.push(MembershipEvent::ViewSettled(true));
            }
            Change::Unsettled(_) => facts.push(MembershipEvent::ViewSettled(false)),
            Change::ShareChanged(p) if p.leased > 0.0 => {
                epoch = p.epoch;
                facts.push(MembershipEvent::ShareLeased);
            }
            _ => {}
        }
        facts.into_iter().for_each(|f| drop(fleet.as_ref().map(|to| to.try_send(f))));
        hand_over(change, zero, parts.as_ref(), heard.as_ref());
    };
    // Where nobody tells anything, the channel is closed and never heard of.
    let news = tell.unwrap_or_else(|| mpsc::channel(1).1);
    let returning = returning.unwrap_or_else(|| watch::channel(None).1);
    let connections = Connections { reports: news, messages: post, recovery: returning };
    let view =
        tokio::task::spawn_local(shell::run(settings, seal, rand::random(), connections, stopped, told));
    tokio::pin!(view, work, tools);
    tokio::select! {
        ended = &mut view => {
            ended??;
            Err("membership ended by itself".into())
        }
        failed = &mut tools => {
            failed?;
            Err("the directory's desk ended by itself".into())
        }
        done = &mut work => {
            let _ = stop.send(());
            view.await??;
            Ok(done)
        }
    }
}

/// Hands parts and news from a member's side to its node's.
fn hand_over(
    change: &Change, zero: Instant, parts: Option<&watch::Sender<Option<TimedShare>>>,
    heard: Option<&mpsc::Sender<ServerReport>>,
) {
    match change {
        Change::ShareChanged(p) => {
            // Without a lease there is no end to tell of.
            let until = if p.leased > 0.0 { zero + Duration::from_nanos(p.lease_ends_at) } else { zero };
            let part = TimedShare { guaranteed: p.guaranteed, leased: p.leased, until };
            let _ = parts.map(|to| to.send(Some(part)));
        }
        Change::ServerReported { report, .. } => drop(heard.map(|to| to.try_send(report.clone()))),
        _ => {}
    }
}

/// Members are asked for so long at most how far their return is: one that is dead and not known for it should not hold up
/// the table.
const RETURNING: Duration = Duration::from_secs(1);
/// How far the returns of those are that answered.
pub type Told = BTreeMap<String, Option<RecoveryStatus>>;

/// Shows a member's view, and how far the return of each is.
pub fn members(
    address: SocketAddr, membership: &Path, json: bool, watch: bool, wait: &str,
) -> Result<ExitCode, Failure> {
    // Any member's name does: only fleet and key are used.
    let Member { seal, .. } = Member::load(membership, Some("asker"))?;
    let wait = Duration::from_nanos(given("--wait", wait, Unit::Time)? as u64);
    loop {
        let (summary, rows) = run(shell::fetch_view(address, &seal, wait))??;
        let living = rows.iter().filter(|r| [State::Alive, State::Suspect].contains(&r.state));
        let mut me = summary.me.clone();
        me.addr = address;
        let asked: Vec<Known> = living.map(|r| r.member.clone()).chain([me]).collect();
        let told = run(shell::fetch_recovery(&asked, &seal, wait.min(RETURNING)))??;
        match json {
            true => println!("{}", as_json(&summary, &rows, &told)),
            false => print!("{}", as_table(&summary, &rows, &told)),
        }
        if !watch {
            return Ok(ExitCode::SUCCESS);
        }
        std::thread::sleep(Duration::from_secs(1));
    }
}

/// What is to be done beyond asking.
pub struct Act {
    /// Withdraw, for this time.
    pub withdraw: Option<String>,
    /// Lift.
    pub lift: bool,
    /// A start of a member is accounted for.
    pub accounted: Option<u64>,
}

/// Asks the directory.
pub fn ask(
    (kind, text): (&'static str, String), address: SocketAddr, membership: &Path, json: bool, wait: &str,
    act: Act,
) -> Result<ExitCode, Failure> {
    let Member { seal, .. } = Member::load(membership, Some("asker"))?;
    let time = |option, text: &str| given(option, text, Unit::Time).map(|t| Duration::from_nanos(t as u64));
    let wait = time("--wait", wait)?;
    let span = act.withdraw.as_deref().map(|t| time("--withdraw", t)).transpose()?;
    let does = match (span, act.lift, act.accounted) {
        (Some(_), ..) => Some("withdraw"),
        (_, true, _) => Some("lift"),
        (.., Some(_)) => Some("accounted"),
        _ => None,
    };
    let (span, start) = (span.unwrap_or_default(), act.accounted.unwrap_or_default());
    let wish = desk::Wish { kind, text, act: does, span, start };
    let answer = run(desk::ask(address, &seal, &wish, wait))??;
    match json {
        true => println!("{answer}"),
        false => print!("{}", desk::in_words(&answer)),
    }
    let told = &answer["answer"];
    if let Some(error) = told["error"].as_str() {
        let advice = told["advice"].as_str().unwrap_or_default();
        return Err(format!("{error}\n{advice}").into());
    }
    let short = told["whole"] == false || told["ended_everywhere"] == false;
    Ok(if short { ExitCode::from(3) } else { ExitCode::SUCCESS })
}

fn state(row: &Row) -> String {
    format!("{:?}", row.state).to_lowercase()
}

/// What a living member's column says: nothing in service, how far it is, or that it gave no answer.
fn phase(told: &Told, name: &str) -> String {
    match told.get(name) {
        Some(None) => String::new(),
        Some(Some(r)) => format!("{}: {}; {} s at most", r.phase, r.waits_for, r.left_ms.div_ceil(1000)),
        None => "no answer".into(),
    }
}

/// The view as JSON.
pub fn as_json(summary: &Summary, rows: &[Row], told: &Told) -> Value {
    let back = |name: &str| {
        let back = told.get(name)?.as_ref()?;
        Some(json!({"phase": back.phase, "waits_for": back.waits_for, "left_ms": back.left_ms}))
    };
    let row = |r: &Row| {
        json!({"name": r.member.name, "state": state(r), "address": r.member.addr.to_string(), "start": r.member.start,
            "turn": r.member.turn, "since_ms": r.since_ms, "heard_ms": r.heard_ms,
            "digest": r.digest.map(|d| format!("{d:016x}")), "answered": told.contains_key(&r.member.name),
            "recovery": back(&r.member.name)})
    };
    let (me, c) = (&summary.me, &summary.counts);
    json!({"name": me.name, "recovery": back(&me.name), "start": me.start, "turn": me.turn, "living": summary.living,
        "digest": format!("{:016x}", summary.digest), "settled": summary.unsettled.is_none(), "why_not": summary.unsettled,
        "part": summary.part.as_ref().map(|p| json!({"always": p.always, "leased": p.leased, "left_ms": p.left_ms,
            "epoch": p.epoch.as_ref().map(|e| json!({"number": e.0, "leader": e.1})), "members": p.members})),
        "members": rows.iter().map(row).collect::<Vec<_>>(),
        "counts": {"sent": c.sent, "sent_bytes": c.sent_bytes, "taken": c.taken, "held_back": c.held_back,
            "dropped": c.dropped, "outranked": c.outranked, "given_up": c.given_up, "rejoined": c.rejoined,
            "stood_still": c.stood_still}})
}

/// The view as people read it, a line for each member.
pub fn as_table(summary: &Summary, rows: &[Row], told: &Told) -> String {
    let mut text = String::new();
    let settled =
        summary.unsettled.as_ref().map_or("settled".to_owned(), |why| format!("not settled: {why}"));
    let (me, digest) = (&summary.me, summary.digest);
    let _ = writeln!(
        text,
        "{} start {}.{}: {} living, digest {digest:016x}, {settled}",
        me.name, me.start, me.turn, summary.living
    );
    if let Some(Some(_)) = told.get(&me.name) {
        let _ = writeln!(text, "{} comes back, {}", me.name, phase(told, &me.name));
    }
    let _ = writeln!(
        text,
        "{:<20} {:<8} {:<22} {:>16} {:>9} {:>9}  {:<16}  recovery",
        "name", "state", "address", "start", "since", "heard", "digest"
    );
    if let Some(p) = &summary.part {
        let epoch = p.epoch.as_ref().map_or("none".into(), |e| format!("{} by {}", e.0, e.1));
        let _ = writeln!(
            text,
            "part of cold budgets {:.4} always, {:.4} leased for {} ms; epoch {epoch}, {} members",
            p.always, p.leased, p.left_ms, p.members
        );
    }
    let seconds = |ms: u64| format!("{}.{}s", ms / 1000, ms % 1000 / 100);
    for r in rows {
        let start = format!("{}.{}", r.member.start, r.member.turn);
        let heard = r.heard_ms.map_or("-".into(), seconds);
        let digest = r.digest.map_or("-".into(), |d| format!("{d:016x}"));
        let living = [State::Alive, State::Suspect].contains(&r.state);
        let phase = if living { phase(told, &r.member.name) } else { String::new() };
        let line = format!(
            "{:<20} {:<8} {:<22} {start:>16} {:>9} {heard:>9}  {digest:<16}  {phase}",
            r.member.name,
            state(r),
            r.member.addr.to_string(),
            seconds(r.since_ms)
        );
        let _ = writeln!(text, "{}", line.trim_end());
    }
    text
}
