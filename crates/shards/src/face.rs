//! What a directory, or a shell around it, calls to be owner by the map: nothing else of this package has to
//! be known there.
//!
//! [`Shards`] is a member's whole side: it hears and says words, leads while it has the lease, and hands out
//! each map once, as what `Input::Map` takes ([`InForce`]). [`Reading`] is a question as the map wants it
//! asked: of one side, or of two.

use crate::compare::{Answer, Next, Side};
use crate::keep::{Keeper, Lease, Terms, Weighed, Word};
use crate::map::{Map, Owner, Part, State};
use crate::split::{Mover, Report, Rules, Step};
use crate::{Feature, Range};
use micadyke_directory::{Nanos, Owners, Point};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A committed map as a directory goes by it: whom a point's entries are told. Those that serve it come
/// first, then those that are to, so that they are filled before they serve.
///
/// ```
/// use micadyke_directory::Owners;
/// use micadyke_shards::{Range, face::InForce, map::{Map, Owner, Part}};
/// let map = Map::founded(1, [("f1", 7), ("f2", 9)]);
/// let part = Part::new(Range::RING, vec![Owner::new("f2", 9), Owner::new("f3", 4)]);
/// let force = InForce::new(map.begin(Range::RING, vec![part]).unwrap());
/// assert_eq!(force.owners(42), ["f1", "f2", "f3"]);
/// assert_eq!(force.serving(42).len(), 2);
/// assert_eq!(force.coming(42)[1], Owner::new("f3", 4));
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InForce(Arc<Map>);

impl InForce {
    /// By this map.
    ///
    /// ```
    /// # use micadyke_shards::{Range, compare::Next, face::{InForce, Reading, Shards}};
    /// # use micadyke_shards::{keep::{Terms, Weighed}, map::{Map, Owner, Part}, split::Rules};
    /// # let rules = Rules {
    /// #     entries: 100, rate: 90, per_1000: 0, merge: 0, at_once: 2, slices: 4, reads: 20, copy_for: 60,
    /// #     twice_for: 60, again_after: 30, again_most: 3_600, gone_for: 10,
    /// # };
    /// # let terms = Terms { fronts: 3, serve: 1_000, drift: 10 };
    /// # let map = Map::founded(4, [("f1", 7), ("f2", 9)]);
    /// # let mut shards = Shards::new(terms, rules, "f1", 7);
    /// assert_eq!(InForce::new(map.clone()).map(), &map);
    /// ```
    pub fn new(map: Map) -> Self {
        InForce(Arc::new(map))
    }

    /// The map.
    ///
    /// ```
    /// # use micadyke_shards::{Range, compare::Next, face::{InForce, Reading, Shards}};
    /// # use micadyke_shards::{keep::{Terms, Weighed}, map::{Map, Owner, Part}, split::Rules};
    /// # let rules = Rules {
    /// #     entries: 100, rate: 90, per_1000: 0, merge: 0, at_once: 2, slices: 4, reads: 20, copy_for: 60,
    /// #     twice_for: 60, again_after: 30, again_most: 3_600, gone_for: 10,
    /// # };
    /// # let terms = Terms { fronts: 3, serve: 1_000, drift: 10 };
    /// # let map = Map::founded(4, [("f1", 7), ("f2", 9)]);
    /// # let mut shards = Shards::new(terms, rules, "f1", 7);
    /// assert_eq!(InForce::new(map).map().number, 4);
    /// ```
    pub fn map(&self) -> &Map {
        &self.0
    }

    fn part(parts: &[Part], point: Point) -> &[Owner] {
        parts.iter().find(|p| p.range.has(point)).map_or(&[], |p| &p.owners)
    }

    /// Whose answers are served.
    ///
    /// ```
    /// # use micadyke_shards::{Range, compare::Next, face::{InForce, Reading, Shards}};
    /// # use micadyke_shards::{keep::{Terms, Weighed}, map::{Map, Owner, Part}, split::Rules};
    /// # let rules = Rules {
    /// #     entries: 100, rate: 90, per_1000: 0, merge: 0, at_once: 2, slices: 4, reads: 20, copy_for: 60,
    /// #     twice_for: 60, again_after: 30, again_most: 3_600, gone_for: 10,
    /// # };
    /// # let terms = Terms { fronts: 3, serve: 1_000, drift: 10 };
    /// # let map = Map::founded(4, [("f1", 7), ("f2", 9)]);
    /// # let mut shards = Shards::new(terms, rules, "f1", 7);
    /// assert_eq!(InForce::new(map).serving(42)[0], Owner::new("f1", 7));
    /// ```
    pub fn serving(&self, point: Point) -> &[Owner] {
        self.0.group(point).map_or(&[], |g| Self::part(&g.parts, point))
    }

    /// Who is to serve in their place; nobody where nothing changes.
    ///
    /// ```
    /// # use micadyke_shards::{Range, compare::Next, face::{InForce, Reading, Shards}};
    /// # use micadyke_shards::{keep::{Terms, Weighed}, map::{Map, Owner, Part}, split::Rules};
    /// # let rules = Rules {
    /// #     entries: 100, rate: 90, per_1000: 0, merge: 0, at_once: 2, slices: 4, reads: 20, copy_for: 60,
    /// #     twice_for: 60, again_after: 30, again_most: 3_600, gone_for: 10,
    /// # };
    /// # let terms = Terms { fronts: 3, serve: 1_000, drift: 10 };
    /// # let map = Map::founded(4, [("f1", 7), ("f2", 9)]);
    /// # let mut shards = Shards::new(terms, rules, "f1", 7);
    /// assert!(InForce::new(map).coming(42).is_empty());
    /// ```
    pub fn coming(&self, point: Point) -> &[Owner] {
        self.0.group(point).and_then(|g| g.change.as_ref()).map_or(&[], |c| Self::part(&c.parts, point))
    }
}

impl Owners for InForce {
    fn number(&self) -> u64 {
        self.0.number
    }

    fn owners(&self, point: Point) -> Vec<String> {
        let mut names: Vec<String> = Vec::new();
        for o in self.serving(point).iter().chain(self.coming(point)) {
            if !names.contains(&o.name) {
                names.push(o.name.clone());
            }
        }
        names
    }
}

/// A question as a map wants it asked: whom, and which of their answers make up which side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reading {
    /// Number of the map; each question bears it, see [`Shards::weigh`].
    pub number: u64,
    /// How far the range's change has come.
    pub state: Option<State>,
    /// The side whose result is served.
    pub old: Side,
    /// The side that it is compared with, empty unless it is read twice. It is asked as a whole, so that a
    /// key that two of its ranges hold is seen.
    pub new: Side,
}

impl Reading {
    /// Of a point, by this map.
    ///
    /// ```
    /// use micadyke_shards::{Range, face::Reading, map::{Map, Owner, Part}};
    /// let map = Map::founded(1, [("f1", 7), ("f2", 9)]);
    /// let part = Part::new(Range::RING, vec![Owner::new("f2", 9), Owner::new("f3", 4)]);
    /// let copying = map.begin(Range::RING, vec![part]).unwrap();
    /// assert!(Reading::of(&copying, 42).unwrap().new.asked.is_empty());
    /// let twice = Reading::of(&copying.read_twice(Range::RING).unwrap(), 42).unwrap();
    /// // Who stays is asked once and answers for both sides.
    /// assert_eq!((twice.asks().len(), twice.new.asked.len()), (3, 2));
    /// ```
    pub fn of(map: &Map, point: Point) -> Option<Reading> {
        let group = map.group(point)?;
        let state = group.state();
        let side = |parts: &[&Part]| Side {
            asked: parts.iter().flat_map(|p| p.owners.iter().map(|o| (o.clone(), p.range))).collect(),
            answers: Vec::new(),
        };
        let old: Vec<&Part> = group.parts.iter().filter(|p| p.range.has(point)).collect();
        let change = group.change.iter().filter(|c| c.state == State::Twice);
        let new: Vec<&Part> = change.flat_map(|c| &c.parts).collect();
        Some(Reading { number: map.number, state, old: side(&old), new: side(&new) })
    }

    /// Whom to ask for which range, each once.
    ///
    /// ```
    /// # use micadyke_shards::{Range, compare::Next, face::{InForce, Reading, Shards}};
    /// # use micadyke_shards::{keep::{Terms, Weighed}, map::{Map, Owner, Part}, split::Rules};
    /// # let rules = Rules {
    /// #     entries: 100, rate: 90, per_1000: 0, merge: 0, at_once: 2, slices: 4, reads: 20, copy_for: 60,
    /// #     twice_for: 60, again_after: 30, again_most: 3_600, gone_for: 10,
    /// # };
    /// # let terms = Terms { fronts: 3, serve: 1_000, drift: 10 };
    /// # let map = Map::founded(4, [("f1", 7), ("f2", 9)]);
    /// # let mut shards = Shards::new(terms, rules, "f1", 7);
    /// assert_eq!(Reading::of(&map, 42).unwrap().asks().len(), 2);
    /// ```
    pub fn asks(&self) -> Vec<(Owner, Range)> {
        self.old.asked.union(&self.new.asked).cloned().collect()
    }

    /// An answer goes to each side that asked for it; one of another start, or of nobody who was asked, to
    /// none.
    ///
    /// ```
    /// # use micadyke_shards::{Range, compare::Next, face::{InForce, Reading, Shards}};
    /// # use micadyke_shards::{keep::{Terms, Weighed}, map::{Map, Owner, Part}, split::Rules};
    /// # let rules = Rules {
    /// #     entries: 100, rate: 90, per_1000: 0, merge: 0, at_once: 2, slices: 4, reads: 20, copy_for: 60,
    /// #     twice_for: 60, again_after: 30, again_most: 3_600, gone_for: 10,
    /// # };
    /// # let terms = Terms { fronts: 3, serve: 1_000, drift: 10 };
    /// # let map = Map::founded(4, [("f1", 7), ("f2", 9)]);
    /// # let mut shards = Shards::new(terms, rules, "f1", 7);
    /// use micadyke_shards::{compare::Answer, index::Index};
    /// let mut reading = Reading::of(&map, 42).unwrap();
    /// let key = micadyke_directory::Key::Title("t".into());
    /// for (name, start) in [("f1", 7), ("f2", 8), ("f2", 9)] {
    ///     assert!(!reading.old.whole());
    ///     reading.answered(Answer::of(&Owner::new(name, start), &Index::new(Range::RING), &key, false));
    /// }
    /// assert!(reading.old.whole());
    /// ```
    pub fn answered(&mut self, answer: Answer) {
        for side in [&mut self.old, &mut self.new] {
            if side.asked.contains(&(answer.owner.clone(), answer.range)) {
                side.answers.push(answer.clone());
            }
        }
    }
}

/// What a beat came to.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Beat {
    /// Words for members, also for this one.
    pub words: Vec<(String, Word)>,
    /// The move of the map that this leader proposed, for the log.
    pub step: Option<Step>,
}

/// A member's side of the map, and the leader's.
///
/// A fleet of one founds its map, and its directory goes by it:
///
/// ```
/// use micadyke_deadline::FixedDeadline;
/// use micadyke_directory::{Directory, Input, Key, MS, Settings};
/// use micadyke_shards::face::Shards;
/// use micadyke_shards::keep::{Epoch, Lease, Terms};
/// # use micadyke_shards::split::Rules;
/// # let rules = Rules {
/// #     entries: 100, rate: 90, per_1000: 0, merge: 0, at_once: 2, slices: 4, reads: 20, copy_for: 60,
/// #     twice_for: 60, again_after: 30, again_most: 3_600, gone_for: 10,
/// # };
/// let terms = Terms { fronts: 1, serve: 1_000, drift: 10 };
/// let mut shards = Shards::new(terms, rules, "f1", 7);
/// let mut directory = Directory::new(Settings::new("f1", 7), Box::new(FixedDeadline(50 * MS)), 0);
///
/// let lease = Lease { epoch: Epoch { number: 1, leader: "f1".into(), start: 7 }, until: 3_000 };
/// let view = [("f1".to_owned(), 7)].into();
/// let mut words = shards.beat(0, Some(&lease), &view).words;
/// while let Some((_, word)) = words.pop() {
///     words.extend(shards.hear(0, "f1", word));
/// }
/// let map = shards.moved().expect("a map");
/// let mut out = Vec::new();
/// directory.handle(0, Input::Map(Box::new(map)), &mut out);
/// assert_eq!(directory.owners(&Key::Title("news".into())), ["f1"]);
/// // Each map is handed out once.
/// assert!(shards.moved().is_none());
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Shards {
    keeper: Keeper,
    mover: Mover,
    given: u64,
}

impl Shards {
    /// Of a member that has just started.
    ///
    /// ```
    /// # use micadyke_shards::{Range, compare::Next, face::{InForce, Reading, Shards}};
    /// # use micadyke_shards::{keep::{Terms, Weighed}, map::{Map, Owner, Part}, split::Rules};
    /// # let rules = Rules {
    /// #     entries: 100, rate: 90, per_1000: 0, merge: 0, at_once: 2, slices: 4, reads: 20, copy_for: 60,
    /// #     twice_for: 60, again_after: 30, again_most: 3_600, gone_for: 10,
    /// # };
    /// # let terms = Terms { fronts: 3, serve: 1_000, drift: 10 };
    /// # let map = Map::founded(4, [("f1", 7), ("f2", 9)]);
    /// # let mut shards = Shards::new(terms, rules, "f1", 7);
    /// assert!(shards.moved().is_none() && shards.reading(42).is_none());
    /// ```
    pub fn new(terms: Terms, rules: Rules, name: &str, start: u64) -> Self {
        Shards { keeper: Keeper::new(terms, name, start), mover: Mover::new(rules), given: 0 }
    }

    /// Takes a feature out, for tests and measurements that show what it is good for.
    #[doc(hidden)]
    pub fn without(self, feature: Option<Feature>) -> Self {
        Shards { keeper: self.keeper.without(feature), mover: self.mover.without(feature), ..self }
    }

    /// The member's side: who owns, who may serve until when.
    ///
    /// ```
    /// # use micadyke_shards::{Range, compare::Next, face::{InForce, Reading, Shards}};
    /// # use micadyke_shards::{keep::{Terms, Weighed}, map::{Map, Owner, Part}, split::Rules};
    /// # let rules = Rules {
    /// #     entries: 100, rate: 90, per_1000: 0, merge: 0, at_once: 2, slices: 4, reads: 20, copy_for: 60,
    /// #     twice_for: 60, again_after: 30, again_most: 3_600, gone_for: 10,
    /// # };
    /// # let terms = Terms { fronts: 3, serve: 1_000, drift: 10 };
    /// # let map = Map::founded(4, [("f1", 7), ("f2", 9)]);
    /// # let mut shards = Shards::new(terms, rules, "f1", 7);
    /// shards.learn(&map);
    /// assert!(shards.keeper().owns(Range::RING));
    /// ```
    pub fn keeper(&self) -> &Keeper {
        &self.keeper
    }

    /// To be called well within [`Terms::serve`]. `lease`: while this member has it; `view`: who lives in the
    /// settled view, and as which start. A leader confirms the map with each beat, and moves it where it is
    /// to move.
    ///
    /// ```
    /// # use micadyke_shards::{face::{Beat, Shards}, keep::Terms, split::Rules};
    /// # let rules = Rules {
    /// #     entries: 100, rate: 90, per_1000: 0, merge: 0, at_once: 2, slices: 4, reads: 20, copy_for: 60,
    /// #     twice_for: 60, again_after: 30, again_most: 3_600, gone_for: 10,
    /// # };
    /// # let terms = Terms { fronts: 3, serve: 1_000, drift: 10 };
    /// // Who does not lead says nothing.
    /// assert_eq!(Shards::new(terms, rules, "f1", 7).beat(0, None, &Default::default()), Beat::default());
    /// ```
    pub fn beat(&mut self, now: Nanos, lease: Option<&Lease>, view: &BTreeMap<String, u64>) -> Beat {
        let Some(lease) = lease.filter(|l| now < l.until) else {
            self.keeper.follow();
            return Beat::default();
        };
        let words = self.keeper.lead(now, lease, view);
        let Some(map) = self.keeper.leads(now).cloned() else { return Beat { words, step: None } };
        let lag = self.keeper.may_lag(now);
        let Some(step) = self.mover.next(now, &map, view, lag) else { return Beat { words, step: None } };
        // The round of the move is the newer one, and takes the place of the one just made.
        match self.keeper.propose(now, step.map.clone()) {
            Ok(words) => Beat { words, step: Some(step) },
            // Decided anew with the next beat.
            Err(_) => Beat { words, step: None },
        }
    }

    /// A word of a member, or of this one. Returns the answers.
    ///
    /// ```
    /// # use micadyke_shards::{Range, compare::Next, face::{InForce, Reading, Shards}};
    /// # use micadyke_shards::{keep::{Terms, Weighed}, map::{Map, Owner, Part}, split::Rules};
    /// # let rules = Rules {
    /// #     entries: 100, rate: 90, per_1000: 0, merge: 0, at_once: 2, slices: 4, reads: 20, copy_for: 60,
    /// #     twice_for: 60, again_after: 30, again_most: 3_600, gone_for: 10,
    /// # };
    /// # let terms = Terms { fronts: 3, serve: 1_000, drift: 10 };
    /// # let map = Map::founded(4, [("f1", 7), ("f2", 9)]);
    /// # let mut shards = Shards::new(terms, rules, "f1", 7);
    /// use micadyke_shards::keep::{Epoch, Term, Word};
    /// // A leader reads; a member that has just started says that it knows nothing.
    /// let term = Term { turn: 1, epoch: Epoch { number: 1, leader: "f2".into(), start: 9 } };
    /// let words = shards.hear(0, "f2", Word::Read { term: term.clone() });
    /// assert_eq!(words, [("f2".to_owned(), Word::New { term, start: 7 })]);
    /// ```
    pub fn hear(&mut self, now: Nanos, from: &str, word: Word) -> Vec<(String, Word)> {
        self.keeper.handle(now, from, word)
    }

    /// A map that an asker or an owner handed over.
    ///
    /// ```
    /// # use micadyke_shards::{face::Shards, keep::Terms, map::Map, split::Rules};
    /// # let rules = Rules {
    /// #     entries: 100, rate: 90, per_1000: 0, merge: 0, at_once: 2, slices: 4, reads: 20, copy_for: 60,
    /// #     twice_for: 60, again_after: 30, again_most: 3_600, gone_for: 10,
    /// # };
    /// # let terms = Terms { fronts: 3, serve: 1_000, drift: 10 };
    /// let mut shards = Shards::new(terms, rules, "f1", 7);
    /// assert!(shards.learn(&Map::founded(3, [("f1", 7)])) && !shards.learn(&Map::founded(2, [("f2", 9)])));
    /// assert_eq!(shards.moved().unwrap().map().number, 3);
    /// ```
    pub fn learn(&mut self, map: &Map) -> bool {
        self.keeper.learn(map)
    }

    /// The map to be put in force, once for each number.
    ///
    /// ```
    /// # use micadyke_shards::{Range, compare::Next, face::{InForce, Reading, Shards}};
    /// # use micadyke_shards::{keep::{Terms, Weighed}, map::{Map, Owner, Part}, split::Rules};
    /// # let rules = Rules {
    /// #     entries: 100, rate: 90, per_1000: 0, merge: 0, at_once: 2, slices: 4, reads: 20, copy_for: 60,
    /// #     twice_for: 60, again_after: 30, again_most: 3_600, gone_for: 10,
    /// # };
    /// # let terms = Terms { fronts: 3, serve: 1_000, drift: 10 };
    /// # let map = Map::founded(4, [("f1", 7), ("f2", 9)]);
    /// # let mut shards = Shards::new(terms, rules, "f1", 7);
    /// shards.learn(&map);
    /// assert_eq!(shards.moved(), Some(InForce::new(map)));
    /// assert_eq!(shards.moved(), None);
    /// ```
    pub fn moved(&mut self) -> Option<InForce> {
        let map = self.keeper.map().filter(|m| m.number > self.given)?;
        self.given = map.number;
        Some(InForce::new(map.clone()))
    }

    /// How an asker or a writer that goes by map `number` stands to this member; see [`Keeper::weigh`].
    ///
    /// ```
    /// # use micadyke_shards::{Range, compare::Next, face::{InForce, Reading, Shards}};
    /// # use micadyke_shards::{keep::{Terms, Weighed}, map::{Map, Owner, Part}, split::Rules};
    /// # let rules = Rules {
    /// #     entries: 100, rate: 90, per_1000: 0, merge: 0, at_once: 2, slices: 4, reads: 20, copy_for: 60,
    /// #     twice_for: 60, again_after: 30, again_most: 3_600, gone_for: 10,
    /// # };
    /// # let terms = Terms { fronts: 3, serve: 1_000, drift: 10 };
    /// # let map = Map::founded(4, [("f1", 7), ("f2", 9)]);
    /// # let mut shards = Shards::new(terms, rules, "f1", 7);
    /// shards.learn(&map);
    /// assert_eq!(shards.weigh(0, 3), Weighed::Older(&map));
    /// ```
    pub fn weigh(&self, now: Nanos, number: u64) -> Weighed<'_> {
        self.keeper.weigh(now, number)
    }

    /// How a question about a point is to be asked; `None` while no map is known.
    ///
    /// ```
    /// # use micadyke_shards::{Range, compare::Next, face::{InForce, Reading, Shards}};
    /// # use micadyke_shards::{keep::{Terms, Weighed}, map::{Map, Owner, Part}, split::Rules};
    /// # let rules = Rules {
    /// #     entries: 100, rate: 90, per_1000: 0, merge: 0, at_once: 2, slices: 4, reads: 20, copy_for: 60,
    /// #     twice_for: 60, again_after: 30, again_most: 3_600, gone_for: 10,
    /// # };
    /// # let terms = Terms { fronts: 3, serve: 1_000, drift: 10 };
    /// # let map = Map::founded(4, [("f1", 7), ("f2", 9)]);
    /// # let mut shards = Shards::new(terms, rules, "f1", 7);
    /// shards.learn(&map);
    /// assert_eq!(shards.reading(42).unwrap().number, 4);
    /// ```
    pub fn reading(&self, point: Point) -> Option<Reading> {
        self.keeper.map().and_then(|m| Reading::of(m, point))
    }

    /// An owner's report; counts with who leads.
    ///
    /// ```
    /// # use micadyke_shards::{Range, compare::Next, face::{InForce, Reading, Shards}};
    /// # use micadyke_shards::{keep::{Terms, Weighed}, map::{Map, Owner, Part}, split::Rules};
    /// # let rules = Rules {
    /// #     entries: 100, rate: 90, per_1000: 0, merge: 0, at_once: 2, slices: 4, reads: 20, copy_for: 60,
    /// #     twice_for: 60, again_after: 30, again_most: 3_600, gone_for: 10,
    /// # };
    /// # let terms = Terms { fronts: 3, serve: 1_000, drift: 10 };
    /// # let map = Map::founded(4, [("f1", 7), ("f2", 9)]);
    /// # let mut shards = Shards::new(terms, rules, "f1", 7);
    /// use micadyke_shards::split::Report;
    /// let (owner, stand) = (Owner::new("f1", 7), Default::default());
    /// // Who does not lead does nothing with it.
    /// let range = Range::RING;
    /// shards.report(0, Report { owner, number: 4, range, entries: 9, rate: 1, filled: true, stand });
    /// assert!(shards.lacking(0).is_empty());
    /// ```
    pub fn report(&mut self, now: Nanos, report: Report) {
        if let Some(map) = self.keeper.leads(now).cloned() {
            self.mover.report(now, &map, report);
        }
    }

    /// What came of a question about a point that was read twice under map `number`; counts with who leads.
    ///
    /// ```
    /// # use micadyke_shards::{Range, compare::Next, face::{InForce, Reading, Shards}};
    /// # use micadyke_shards::{keep::{Terms, Weighed}, map::{Map, Owner, Part}, split::Rules};
    /// # let rules = Rules {
    /// #     entries: 100, rate: 90, per_1000: 0, merge: 0, at_once: 2, slices: 4, reads: 20, copy_for: 60,
    /// #     twice_for: 60, again_after: 30, again_most: 3_600, gone_for: 10,
    /// # };
    /// # let terms = Terms { fronts: 3, serve: 1_000, drift: 10 };
    /// # let map = Map::founded(4, [("f1", 7), ("f2", 9)]);
    /// # let mut shards = Shards::new(terms, rules, "f1", 7);
    /// shards.read(0, 4, 42, Next::Count);
    /// assert!(shards.lacking(0).is_empty());
    /// ```
    pub fn read(&mut self, now: Nanos, number: u64, point: Point, came: Next) {
        let Some(map) = self.keeper.leads(now).cloned() else { return };
        match came {
            Next::Count => self.mover.equal(now, &map, number, point, 1),
            Next::Flag(found) => self.mover.flag(now, &map, number, point, found),
            Next::Again | Next::GiveUp => {}
        }
    }

    /// Ranges that a leader lacks equal reads of: nobody asks about them, so that it is to ask itself.
    ///
    /// ```
    /// # use micadyke_shards::{Range, compare::Next, face::{InForce, Reading, Shards}};
    /// # use micadyke_shards::{keep::{Terms, Weighed}, map::{Map, Owner, Part}, split::Rules};
    /// # let rules = Rules {
    /// #     entries: 100, rate: 90, per_1000: 0, merge: 0, at_once: 2, slices: 4, reads: 20, copy_for: 60,
    /// #     twice_for: 60, again_after: 30, again_most: 3_600, gone_for: 10,
    /// # };
    /// # let terms = Terms { fronts: 3, serve: 1_000, drift: 10 };
    /// # let map = Map::founded(4, [("f1", 7), ("f2", 9)]);
    /// # let mut shards = Shards::new(terms, rules, "f1", 7);
    /// assert!(shards.lacking(0).is_empty());
    /// ```
    pub fn lacking(&self, now: Nanos) -> Vec<Range> {
        self.keeper.leads(now).map_or_else(Vec::new, |m| self.mover.lacking(m))
    }
}
