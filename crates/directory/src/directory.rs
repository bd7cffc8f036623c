//! The directory: a book, copies of others' books, and the turn.

use crate::answer::Answer;
use crate::asking::{PAGES, Page, Question};
use crate::shelf::{LOW, Line, Place, Shelf, Sum, add, parts, place, take};
use crate::wire::{Id, LONGEST, Message, Record, Row, Told, chunks, read, write};
use crate::withdrawal::{FOLLOWERS, Holds, Known, LONGEST_HOLD, Progress, Said, Table, Taken, Track, Waits};
use crate::{Error, Key, MS, Nanos, Owners, Point, Rendezvous, SECOND, folded, hash};
use micadyke_deadline::{Deadline, Waited};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

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
/// Lines that changed wait so long for more to go with them.
const FLUSH: Nanos = 50 * MS;
/// Changes of the view within this time make one change of the map.
const MAP_LAG: Nanos = 100 * MS;
/// Maps that are remembered: older words of members' books count for nothing.
const MAPS: usize = 16;
/// A range is compared by so many parts; one that differs with so many lines at most is sent.
const PARTS: u64 = 16;
const FILL: usize = 64;
/// Room for lines in a message beside its head.
const ROOM: usize = LONGEST - 128;
/// Questions open at most; and closed ones that wait for late answers, for so long.
const OPEN: usize = 64;
const CLOSED: usize = 256;
const LATE: Nanos = 10 * SECOND;
/// Members that have not confirmed a withdrawal are asked so often.
const AGAIN: Nanos = SECOND;
/// The node is asked so often to look again while sessions are left.
const LOOK: Nanos = SECOND;
/// One member is told all withdrawals so often at most.
const GOSSIP: Nanos = SECOND;
/// Starts that were given up and are not accounted for, at most; and how many fit into one message.
const LOST: usize = 1024;
const LOST_TOLD: usize = 48;

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

/// What a directory is told at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// This member's name in the view.
    pub name: String,
    /// Its start.
    pub start: u64,
    /// Its zone.
    pub zone: String,
    /// Bytes a second sent at most, beyond 16 KiB at one time for each of four kinds.
    pub rate: u64,
    /// Lines of other nodes' books held at most, and of the own book as many.
    pub lines: usize,
}

impl Settings {
    /// Settings with the usual figures: 32 kB/s, 200,000 lines.
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
    /// Its time, as last heard.
    mark: u64,
    /// Its withdrawals were others at its last beat; and when it was last told all.
    gossip_at: Nanos,
    /// The copy of its book, as far as it is owned here.
    copy: Shelf,
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
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Sizes of the books: lines of the own, lines of others, questions, withdrawals.
    pub fn books(&self) -> [usize; 4] {
        [self.own.len(), self.held, self.questions.len(), self.table.len()]
    }

    /// Living members, this one included.
    pub fn members(&self) -> usize {
        self.peers.len() + 1
    }

    /// Time in which each living member is beaten once.
    fn round(&self) -> Nanos {
        self.interval() * self.peers.len().max(1) as u64
    }

    fn interval(&self) -> Nanos {
        let by_rate = BEAT * SECOND * 100 / (self.settings.rate * LANES[Lane::Beat as usize]).max(1);
        by_rate.max(ROUND / self.peers.len().max(1) as u64)
    }

    /// The bound: what stood in a living member's book for longer than that before a question was asked, and still does, is
    /// in the answer if that is whole. Four rounds of beats and a second: at 32 kB/s 5 s for a fleet of 80 and
    /// fewer, 16 s for 300.
    ///
    /// ```
    /// use micadyke_deadline::Fixed;
    /// use micadyke_directory::{Directory, MS, SECOND, Settings};
    ///
    /// let alone = Directory::new(Settings::new("n1", 1), Box::new(Fixed(50 * MS)), 0);
    /// assert_eq!(alone.bound(), 5 * SECOND);
    /// ```
    pub fn bound(&self) -> Nanos {
        COVERED * self.round() + SLACK
    }

    /// Digest of this member's copy of a member's book, or of its own book as far as it owns it; and of how many lines.
    pub fn digest(&self, name: &str) -> Option<(u64, u32)> {
        if name == self.settings.name {
            let mine = self.own.values().filter(|o| o.owners.iter().any(|w| **w == *name));
            return Some(mine.fold((0, 0), |sum, o| add(sum, o.line.mark)));
        }
        self.peers.get(name).map(|p| p.copy.sum())
    }

    /// Digest of that part of the own book that a member owns.
    pub fn part(&self, name: &str) -> Option<(u64, u32)> {
        self.peers.get(name).map(|p| p.part)
    }

    /// Digest of a range of points over all books that are copied here; the same at both owners of a range once they have
    /// heard the same.
    pub fn range(&self, first: Point, last: Point) -> (u64, u32) {
        let within = |place: &Place| (first..=last).contains(&place.1.point());
        let copies = self.peers.values().flat_map(|p| p.copy.all()).filter(|l| within(l.0)).map(|l| l.1.mark);
        let me = self.settings.name.as_str();
        let mine = self.own.iter().filter(|o| within(o.0) && o.1.owners.iter().any(|w| **w == *me));
        copies.chain(mine.map(|o| o.1.line.mark)).fold((0, 0), add)
    }

    /// The owners of a key, by the map in force.
    pub fn owners(&self, key: &Key) -> Vec<String> {
        self.owners_of(key.point())
    }

    /// Whether sessions of this title or of this viewer are to end.
    pub fn withdrawn(&self, title: &str, viewer: &str) -> bool {
        let keys = [Key::Title(title.to_owned()), Key::Viewer(viewer.to_owned())];
        keys.into_iter().any(|k| self.table.holds(&k.folded()))
    }

    /// When [`Input::Wake`] is due.
    pub fn wake_at(&self) -> Nanos {
        let questions = self.questions.values().map(|q| q.closed.map_or(q.until, |at| at + LATE));
        let again = self.tracks.values().filter(|t| !t.ended).map(|t| t.again_at);
        let timers = [self.map_at, self.flush_at, self.look_at, self.table.next_end()];
        let beat = if self.peers.is_empty() { Nanos::MAX } else { self.beat_at };
        questions.chain(again).chain(timers).min().unwrap_or(Nanos::MAX).min(beat)
    }

    /// Takes one input at time `now`; what is to be done is appended to `out`, in order.
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
        // A loop that was late has not looked at what came meanwhile: the span is its own.
        self.questions.values_mut().filter(|q| q.closed.is_none()).for_each(|q| q.own_delay += late);
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
                        peer.suspected = false;
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
                return;
            }
            Seen::Cleared(name) => {
                self.peers.get_mut(&name).into_iter().for_each(|p| p.suspected = false);
                return;
            }
            Seen::Down(name) => {
                if let Some(peer) = self.peers.get(&name) {
                    let lost = (name.clone(), peer.start);
                    self.give_up(lost);
                }
                self.drop_peer(&name);
            }
            Seen::Left(name) => self.drop_peer(&name),
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
            mark: 0,
            gossip_at: 0,
            copy: Shelf::default(),
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
            self.held -= peer.copy.len();
        }
        self.soon.remove(name);
        self.questions.values_mut().for_each(|q| q.gone(name));
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
            peer.copy.retain(|place| map.owners(place.1.point()).iter().any(|o| o == me));
            self.held += peer.copy.len();
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

    // ----- the own book

    fn booked(&mut self, session: &Session, started: bool) {
        for place in session.places() {
            let before = self.own.get(&place).map_or(0, |o| o.line.count);
            let count = if started { before.saturating_add(1) } else { before.saturating_sub(1) };
            if count == before || (before == 0 && self.own.len() >= self.settings.lines) {
                self.short |= count != before;
                continue;
            }
            self.seq += 1;
            let line = Line::new(&place, self.settings.start, self.seq, count, self.now);
            let old = self.own.remove(&place);
            let owners = match &old {
                Some(old) => old.owners.clone(),
                None => self.owners_of(place.1.point()).iter().map(|o| Arc::from(o.as_str())).collect(),
            };
            for owner in &owners {
                let Some(peer) = self.peers.get_mut(&**owner) else { continue };
                if let Some(old) = &old {
                    peer.part = take(peer.part, old.line.mark);
                }
                if count > 0 {
                    peer.part = add(peer.part, line.mark);
                }
                peer.pending.insert(place.clone());
                self.flush_at = self.flush_at.min(self.now + FLUSH);
            }
            if count > 0 {
                self.own.insert(place, Own { line, owners });
            }
        }
        if started {
            for key in [Key::Title(session.title.clone()), Key::Viewer(session.viewer.clone())] {
                let key = key.folded();
                if self.table.holds(&key) {
                    self.end(&key);
                }
            }
        }
    }

    /// Tells a member what changed; what is lost on the way is found by the next beat.
    fn flush(&mut self, name: &str) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        let seq = self.seq;
        let told = |place: Place| {
            let line = self.own.get(&place).map(|o| o.line);
            let (seq, count) = line.map_or((seq, 0), |l| (l.seq, l.count));
            Told { key: place.1, at: place.2, seq, count }
        };
        let told: Vec<Told> = std::mem::take(&mut peer.pending).into_iter().map(told).collect();
        for told in chunks(&told, ROOM) {
            self.send(Lane::Lines, name, &Message::Put { told });
        }
    }

    fn beat_next(&mut self) {
        // Every other one by turn: who asks to be beaten all the time takes nobody else's.
        self.ahead = !self.ahead;
        let ahead = if self.ahead { self.soon.pop_first() } else { None };
        let next = ahead.or_else(|| {
            let after = (std::ops::Bound::Excluded(self.cursor.as_str()), std::ops::Bound::Unbounded);
            let next = self.peers.range::<str, _>(after).next().or_else(|| self.peers.first_key_value());
            let next = next.map(|p| p.0.clone())?;
            self.cursor = next.clone();
            Some(next)
        });
        let Some(next) = next else { return };
        self.flush(&next);
        let Some(peer) = self.peers.get(&next) else { return };
        // A book of which lines are left out is equal to no copy.
        let sum = if self.short { (peer.part.0, u32::MAX) } else { peer.part };
        let beat = Message::Beat {
            map: self.number(),
            mark: self.now,
            echo: (peer.start, peer.mark),
            seq: self.seq,
            sum,
            withdrawn: self.table.digest(),
        };
        self.send(Lane::Beat, &next, &beat);
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
        match message {
            Message::Beat { map, mark, echo, seq, sum, withdrawn } => {
                self.beaten(from, map, mark, echo, (seq, sum));
                self.differs(from, withdrawn);
            }
            Message::Put { told } => {
                for told in told {
                    self.copy(from, told);
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

    /// A member's book stands so.
    fn beaten(&mut self, from: &str, map: u64, mark: u64, echo: (u64, u64), book: (u64, Sum)) {
        let (generation, number) = (self.generation, self.number());
        let (cover, age) = (self.has(Feature::Cover), self.has(Feature::Age));
        let (me, now) = (self.settings.start, self.now);
        let Some(peer) = self.peers.get_mut(from) else { return };
        peer.mark = peer.mark.max(mark);
        let echoed = echo.0 == me && echo.1 > 0 && echo.1 <= now;
        if !echoed {
            // It has yet to hear this start's time.
            self.soon.insert(from.to_owned());
        }
        // A beat that lines have overtaken tells nothing.
        if map != number || book.0 < peer.seq {
            return;
        }
        peer.seq = book.0;
        if peer.copy.sum() == book.1 || !cover {
            peer.exact = (book.0, generation);
            // The echo was told by this member then: the book was so at that time or later.
            let at = if age { echo.1 } else { now };
            if (echoed || !age) && peer.covered.is_none_or(|c| c.0 <= at) {
                peer.covered = Some((at, generation));
            }
        } else if self.has(Feature::Repair) {
            self.look(from, 0, u64::MAX);
        }
    }

    /// Asks a member where its book differs from the copy.
    fn look(&mut self, from: &str, first: u64, last: u64) {
        let map = self.number();
        let Some(peer) = self.peers.get(from) else { return };
        let sum = |(first, last)| peer.copy.range(first, last).fold((0, 0), |sum, l| add(sum, l.1.mark));
        let sums = parts(first, last, PARTS).into_iter().map(sum).collect();
        self.send(Lane::Lines, from, &Message::Look { map, first, last, sums });
    }

    /// A member's copy of the own book stands so.
    fn looked(&mut self, from: &str, map: u64, range: (u64, u64), sums: &[Sum]) {
        if map != self.number() || range.0 > range.1 {
            return;
        }
        for ((first, last), theirs) in parts(range.0, range.1, PARTS).into_iter().zip(sums) {
            let lines = self.told(from, first, last);
            let sum = lines.iter().fold((0, 0), |sum, l| add(sum, l.1));
            if sum == *theirs {
                continue;
            }
            if lines.len() > FILL && first < last {
                self.send(Lane::Lines, from, &Message::Narrow { map, first, last });
            } else {
                self.fill(from, first, last);
            }
        }
        // It can be found equal as soon as it has heard all that.
        self.soon.insert(from.to_owned());
    }

    /// Lines of the own book that a member owns, in a range, and their marks.
    fn told(&self, to: &str, first: u64, last: u64) -> Vec<(Told, u64)> {
        let least = (first, Key::Title(String::new()), String::new());
        let range = self.own.range(least..).take_while(|o| o.0.0 <= last);
        let theirs = range.filter(|o| o.1.owners.iter().any(|w| **w == *to));
        let told = |(place, own): (&Place, &Own)| {
            let (key, at) = (place.1.clone(), place.2.clone());
            (Told { key, at, seq: own.line.seq, count: own.line.count }, own.line.mark)
        };
        theirs.map(told).collect()
    }

    fn fill(&mut self, to: &str, first: u64, last: u64) {
        let told: Vec<Told> = self.told(to, first, last).into_iter().map(|t| t.0).collect();
        if chunks(&told, ROOM).len() > 1 && first < last {
            let middle = first + (last - first) / 2;
            self.fill(to, first, middle);
            return self.fill(to, middle + 1, last);
        }
        let (map, through) = (self.number(), self.seq);
        self.send(Lane::Lines, to, &Message::Fill { map, first, last, through, told });
    }

    /// Takes a line of a member's book.
    fn copy(&mut self, from: &str, told: Told) {
        let place = told.place();
        let point = place.1.point();
        let Some(exact) = self.peers.get(from).map(|p| p.exact) else { return };
        // What it had after that change was heard in whole.
        let old = told.seq <= exact.0 && self.owned_since(point, exact.1) && self.has(Feature::Exact);
        let owned = self.owned_here(point);
        let Some(peer) = self.peers.get_mut(from) else { return };
        peer.seq = peer.seq.max(told.seq);
        if !owned || old {
            return;
        }
        let held = peer.copy.get(&place);
        if held.is_some_and(|l| l.seq >= told.seq) {
            return;
        }
        let known = held.is_some();
        match (told.count, known) {
            (0, true) => {
                self.held -= 1;
                peer.copy.remove(&place);
            }
            (0, false) => {}
            (_, false) if self.held >= self.settings.lines => self.counts.refused += 1,
            (count, known) => {
                self.held += usize::from(!known);
                let line = Line::new(&place, peer.start, told.seq, count, self.now);
                peer.copy.put(place, line);
            }
        }
    }

    /// Takes all lines of a range.
    fn filled(&mut self, from: &str, first: u64, last: u64, through: u64, told: Vec<Told>) {
        let Some(peer) = self.peers.get_mut(from) else { return };
        self.counts.filled += 1;
        let listed: BTreeSet<Place> = told.iter().map(Told::place).collect();
        let over = peer.copy.range(first, last).filter(|l| l.1.seq <= through && !listed.contains(l.0));
        let over: Vec<Place> = over.map(|l| l.0.clone()).collect();
        for place in over {
            peer.copy.remove(&place);
            self.held -= 1;
        }
        for told in told.into_iter().filter(|t| t.seq <= through && t.count > 0) {
            self.copy(from, told);
        }
    }

    // ----- questions

    /// Asks. The answer comes as [`Output::Answered`] at `limit` at the latest, at once where this member owns the key and
    /// all is known. A question that is open for the same key and ends no later is joined: its number is returned.
    ///
    /// # Errors
    ///
    /// [`Error::Open`] and [`Error::Rate`]: too much is asked. Nothing was sent.
    pub fn ask(&mut self, now: Nanos, key: Key, limit: Nanos, out: &mut Vec<Output>) -> Result<u64, Error> {
        self.turn(now);
        let key = key.folded();
        let same = |q: &&Question| q.closed.is_none() && q.key == key && q.limit() <= limit;
        if let Some((id, _)) = self.questions.iter().find(|q| same(&q.1)) {
            return Ok(*id);
        }
        let open = self.questions.values().filter(|q| q.closed.is_none()).count();
        if open >= OPEN {
            return Err(Error::Open { open });
        }
        let me = self.settings.name.clone();
        let owners = self.owners(&key);
        let ask = Message::Ask {
            id: (self.settings.start, self.question + 1),
            key: key.clone(),
            view: self.view(),
        };
        let others: Vec<&String> =
            owners.iter().filter(|o| **o != me && self.peers.contains_key(*o)).collect();
        let others: Vec<String> = others.into_iter().cloned().collect();
        let others: Vec<String> = others.into_iter().filter(|o| self.send(Lane::Ask, o, &ask)).collect();
        if others.is_empty() && !owners.contains(&me) {
            return Err(Error::Rate);
        }
        self.question += 1;
        let waited = |name: &String| {
            let peer = self.peers.get(name);
            Waited {
                name: name.clone(),
                zone: peer.map_or(self.settings.zone.clone(), |p| p.zone.clone()),
                weight: 1.0 / owners.len().max(1) as f64,
                lives: if peer.is_some_and(|p| p.suspected) { 0.5 } else { 1.0 },
                arrived: None,
            }
        };
        let waited = owners.iter().filter(|o| **o == me || others.contains(o)).map(waited).collect();
        let (view, mine) = (self.view(), owners.contains(&me));
        let roster: Vec<String> = self.roster().into_iter().map(|r| r.to_owned()).collect();
        let own = self.own_rows(&key);
        let mut question = Question::new(key.clone(), self.now, limit, waited, roster, &me, own);
        if mine {
            let (covered, oldest_ms, rows) = self.found(&key, view);
            let page = Page { page: 0, pages: 1, cut: false, covered, oldest_ms, rows };
            question.page(self.now, &me, page, &mut *self.deadline);
        }
        question.reckon(self.now, &mut *self.deadline);
        self.questions.insert(self.question, question);
        let id = self.question;
        self.due();
        out.append(&mut self.out);
        Ok(id)
    }

    /// All that live, by name.
    fn roster(&self) -> Vec<&str> {
        let mut names: Vec<&str> = self.peers.keys().map(String::as_str).collect();
        let me = self.settings.name.as_str();
        names.insert(names.partition_point(|n| *n < me), me);
        names
    }

    fn own_rows(&self, key: &Key) -> Vec<Row> {
        let least = (key.point() & !LOW, Key::Title(String::new()), String::new());
        let (last, name) = (key.point() | LOW, &self.settings.name);
        let mine = self.own.range(least..).take_while(|o| o.0.0 <= last).filter(|o| o.0.1 == *key);
        let row = |(place, own): (&Place, &Own)| Row {
            node: name.clone(),
            start: self.settings.start,
            seq: own.line.seq,
            at: place.2.clone(),
            count: own.line.count,
            age_ms: 0,
        };
        mine.map(row).collect()
    }

    /// Whether a member's book is accounted for in the copy at this point: since when at least.
    fn covers(&self, peer: &Peer, point: Point) -> Option<Nanos> {
        if !self.has(Feature::Cover) {
            return Some(self.now);
        }
        let (at, generation) = peer.covered?;
        (self.owned_since(point, generation) && self.now <= at.saturating_add(self.bound())).then_some(at)
    }

    /// What is known here of a key: whose books are accounted for, where the asker sees the same members; the oldest word
    /// that counts; the lines.
    fn found(&self, key: &Key, view: u64) -> (Option<Vec<u8>>, u64, Vec<Row>) {
        let point = key.point();
        let age = |at: Nanos| self.now.saturating_sub(at) / MS;
        let (mut rows, mut oldest) = (self.own_rows(key), 0);
        let mut covered = vec![0u8; self.members().div_ceil(8)];
        for (place, name) in self.roster().into_iter().enumerate() {
            let at = match self.peers.get(name) {
                None => Some(self.now),
                Some(peer) => {
                    let at = self.covers(peer, point);
                    for (place, line) in peer.copy.of(key) {
                        let node = name.to_owned();
                        let (start, seq, count) = (peer.start, line.seq, line.count);
                        let age_ms = age(at.unwrap_or(0).max(line.heard));
                        rows.push(Row { node, start, seq, at: place.2.clone(), count, age_ms });
                    }
                    at
                }
            };
            if let Some(at) = at {
                covered[place / 8] |= 1 << (place % 8);
                oldest = oldest.max(age(at));
            }
        }
        ((view == self.view()).then_some(covered), oldest, rows)
    }

    fn asked(&mut self, from: &str, id: Id, key: &Key, view: u64) {
        let (covered, oldest_ms, rows) = self.found(key, view);
        let bits = covered.as_ref().map_or(0, Vec::len);
        let mut all = chunks(&rows, ROOM.saturating_sub(bits));
        let cut = all.len() > PAGES;
        all.truncate(PAGES);
        if all.is_empty() {
            all.push(Vec::new());
        }
        let pages = all.len() as u8;
        for (page, rows) in all.into_iter().enumerate() {
            let covered = covered.clone().filter(|_| page == 0);
            let found = Message::Found { id, page: page as u8, pages, cut, covered, oldest_ms, rows };
            if !self.send(Lane::Ask, from, &found) {
                // A word of that costs little; where there is no room for it either, silence says the same.
                self.counts.busy += 1;
                self.send(Lane::Ask, from, &Message::Busy { id });
                return;
            }
        }
    }

    fn questions_due(&mut self) {
        let judged = !self.has(Feature::Judge);
        for (id, question) in &mut self.questions {
            if question.closed.is_none()
                && let Some(why) = question.over(self.now)
            {
                let answer = question.answer(self.now, why, judged);
                match &answer {
                    Answer::Whole(_) => self.counts.whole += 1,
                    Answer::Partial(_) => self.counts.partial += 1,
                }
                self.out.push(Output::Answered { id: *id, answer });
            }
        }
        let closed = self.questions.values().filter(|q| q.closed.is_some()).count();
        let mut surplus = closed.saturating_sub(CLOSED);
        let (now, deadline) = (self.now, &mut self.deadline);
        self.questions.retain(|_, question| {
            let Some(at) = question.closed else { return true };
            let stays = now < at + LATE && surplus == 0;
            if !stays {
                surplus = surplus.saturating_sub(1);
                question.forget(now, &mut **deadline);
            }
            stays
        });
    }

    // ----- withdrawals

    /// Withdraws a title or a viewer, at all members, for `span` unless it is lifted before; and follows it. Withdrawn again,
    /// its time begins anew.
    ///
    /// # Errors
    ///
    /// [`Error::Kind`], [`Error::Span`], [`Error::Full`]: nothing was done.
    ///
    /// ```
    /// use micadyke_deadline::Fixed;
    /// use micadyke_directory::{Directory, Input, Key, MS, Output, SECOND, Seen, Settings};
    ///
    /// let mut alone = Directory::new(Settings::new("n1", 1), Box::new(Fixed(50 * MS)), 0);
    /// let (what, mut out) = (Key::Title("news".into()), Vec::new());
    /// alone.withdraw(0, what.clone(), 60 * SECOND, &mut out)?;
    /// assert!(alone.withdrawn("news", "v1"));
    /// // The node is asked to look in its book; until it has, nothing is said to have ended.
    /// assert!(out.contains(&Output::End { what: what.clone() }));
    /// assert!(!alone.progress(&what).unwrap().ended_everywhere);
    /// alone.handle(0, Input::Left { what: &what, sessions: 0 }, &mut out);
    /// // Nor before the view is settled: others may be there.
    /// assert!(!alone.progress(&what).unwrap().ended_everywhere);
    /// alone.handle(0, Input::View(Seen::Settled(true)), &mut out);
    /// assert!(alone.progress(&what).unwrap().ended_everywhere);
    /// # Ok::<(), micadyke_directory::Error>(())
    /// ```
    pub fn withdraw(
        &mut self, now: Nanos, what: Key, span: Nanos, out: &mut Vec<Output>,
    ) -> Result<(), Error> {
        self.turn(now);
        if matches!(what, Key::Server(_)) {
            return Err(Error::Kind(what));
        }
        if !(SECOND..=LONGEST_HOLD).contains(&span) {
            return Err(Error::Span(span / MS));
        }
        let what = what.folded();
        let done = self.decree(&what, false, span);
        self.due();
        out.append(&mut self.out);
        done
    }

    /// Lifts a withdrawal, at all members.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`]: it is not in force here.
    pub fn lift(&mut self, now: Nanos, what: Key, out: &mut Vec<Output>) -> Result<(), Error> {
        self.turn(now);
        let what = what.folded();
        if !self.table.holds(&what) {
            return Err(Error::Unknown(what));
        }
        // As long as the withdrawal would have lasted: nobody holds that any longer.
        let span = self.table.get(&what).map_or(0, |h| h.until.saturating_sub(self.now));
        let done = self.decree(&what, true, span);
        self.due();
        out.append(&mut self.out);
        done
    }

    fn decree(&mut self, what: &Key, lifted: bool, span: Nanos) -> Result<(), Error> {
        let held = self.table.get(what);
        let version = held.map_or(0, |h| h.version).saturating_add(1);
        let numbers = [self.settings.start, self.now, version].map(u64::to_be_bytes).concat();
        let new = hash(&[&numbers, self.settings.name.as_bytes()]);
        let mark = held.filter(|_| lifted).map_or(new, |h| h.mark);
        self.decree_as(what, lifted, span, version, mark)
    }

    fn decree_as(
        &mut self, what: &Key, lifted: bool, span: Nanos, version: u64, mark: u64,
    ) -> Result<(), Error> {
        let origin = self.settings.name.clone();
        let record = Record { what: what.clone(), version, lifted, origin, mark, left_ms: span / MS };
        if self.table.take(self.now, &record) == Taken::Full {
            return Err(Error::Full { held: self.table.len() });
        }
        if lifted {
            self.tracks.remove(what);
            // Those that are not reached hear of it by beats.
            let names: Vec<String> = self.peers.keys().cloned().collect();
            for name in names {
                self.send(Lane::Withdraw, &name, &Message::Gossip { records: vec![record.clone()] });
            }
        } else {
            self.tracks.insert(what.clone(), Track::new(version, mark, self.now));
            self.end(what);
        }
        Ok(())
    }

    /// How far a withdrawal that is followed here has come.
    pub fn progress(&self, what: &Key) -> Option<Progress> {
        let what = what.clone().folded();
        let track = self.tracks.get(&what)?;
        if let Some(told) = track.told.as_ref().filter(|_| track.ended) {
            return Some(told.clone());
        }
        let (view, mut waits, mut confirmed) = (self.view(), Vec::new(), 0);
        for name in self.roster() {
            let why = if name == self.settings.name {
                match self.table.get(&what).and_then(|h| h.left) {
                    // Who has just started sees nobody yet.
                    _ if !self.settled => Some(Holds::Unsettled),
                    None => Some(Holds::Looking),
                    Some(0) if self.more_lost => Some(Holds::More),
                    Some(0) => None,
                    Some(left) => Some(Holds::Left(left)),
                }
            } else {
                let start = self.peers.get(name).map(|p| p.start);
                match track.said.get(name).filter(|s| Some(s.start) == start) {
                    None => Some(Holds::NotHeard),
                    Some(Said { left: None, .. }) => Some(Holds::Looking),
                    Some(Said { left: Some(left @ 1..), .. }) => Some(Holds::Left(*left)),
                    Some(said) if said.view != view => Some(Holds::Differs),
                    Some(said) if said.more => Some(Holds::More),
                    Some(_) => None,
                }
            };
            match why {
                Some(why) => waits.push(Waits { name: name.to_owned(), why }),
                None => confirmed += 1,
            }
        }
        let lives = |one: &&(String, u64)| {
            (one.0 == self.settings.name && one.1 == self.settings.start)
                || self.peers.get(&one.0).is_some_and(|p| p.start == one.1)
        };
        let lost: BTreeSet<&(String, u64)> = self.lost.iter().chain(&track.lost).collect();
        let lost = lost.into_iter().filter(|l| !lives(l) && !self.accounted.contains(*l));
        if self.has(Feature::Lost) {
            waits.extend(lost.map(|l| Waits { name: l.0.clone(), why: Holds::Lost(l.1) }));
        }
        let ended_everywhere = waits.is_empty();
        Some(Progress { what, version: track.version, confirmed, waits, ended_everywhere })
    }

    /// The node is to look.
    fn end(&mut self, what: &Key) {
        if let Some(held) = self.table.get_mut(what) {
            held.left = None;
            self.look_at = self.look_at.min(self.now + LOOK);
            self.out.push(Output::End { what: what.clone() });
        }
    }

    /// The node has looked.
    fn left(&mut self, what: &Key, sessions: u64) {
        let Some(held) = self.table.get_mut(what).filter(|h| !h.lifted && !h.over) else { return };
        if held.left != Some(sessions) {
            held.left = Some(sessions);
            let followers: Vec<String> = held.followers.iter().cloned().collect();
            followers.iter().for_each(|f| self.say(f, what));
        }
        if sessions > 0 {
            self.look_at = self.look_at.min(self.now + LOOK);
        }
    }

    /// Tells a follower how a withdrawal stands here.
    fn say(&mut self, to: &str, what: &Key) {
        let Some(held) = self.table.get(what) else { return };
        let (version, left) = (held.version, held.left);
        let lost: Vec<(String, u64)> = self.lost.iter().take(LOST_TOLD).cloned().collect();
        let lost = chunks(&lost, ROOM - 2 * crate::TEXT).into_iter().next().unwrap_or_default();
        let more = self.more_lost || self.lost.len() > lost.len();
        let stands = Message::Stands { what: what.clone(), version, left, view: self.view(), lost, more };
        self.send(Lane::Withdraw, to, &stands);
    }

    fn stands(&mut self, from: &str, what: &Key, version: u64, said: Said, lost: Vec<(String, u64)>) {
        let Some(track) = self.tracks.get_mut(what).filter(|t| t.version == version && !t.ended) else {
            return;
        };
        let room = LOST.saturating_sub(track.lost.len());
        let more = said.more || lost.len() > room;
        track.said.insert(from.to_owned(), Said { more, ..said });
        track.lost.extend(lost.into_iter().take(room));
    }

    /// A withdrawal, or the lifting of one, that another member knows.
    fn record(&mut self, record: &Record) {
        let kind = matches!(record.what, Key::Server(_)) || record.what.text().len() > crate::TEXT;
        if kind || record.left_ms == 0 || (record.lifted && !self.has(Feature::Lift)) {
            return;
        }
        let until = self.table.get(&record.what).map_or(0, |h| h.until);
        if self.table.take(self.now, record) != Taken::New {
            return;
        }
        let track = self.tracks.get(&record.what).map(|t| (t.mark, t.ended));
        match (record.lifted, track) {
            // Another one was lifted, by one that did not know of what is followed here: that holds.
            (true, Some((mark, _))) if mark != record.mark => {
                let span = until.saturating_sub(self.now);
                let version = record.version.saturating_add(1);
                let _ = self.decree_as(&record.what, false, span, version, mark);
            }
            (true, _) => drop(self.tracks.remove(&record.what)),
            (false, track) => {
                // Two withdrew it at once: the one that holds is followed here as well.
                if track.is_some_and(|t| !t.1) {
                    let track = Track::new(record.version, record.mark, self.now);
                    self.tracks.insert(record.what.clone(), track);
                }
                self.end(&record.what);
            }
        }
    }

    /// A member knows other withdrawals than this one.
    fn differs(&mut self, from: &str, withdrawn: u64) {
        if !self.has(Feature::Gossip) || withdrawn == self.table.digest() {
            return;
        }
        let Some(peer) = self.peers.get_mut(from).filter(|p| p.gossip_at <= self.now) else { return };
        peer.gossip_at = self.now + GOSSIP;
        let all: Vec<Record> = self.table.live().filter_map(|h| self.table.record(self.now, h.0)).collect();
        for records in chunks(&all, ROOM) {
            self.send(Lane::Withdraw, from, &Message::Gossip { records });
        }
    }

    fn withdrawals_due(&mut self) {
        if self.table.next_end() <= self.now {
            for what in self.table.expire(self.now) {
                self.tracks.remove(&what);
            }
        }
        if self.now >= self.look_at {
            let open = self.table.live().filter(|h| !h.1.lifted && h.1.left != Some(0));
            let open: Vec<Key> = open.map(|h| h.0.clone()).collect();
            self.look_at = if open.is_empty() { Nanos::MAX } else { self.now + LOOK };
            self.out.extend(open.into_iter().map(|what| Output::End { what }));
        }
        let tracked: Vec<Key> = self.tracks.iter().filter(|t| !t.1.ended).map(|t| t.0.clone()).collect();
        for what in tracked {
            self.follow(&what);
        }
    }

    /// Asks who has not confirmed, in turn, as far as there is room; tells how far it came.
    fn follow(&mut self, what: &Key) {
        let Some(progress) = self.progress(what) else { return };
        let record = self.table.record(self.now, what);
        let Some(track) = self.tracks.get_mut(what) else { return };
        track.ended = progress.ended_everywhere;
        let due = !track.ended && self.now >= track.again_at;
        if due {
            track.again_at = self.now + AGAIN;
        }
        let cursor = track.cursor.clone();
        if track.told.as_ref() != Some(&progress) {
            track.told = Some(progress.clone());
            self.out.push(Output::Progress(progress.clone()));
        }
        let (Some(record), true) = (record, due) else { return };
        let names = progress.waits.into_iter().map(|w| w.name).filter(|n| self.peers.contains_key(n));
        let (mut first, mut then): (Vec<String>, Vec<String>) = names.partition(|n| *n > cursor);
        first.append(&mut then);
        for name in first {
            if !self.send(Lane::Withdraw, &name, &Message::Withdraw { record: record.clone() }) {
                break;
            }
            if let Some(track) = self.tracks.get_mut(what) {
                track.cursor = name;
            }
        }
    }

    /// What is withdrawn, or was lifted, as far as this member knows.
    pub fn withdrawals(&self) -> impl Iterator<Item = Known> {
        self.table.live().map(|(what, held)| Known {
            what: what.clone(),
            lifted: held.lifted,
            version: held.version,
            origin: held.origin.clone(),
            mark: held.mark,
            left: held.until.saturating_sub(self.now),
        })
    }
}
