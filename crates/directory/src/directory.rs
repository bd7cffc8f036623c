//! The directory: its members, its map and its turn.
//!
//! What it does stands beside: [`book`] and copies of others' books, [`questions`], withdrawals ([`decrees`]).

use crate::answer::Answer;
use crate::asking::{Page, Question};
use crate::range_index::{Line, Place, RangeIndex, Sum, add, place};
use crate::wire::{LONGEST, Message, read, write};
use crate::withdrawal::{FOLLOWERS, Progress, Said, Table, Track};
use crate::{Key, MS, Nanos, Owners, Point, Rendezvous, SECOND, folded, hash};
use doubt::Doubt;
use micadyke_deadline::Deadline;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

mod book;
mod decrees;
mod doubt;
mod questions;

/// Bytes a second where none are stated: half of membership's, which carries them and adds its frame.
pub(crate) const RATE: u64 = 32_000;
/// Lines held of others, and lines of the own book, where nothing is stated.
pub(crate) const LINES: usize = 200_000;
/// Bytes of a lane that may be sent beyond its rate at one time.
const BURST: u64 = 16 << 10;
/// A beat's bytes, for reckoning how many fit into their lane.
const BEAT: u64 = 80;
/// Each member is beaten so often where the rate allows it.
const ROUND: Nanos = SECOND;
/// A member's book is accounted for while its word is at most so many rounds old: an echo takes up to two, one beat each
/// way may be lost.
const COVERED: u64 = 4;
/// And so much, for ways and turns.
const SLACK: Nanos = SECOND;
/// Changes of the view within this time make one change of the map.
const MAP_LAG: Nanos = 100 * MS;
/// The longest name of a zone that is carried, in bytes.
pub(crate) const ZONE: usize = 32;
/// A member of which nothing was heard for so many rounds may be dead.
const ROUNDS_SILENT: u64 = 3;
/// A timer is late by so much where the loop is not.
const GRAIN: Nanos = 2 * MS;
/// While an answer may come, the own loop is looked at so often: a sixteenth of what the youngest question has taken, and no
/// sooner than this. What is learned from leaves out spans of which the loop was late in an eighth.
const PULSE: Nanos = 5 * MS;
const PULSES: u64 = 16;
/// Maps that are remembered: older words of members' books count for nothing.
const MAPS: usize = 16;
/// Room for lines in a message beside its head.
const ROOM: usize = LONGEST - 128;
/// Starts that were given up and are not accounted for, at most.
const LOST: usize = 1024;

/// What is sent has its own part of the rate each, so that none starves another: questions and answers, withdrawals,
/// beats, lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lane {
    Ask,
    Withdraw,
    Beat,
    Lines,
}

/// Parts of the rate, in hundredths.
const LANES: [u64; 4] = [40, 10, 20, 30];

/// Time from one beat to the next, to so many others.
fn interval(rate: u64, zone: &str, peers: usize) -> Nanos {
    let bytes = BEAT + zone.len() as u64;
    let by_rate = bytes * SECOND * 100 / (rate * LANES[Lane::Beat as usize]).max(1);
    by_rate.max(ROUND / peers.max(1) as u64)
}

/// Time in which so many others are beaten once.
fn round(rate: u64, zone: &str, peers: usize) -> Nanos {
    interval(rate, zone, peers) * peers.max(1) as u64
}

/// See [`Directory::bound`].
pub(crate) fn bound(rate: u64, zone: &str, peers: usize) -> Nanos {
    COVERED * round(rate, zone, peers) + SLACK
}

/// What a directory is told at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// This member's name in the view.
    pub name: String,
    /// Its start.
    pub start: u64,
    /// Its zone, told to the others; empty where there are none.
    pub zone: String,
    /// Bytes a second sent at most, beyond 16 KiB at one time for each of four kinds.
    pub rate: u64,
    /// Lines of other nodes' books held at most, and of the own book as many.
    pub lines: usize,
}

impl Settings {
    /// Settings with the usual figures: 32 kB/s, 200,000 lines.
    ///
    /// ```
    /// let settings = micadyke_directory::Settings { rate: 64_000, ..micadyke_directory::Settings::new("n1", 1) };
    /// assert_eq!((settings.lines, settings.zone.as_str()), (200_000, ""));
    /// ```
    pub fn new(name: &str, start: u64) -> Self {
        Settings { name: name.into(), start, zone: String::new(), rate: RATE, lines: LINES }
    }
}

/// A session in the own book.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Session {
    /// Its title.
    pub title: String,
    /// Its viewer; empty where nobody knows.
    pub viewer: String,
    /// Its server, by its id in the list.
    pub server: String,
}

impl Session {
    /// A session.
    ///
    /// ```
    /// // Nobody knows its viewer.
    /// let session = micadyke_directory::Session::new("news", "", "s3");
    /// assert_eq!((session.title.as_str(), session.viewer.as_str()), ("news", ""));
    /// ```
    pub fn new(title: &str, viewer: &str, server: &str) -> Self {
        Session { title: title.into(), viewer: viewer.into(), server: server.into() }
    }

    /// Its lines: a key and the server each.
    fn places(&self) -> Vec<Place> {
        let server = folded(self.server.clone());
        let mut places = vec![
            place(Key::Title(self.title.clone()).folded(), server.clone()),
            place(Key::Server(server.clone()), String::new()),
        ];
        if !self.viewer.is_empty() {
            places.push(place(Key::Viewer(self.viewer.clone()).folded(), server));
        }
        places
    }
}

/// A change of the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Seen {
    /// It lives, as this start.
    Up {
        /// Its name.
        name: String,
        /// Its start.
        start: u64,
        /// Its zone.
        zone: String,
    },
    /// It did not answer.
    Suspected(String),
    /// It is suspected no longer.
    Cleared(String),
    /// It was given up.
    Down(String),
    /// It took its leave: its sessions are over, or are another's.
    Left(String),
    /// The view is settled, or is so no longer: until it is, no withdrawal that is followed here has ended everywhere.
    Settled(bool),
}

/// Something that happened.
pub enum Input<'a> {
    /// A session stands in the own book.
    Started(&'a Session),
    /// It does so no longer.
    Ended(&'a Session),
    /// A member says something.
    Message {
        /// Its name, as the carrier vouches for it.
        from: &'a str,
        /// What.
        bytes: &'a [u8],
    },
    /// The view changed.
    View(Seen),
    /// Another map is in force; without one, rendezvous over those that live.
    Map(Box<dyn Owners>),
    /// The node looked in its own book, as [`Output::End`] asked: so many sessions of this title or viewer are left, those
    /// that are being set up and those whose server has not confirmed their end included.
    Left {
        /// The title or viewer.
        what: &'a Key,
        /// How many.
        sessions: u64,
    },
    /// No server holds a session of this start any more.
    Accounted {
        /// The member.
        name: &'a str,
        /// Its start that was given up.
        start: u64,
    },
    /// [`Directory::wake_at`] is due.
    Wake,
}

/// Something to be done, or told.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// A message is to be sent.
    Send {
        /// The member.
        to: String,
        /// What.
        bytes: Vec<u8>,
    },
    /// The question of this number is answered.
    Answered {
        /// Its number.
        id: u64,
        /// The answer.
        answer: Answer,
    },
    /// The node is to look in its own book for sessions of this title or viewer, to end them, and to say how many are
    /// left: [`Input::Left`]. Asked again while some are.
    End {
        /// The title or viewer.
        what: Key,
    },
    /// A withdrawal that is followed here came further, or fell back.
    Progress(Progress),
}

/// Counts since the start.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Messages sent, and their bytes.
    pub sent: u64,
    /// See `sent`.
    pub sent_bytes: u64,
    /// Not sent, for the part of the rate was used up: questions, withdrawals, beats, lines.
    pub held_back: [u64; 4],
    /// Messages that could not be read, or whose sender does not live in the view as that start.
    pub dropped: u64,
    /// Lines that found no room.
    pub refused: u64,
    /// Ranges of books that were filled again.
    pub filled: u64,
    /// Answers that were whole, and that were partial.
    pub whole: u64,
    /// See `whole`.
    pub partial: u64,
    /// Askers that were told that too many ask.
    pub busy: u64,
}

/// What tests take out.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Feature {
    /// Only books that were found equal count as accounted for.
    Cover,
    /// A word of a book is as old as its echo says.
    Age,
    /// An answer is whole where all are covered.
    Judge,
    /// Copies are compared and filled again.
    Repair,
    /// Late lines do not bring back what is gone.
    Exact,
    /// A lifted withdrawal outranks the withdrawal.
    Lift,
    /// Who was given up keeps a withdrawal open.
    Lost,
    /// A withdrawal is known to those that join later.
    Gossip,
}

/// A member that lives, other than this one.
#[derive(Debug)]
struct Peer {
    start: u64,
    zone: String,
    suspected: bool,
    /// When anything was heard of it; spans in which the own loop was late count for nothing.
    heard_at: Nanos,
    /// Its time, as last heard.
    mark: u64,
    /// Its withdrawals were others at its last beat; and when it was last told all.
    gossip_at: Nanos,
    /// The copy of its book, as far as it is owned here.
    replica: RangeIndex,
    /// The last change heard of.
    seq: u64,
    /// The copy was found equal after this change, in that map: what is older and not there is gone.
    exact: (u64, u64),
    /// It was found equal to its book of then or later, in that map.
    covered: Option<(Nanos, u64)>,
    /// Its part of the own book.
    part: Sum,
    /// Lines of the own book that it is to hear of.
    pending: BTreeSet<Place>,
}

/// A line of the own book.
#[derive(Debug)]
struct Own {
    line: Line,
    owners: Vec<Arc<str>>,
}

/// A member's side of the directory.
pub struct Directory {
    settings: Settings,
    deadline: Box<dyn Deadline>,
    now: Nanos,
    peers: BTreeMap<String, Peer>,
    /// Starts that were given up and are not accounted for; and those that are.
    lost: BTreeSet<(String, u64)>,
    accounted: BTreeSet<(String, u64)>,
    settled: bool,
    /// There were more than are kept.
    more_lost: bool,
    own: BTreeMap<Place, Own>,
    seq: u64,
    /// Changes that found no room in the own book's index: it is never equal to a copy again.
    short: bool,
    /// Lines of others that are held.
    held: usize,
    maps: VecDeque<(u64, Box<dyn Owners>)>,
    generation: u64,
    /// The map is given from outside.
    given: bool,
    map_at: Nanos,
    beat_at: Nanos,
    cursor: String,
    /// Who is to be beaten ahead of its turn.
    soon: BTreeSet<String>,
    ahead: bool,
    flush_at: Nanos,
    questions: BTreeMap<u64, Question>,
    question: u64,
    /// When the own loop is looked at.
    pulse_at: Nanos,
    doubt: Doubt,
    table: Table,
    tracks: BTreeMap<Key, Track>,
    look_at: Nanos,
    lanes: [(u64, Nanos); 4],
    counts: Counts,
    without: Option<Feature>,
    out: Vec<Output>,
}

impl std::fmt::Debug for Directory {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Directory").field("name", &self.settings.name).finish_non_exhaustive()
    }
}

impl Directory {
    /// The directory of a member that has just started, and knows of no other.
    ///
    /// ```
    /// # use micadyke_deadline::FixedDeadline;
    /// # use micadyke_directory::*;
    /// let alone = Directory::new(Settings::new("n1", 1), Box::new(FixedDeadline(50 * MS)), 0);
    /// assert_eq!((alone.members(), alone.wake_at()), (1, Nanos::MAX));
    /// ```
    pub fn new(settings: Settings, deadline: Box<dyn Deadline>, now: Nanos) -> Self {
        let map: Box<dyn Owners> = Box::new(Rendezvous::new([settings.name.as_str()]));
        Directory {
            deadline,
            now,
            peers: BTreeMap::new(),
            lost: BTreeSet::new(),
            accounted: BTreeSet::new(),
            settled: false,
            more_lost: false,
            own: BTreeMap::new(),
            seq: 0,
            short: false,
            held: 0,
            maps: VecDeque::from([(0, map)]),
            generation: 0,
            given: false,
            map_at: Nanos::MAX,
            beat_at: now,
            cursor: String::new(),
            soon: BTreeSet::new(),
            ahead: false,
            flush_at: Nanos::MAX,
            questions: BTreeMap::new(),
            question: 0,
            pulse_at: Nanos::MAX,
            doubt: Doubt::default(),
            table: Table::default(),
            tracks: BTreeMap::new(),
            look_at: Nanos::MAX,
            lanes: [(BURST, now); 4],
            counts: Counts::default(),
            without: None,
            out: Vec::new(),
            settings,
        }
    }

    /// Takes a feature out, for tests that show what it is good for.
    #[doc(hidden)]
    pub fn without(mut self, feature: Option<Feature>) -> Self {
        self.without = feature;
        self
    }

    fn has(&self, feature: Feature) -> bool {
        self.without != Some(feature)
    }

    /// What was counted.
    ///
    /// ```
    /// # use micadyke_deadline::FixedDeadline;
    /// # use micadyke_directory::*;
    /// let mut alone = Directory::new(Settings::new("n1", 1), Box::new(FixedDeadline(50 * MS)), 0);
    /// let mut out = Vec::new();
    /// alone.handle(0, Input::Started(&Session::new("news", "v1", "s3")), &mut out);
    /// alone.ask(MS, Key::Title("news".into()), SECOND, &mut out)?;
    /// assert_eq!((alone.counts().whole, alone.counts().partial, alone.counts().sent), (1, 0, 0));
    /// # Ok::<(), Error>(())
    /// ```
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Sizes of the books: lines of the own, lines of others, questions, withdrawals.
    ///
    /// ```
    /// # use micadyke_deadline::FixedDeadline;
    /// # use micadyke_directory::*;
    /// let mut alone = Directory::new(Settings::new("n1", 1), Box::new(FixedDeadline(50 * MS)), 0);
    /// let mut out = Vec::new();
    /// alone.handle(0, Input::Started(&Session::new("news", "v1", "s3")), &mut out);
    /// // A line each for its title, its viewer and its server.
    /// assert_eq!(alone.books(), [3, 0, 0, 0]);
    /// ```
    pub fn books(&self) -> [usize; 4] {
        [self.own.len(), self.held, self.questions.len(), self.table.len()]
    }

    /// Living members, this one included.
    ///
    /// ```
    /// # use micadyke_deadline::FixedDeadline;
    /// # use micadyke_directory::*;
    /// let mut alone = Directory::new(Settings::new("n1", 1), Box::new(FixedDeadline(50 * MS)), 0);
    /// let mut out = Vec::new();
    /// let up = Seen::Up { name: "n2".into(), start: 7, zone: "east".into() };
    /// alone.handle(0, Input::View(up), &mut out);
    /// assert_eq!(alone.members(), 2);
    /// ```
    pub fn members(&self) -> usize {
        self.peers.len() + 1
    }

    /// Time in which each living member is beaten once.
    fn round(&self) -> Nanos {
        round(self.settings.rate, &self.settings.zone, self.peers.len())
    }

    fn interval(&self) -> Nanos {
        interval(self.settings.rate, &self.settings.zone, self.peers.len())
    }

    /// The bound: what stood in a living member's book for longer than that before a question was asked, and still does, is
    /// in the answer if that is whole. Four rounds of beats and a second: at 32 kB/s 5 s for a fleet of 80 and
    /// fewer, 16 s for 300.
    ///
    /// ```
    /// use micadyke_deadline::FixedDeadline;
    /// use micadyke_directory::{Directory, MS, SECOND, Settings};
    ///
    /// let alone = Directory::new(Settings::new("n1", 1), Box::new(FixedDeadline(50 * MS)), 0);
    /// assert_eq!(alone.bound(), 5 * SECOND);
    /// ```
    pub fn bound(&self) -> Nanos {
        bound(self.settings.rate, &self.settings.zone, self.peers.len())
    }

    /// Digest of this member's copy of a member's book, or of its own book as far as it owns it; and of how many lines.
    ///
    /// ```
    /// # use micadyke_deadline::FixedDeadline;
    /// # use micadyke_directory::*;
    /// let mut alone = Directory::new(Settings::new("n1", 1), Box::new(FixedDeadline(50 * MS)), 0);
    /// let mut out = Vec::new();
    /// alone.handle(0, Input::Started(&Session::new("news", "v1", "s3")), &mut out);
    /// assert_eq!(alone.digest("n1").map(|d| d.1), Some(3));
    /// assert_eq!(alone.digest("n2"), None);
    /// ```
    pub fn digest(&self, name: &str) -> Option<(u64, u32)> {
        if name == self.settings.name {
            let mine = self.own.values().filter(|o| o.owners.iter().any(|w| **w == *name));
            return Some(mine.fold((0, 0), |sum, o| add(sum, o.line.mark)));
        }
        self.peers.get(name).map(|p| p.replica.sum())
    }

    /// Digest of that part of the own book that a member owns.
    ///
    /// ```
    /// # use micadyke_deadline::FixedDeadline;
    /// # use micadyke_directory::*;
    /// let mut alone = Directory::new(Settings::new("n1", 1), Box::new(FixedDeadline(50 * MS)), 0);
    /// let mut out = Vec::new();
    /// let up = Seen::Up { name: "n2".into(), start: 7, zone: "east".into() };
    /// alone.handle(0, Input::View(up), &mut out);
    /// assert_eq!((alone.part("n2"), alone.part("n3")), (Some((0, 0)), None));
    /// ```
    pub fn part(&self, name: &str) -> Option<(u64, u32)> {
        self.peers.get(name).map(|p| p.part)
    }

    /// Digest of a range of points over all books that are copied here; the same at both owners of a range once they have
    /// heard the same.
    ///
    /// ```
    /// # use micadyke_deadline::FixedDeadline;
    /// # use micadyke_directory::*;
    /// let mut alone = Directory::new(Settings::new("n1", 1), Box::new(FixedDeadline(50 * MS)), 0);
    /// let mut out = Vec::new();
    /// alone.handle(0, Input::Started(&Session::new("news", "v1", "s3")), &mut out);
    /// let point = Key::Title("news".into()).point();
    /// assert_eq!(alone.range(0, Point::MAX).1, 3);
    /// assert_eq!(alone.range(0, point - 1).1 + alone.range(point, Point::MAX).1, 3);
    /// ```
    pub fn range(&self, first: Point, last: Point) -> (u64, u32) {
        let within = |place: &Place| (first..=last).contains(&place.1.point());
        let copies =
            self.peers.values().flat_map(|p| p.replica.all()).filter(|l| within(l.0)).map(|l| l.1.mark);
        let me = self.settings.name.as_str();
        let mine = self.own.iter().filter(|o| within(o.0) && o.1.owners.iter().any(|w| **w == *me));
        copies.chain(mine.map(|o| o.1.line.mark)).fold((0, 0), add)
    }

    /// The owners of a key, by the map in force.
    ///
    /// ```
    /// # use micadyke_deadline::FixedDeadline;
    /// # use micadyke_directory::*;
    /// let alone = Directory::new(Settings::new("n1", 1), Box::new(FixedDeadline(50 * MS)), 0);
    /// assert_eq!(alone.owners(&Key::Server("s3".into())), ["n1"]);
    /// ```
    pub fn owners(&self, key: &Key) -> Vec<String> {
        self.owners_of(key.point())
    }

    /// Whether sessions of this title or of this viewer are to end.
    ///
    /// ```
    /// # use micadyke_deadline::FixedDeadline;
    /// # use micadyke_directory::*;
    /// let mut alone = Directory::new(Settings::new("n1", 1), Box::new(FixedDeadline(50 * MS)), 0);
    /// let mut out = Vec::new();
    /// alone.withdraw(0, Key::Viewer("v1".into()), SECOND, &mut out)?;
    /// assert!(alone.withdrawn("news", "v1") && !alone.withdrawn("news", "v2"));
    /// # Ok::<(), Error>(())
    /// ```
    pub fn withdrawn(&self, title: &str, viewer: &str) -> bool {
        let keys = [Key::Title(title.to_owned()), Key::Viewer(viewer.to_owned())];
        keys.into_iter().any(|k| self.table.holds(&k.folded()))
    }

    /// When [`Input::Wake`] is due.
    ///
    /// ```
    /// # use micadyke_deadline::FixedDeadline;
    /// # use micadyke_directory::*;
    /// let mut alone = Directory::new(Settings::new("n1", 1), Box::new(FixedDeadline(50 * MS)), 0);
    /// let mut out = Vec::new();
    /// assert_eq!(alone.wake_at(), Nanos::MAX);
    /// alone.withdraw(0, Key::Viewer("v1".into()), 5 * SECOND, &mut out)?;
    /// assert!(alone.wake_at() <= SECOND);
    /// # Ok::<(), Error>(())
    /// ```
    pub fn wake_at(&self) -> Nanos {
        let questions = self.questions.values().map(|q| q.closed.map_or(q.until, |at| at + questions::LATE));
        let again = self.tracks.values().filter(|t| !t.ended).map(|t| t.again_at);
        let timers = [self.map_at, self.flush_at, self.look_at, self.table.next_end(), self.pulse_at];
        let beat = if self.peers.is_empty() { Nanos::MAX } else { self.beat_at };
        questions.chain(again).chain(timers).min().unwrap_or(Nanos::MAX).min(beat)
    }

    /// Takes one input at time `now`; what is to be done is appended to `out`, in order.
    ///
    /// ```
    /// # use micadyke_deadline::FixedDeadline;
    /// # use micadyke_directory::*;
    /// let mut alone = Directory::new(Settings::new("n1", 1), Box::new(FixedDeadline(50 * MS)), 0);
    /// let mut out = Vec::new();
    /// let up = Seen::Up { name: "n2".into(), start: 7, zone: "east".into() };
    /// alone.handle(0, Input::View(up), &mut out);
    /// // The first beat is on its way.
    /// assert!(matches!(&out[..], [Output::Send { to, .. }] if to == "n2"));
    /// ```
    pub fn handle(&mut self, now: Nanos, input: Input, out: &mut Vec<Output>) {
        self.turn(now);
        match input {
            Input::Started(session) => self.booked(session, true),
            Input::Ended(session) => self.booked(session, false),
            Input::Message { from, bytes } => self.message(from, bytes),
            Input::View(seen) => self.seen(seen),
            Input::Map(map) => {
                self.given = true;
                self.map_at = Nanos::MAX;
                self.mapped(map);
            }
            Input::Left { what, sessions } => self.left(what, sessions),
            Input::Accounted { name, start } => {
                let one = (name.to_owned(), start);
                self.lost.remove(&one);
                if self.accounted.len() >= LOST {
                    self.accounted.pop_first();
                }
                self.accounted.insert(one);
            }
            Input::Wake => {}
        }
        self.due();
        out.append(&mut self.out);
    }

    fn turn(&mut self, now: Nanos) {
        let late = now.saturating_sub(self.wake_at().max(self.now));
        self.now = self.now.max(now);
        if late <= GRAIN {
            return;
        }
        // A loop that was late has not looked at what came meanwhile: the span is its own, and nobody's silence.
        self.questions
            .values_mut()
            .filter(|q| q.awaits())
            .for_each(|q| q.own_delay = q.own_delay.saturating_add(late));
        self.peers.values_mut().for_each(|p| p.heard_at = (p.heard_at + late).min(now));
    }

    fn due(&mut self) {
        if self.now >= self.map_at {
            self.map_at = Nanos::MAX;
            let me = self.settings.name.clone();
            let names: Vec<String> = self.peers.keys().cloned().chain([me]).collect();
            self.mapped(Box::new(Rendezvous::new(names)));
        }
        if self.now >= self.flush_at {
            self.flush_at = Nanos::MAX;
            let names: Vec<String> =
                self.peers.iter().filter(|p| !p.1.pending.is_empty()).map(|p| p.0.clone()).collect();
            names.iter().for_each(|n| self.flush(n));
        }
        if self.now >= self.beat_at && !self.peers.is_empty() {
            self.beat_at = self.now + self.interval();
            self.beat_next();
        }
        self.questions_due();
        self.withdrawals_due();
    }

    /// Sends, if the lane has room.
    fn send(&mut self, lane: Lane, to: &str, message: &Message) -> bool {
        let Some(bytes) = write(self.settings.start, message) else { return false };
        let rate = self.settings.rate * LANES[lane as usize] / 100;
        let room = &mut self.lanes[lane as usize];
        let gained = u128::from(self.now.saturating_sub(room.1)) * u128::from(rate) / u128::from(SECOND);
        if gained > 0 {
            *room = (u64::try_from(gained).unwrap_or(BURST).saturating_add(room.0).min(BURST), self.now);
        }
        let size = bytes.len() as u64;
        if room.0 < size {
            self.counts.held_back[lane as usize] += 1;
            return false;
        }
        room.0 -= size;
        self.counts.sent += 1;
        self.counts.sent_bytes += size;
        self.out.push(Output::Send { to: to.to_owned(), bytes });
        true
    }

    // ----- the view and the map

    fn view(&self) -> u64 {
        let mark = |name: &str, start: u64| hash(&[&start.to_be_bytes(), name.as_bytes()]);
        let others = self.peers.iter().map(|(name, p)| mark(name, p.start));
        others.fold(mark(&self.settings.name, self.settings.start), u64::wrapping_add)
    }

    fn seen(&mut self, seen: Seen) {
        match seen {
            Seen::Up { name, start, .. } if name == self.settings.name => return self.restarted(start),
            Seen::Up { name, start, zone } => {
                self.lost.remove(&(name.clone(), start));
                match self.peers.get_mut(&name) {
                    Some(peer) if peer.start == start => {
                        if !zone.is_empty() {
                            peer.zone = zone;
                        }
                        self.clear(&name);
                        return;
                    }
                    Some(peer) if peer.start > start => return,
                    Some(peer) => {
                        // The former start went without a word.
                        let former = (name.clone(), peer.start);
                        self.give_up(former);
                        self.drop_peer(&name);
                    }
                    None => {}
                }
                self.add_peer(name, start, zone);
            }
            Seen::Suspected(name) => {
                self.peers.get_mut(&name).into_iter().for_each(|p| p.suspected = true);
                return self.wait_for(&name);
            }
            Seen::Cleared(name) => return self.clear(&name),
            Seen::Down(name) => {
                if let Some(peer) = self.peers.get(&name) {
                    let lost = (name.clone(), peer.start);
                    if self.doubted(peer) {
                        self.doubt.gone();
                    }
                    self.give_up(lost);
                }
                self.drop_peer(&name);
            }
            Seen::Left(name) => {
                self.questions.values_mut().for_each(|question| question.left(&name));
                self.drop_peer(&name);
            }
            Seen::Settled(settled) => {
                self.settled = settled;
                return;
            }
        }
        if !self.given {
            self.map_at = self.map_at.min(self.now + MAP_LAG);
        }
    }

    /// The others know this process as another start.
    fn restarted(&mut self, start: u64) {
        if start == self.settings.start {
            return;
        }
        self.settings.start = start;
        // What answers the former start is not taken: that is nobody's silence.
        self.questions.values_mut().for_each(|q| q.own_delay = Nanos::MAX);
        for (place, own) in &mut self.own {
            own.line = Line::new(place, start, own.line.seq, own.line.count, self.now);
        }
        self.share_out();
    }

    fn give_up(&mut self, lost: (String, u64)) {
        if self.accounted.contains(&lost) {
            return;
        }
        if self.lost.len() >= LOST {
            self.more_lost = true;
        } else {
            self.lost.insert(lost);
        }
    }

    fn add_peer(&mut self, name: String, start: u64, zone: String) {
        let mut peer = Peer {
            start,
            zone,
            suspected: false,
            heard_at: self.now,
            mark: 0,
            gossip_at: 0,
            replica: RangeIndex::default(),
            seq: 0,
            exact: (0, 0),
            covered: None,
            part: (0, 0),
            pending: BTreeSet::new(),
        };
        for own in self.own.values().filter(|o| o.owners.iter().any(|w| **w == *name)) {
            peer.part = add(peer.part, own.line.mark);
        }
        self.soon.insert(name.clone());
        self.peers.insert(name, peer);
    }

    /// What a start has told goes with it.
    fn drop_peer(&mut self, name: &str) {
        if let Some(peer) = self.peers.remove(name) {
            self.held -= peer.replica.len();
        }
        self.soon.remove(name);
        let (now, deadline) = (self.now, &mut *self.deadline);
        self.questions.values_mut().for_each(|q| q.gone(now, name, deadline));
    }

    fn owners_of(&self, point: Point) -> Vec<String> {
        self.maps.back().map_or(Vec::new(), |m| m.1.owners(point))
    }

    fn number(&self) -> u64 {
        self.maps.back().map_or(0, |m| m.1.number())
    }

    fn owned_here(&self, point: Point) -> bool {
        self.owners_of(point).contains(&self.settings.name)
    }

    /// Whether a point was owned here in each map since that one: what is not owned is dropped.
    fn owned_since(&self, point: Point, generation: u64) -> bool {
        let mut since = self.maps.iter().filter(|m| m.0 >= generation);
        self.maps.front().is_some_and(|m| generation >= m.0)
            && since.all(|m| m.1.owners(point).contains(&self.settings.name))
    }

    /// Another map: what is owned here no longer goes, what is owned anew is filled by beats.
    fn mapped(&mut self, map: Box<dyn Owners>) {
        if map.number() == self.number() {
            return;
        }
        self.generation += 1;
        self.maps.push_back((self.generation, map));
        if self.maps.len() > MAPS {
            self.maps.pop_front();
        }
        self.share_out();
    }

    /// Reckons anew who owns what.
    fn share_out(&mut self) {
        let Some((_, map)) = self.maps.back() else { return };
        let me = self.settings.name.as_str();
        self.held = 0;
        for peer in self.peers.values_mut() {
            peer.replica.retain(|place| map.owners(place.1.point()).iter().any(|o| o == me));
            self.held += peer.replica.len();
            peer.part = (0, 0);
        }
        let mut names: BTreeMap<String, Arc<str>> = BTreeMap::new();
        for (place, own) in &mut self.own {
            let owners = map.owners(place.1.point()).into_iter();
            own.owners = owners
                .map(|o| names.entry(o).or_insert_with_key(|o| Arc::from(o.as_str())).clone())
                .collect();
            for owner in &own.owners {
                if let Some(peer) = self.peers.get_mut(&**owner) {
                    peer.part = add(peer.part, own.line.mark);
                }
            }
        }
    }

    // ----- messages

    fn message(&mut self, from: &str, bytes: &[u8]) {
        let Some((start, message)) = read(bytes) else {
            self.counts.dropped += 1;
            return;
        };
        // Who does not live in the view, as that start, is not heard.
        if self.peers.get(from).is_none_or(|p| p.start != start) {
            self.counts.dropped += 1;
            return;
        }
        self.spoke(from);
        match message {
            Message::Beat { map, mark, echo, seq, sum, withdrawn, zone } => {
                if let Some(peer) = self.peers.get_mut(from).filter(|_| !zone.is_empty()) {
                    peer.zone = zone;
                }
                self.beaten(from, map, mark, echo, (seq, sum));
                self.differs(from, withdrawn);
            }
            Message::Put { told } => {
                for told in told {
                    self.replicate(from, told);
                }
            }
            Message::Look { map, first, last, sums } => self.looked(from, map, (first, last), &sums),
            Message::Narrow { map, first, last } => {
                if map == self.number() && first < last {
                    self.look(from, first, last);
                }
            }
            Message::Fill { map, first, last, through, told } => {
                if map == self.number() && first <= last {
                    self.filled(from, first, last, through, told);
                }
            }
            Message::Ask { id, key, view } => self.asked(from, id, &key, view),
            Message::Found { id, page, pages, cut, covered, oldest_ms, rows } => {
                if id.0 == self.settings.start
                    && let Some(question) = self.questions.get_mut(&id.1)
                {
                    let page = Page { page, pages, cut, covered, oldest_ms, rows };
                    question.page(self.now, from, page, &mut *self.deadline);
                }
            }
            Message::Busy { id } => {
                if id.0 == self.settings.start
                    && let Some(question) = self.questions.get_mut(&id.1)
                {
                    question.busy(self.now, from, &mut *self.deadline);
                }
            }
            Message::Gossip { records } => records.iter().for_each(|r| self.record(r)),
            Message::Withdraw { record } => {
                self.record(&record);
                if let Some(held) = self.table.get_mut(&record.what) {
                    if held.followers.len() < FOLLOWERS {
                        held.followers.insert(from.to_owned());
                    }
                    self.say(from, &record.what);
                }
            }
            Message::Stands { what, version, left, view, lost, more } => {
                self.stands(from, &what, version, Said { start, left, view, more }, lost);
            }
        }
    }
}
