//! Questions that this member asked: what has arrived, what is missing, and when the wait is over.

use crate::answer::{Answer, Entry, Report, Why};
use crate::{Key, MS, Nanos};
use micadyke_deadline::{AskedMember, Deadline, KNOWN_MISSING, OpenQuery};
use std::collections::{BTreeMap, BTreeSet};

/// Pages of an answer at most: a title that plays at more servers and nodes than these hold is told in part.
pub(crate) const PAGES: usize = 16;

/// Pages of one owner's answer so far.
#[derive(Debug, Default)]
struct Pages {
    seen: BTreeSet<u8>,
    of: u8,
    covered: Option<Vec<u8>>,
    oldest_ms: u64,
    rows: Vec<Entry>,
}

/// A page that came.
pub(crate) struct Page {
    pub page: u8,
    pub pages: u8,
    pub cut: bool,
    pub covered: Option<Vec<u8>>,
    pub oldest_ms: u64,
    pub rows: Vec<Entry>,
}

/// A question.
#[derive(Debug)]
pub(crate) struct Question {
    pub key: Key,
    asked_at: Nanos,
    limit: Nanos,
    pub until: Nanos,
    /// Its answer was given; it stays for those that answer late.
    pub closed: Option<Nanos>,
    waited: Vec<AskedMember>,
    /// Who was given up by the view, or left.
    gone: BTreeSet<String>,
    /// Who left, having ended its work: its book is empty.
    left: BTreeSet<String>,
    busy: BTreeSet<String>,
    pages: BTreeMap<String, Pages>,
    /// Entrys by node and server; whether who told a row vouched for its node's book as well.
    rows: BTreeMap<(String, String), (bool, Entry)>,
    me: String,
    /// Those that lived when it was asked, by name, and whether their books are accounted for.
    roster: Vec<(String, bool)>,
    oldest_ms: u64,
    cut: bool,
    /// How late the own loop was since it was asked.
    pub own_delay: Nanos,
}

impl Question {
    /// A question to these, in a view of those; the asker's own rows are told at once.
    pub fn new(
        key: Key, now: Nanos, limit: Nanos, waited: Vec<AskedMember>, roster: Vec<String>, me: &str,
        own: Vec<Entry>,
    ) -> Self {
        let roster = roster.into_iter().map(|n| (n == me, n)).map(|(own, n)| (n, own)).collect();
        let rows = own.into_iter().map(|r| ((r.node.clone(), r.at.clone()), (true, r))).collect();
        Question {
            key,
            asked_at: now,
            limit,
            until: limit,
            closed: None,
            waited,
            gone: BTreeSet::new(),
            left: BTreeSet::new(),
            busy: BTreeSet::new(),
            pages: BTreeMap::new(),
            rows,
            me: me.to_owned(),
            roster,
            oldest_ms: 0,
            cut: false,
            own_delay: 0,
        }
    }

    pub fn limit(&self) -> Nanos {
        self.limit
    }

    pub fn asked_at(&self) -> Nanos {
        self.asked_at
    }

    /// Whether an answer may still come, in time or late.
    pub fn awaits(&self) -> bool {
        self.waited.iter().any(|w| w.answered_at.is_none() && !self.gone.contains(&w.name))
    }

    /// Asks the deadline anew, of those that the view has not given up.
    pub fn reckon(&mut self, now: Nanos, deadline: &mut dyn Deadline) {
        // What is known here came from nobody.
        let others = |w: &&AskedMember| w.name != self.me;
        let counts = |w: &&AskedMember| !self.gone.contains(&w.name) && !self.busy.contains(&w.name);
        let mut waited: Vec<AskedMember> =
            self.waited.iter().filter(others).filter(counts).cloned().collect();
        if waited.is_empty() {
            self.until = now.min(self.limit);
            return;
        }
        // A book that is accounted for stands to who covered it first; what is not yet, to those that are missing alike.
        let (members, covered) = self.covered();
        let rest = (members - covered) as f64 / members.max(1) as f64;
        let missing = waited.iter().filter(|w| w.answered_at.is_none()).count().max(1) as f64;
        waited.iter_mut().filter(|w| w.answered_at.is_none()).for_each(|w| w.weight = rest / missing);
        let known = 1.0 - waited.iter().map(|w| w.weight).sum::<f64>();
        if known > 0.0 {
            // Known here from the start: a part of the whole, and no word of how quick others are.
            let (name, zone) = (self.me.clone(), String::new());
            waited.push(AskedMember {
                name,
                zone,
                weight: known,
                liveness: KNOWN_MISSING,
                answered_at: Some(self.asked_at),
            });
        }
        let open = OpenQuery {
            kind: self.key.parts().0,
            asked_at: self.asked_at,
            deadline: self.limit,
            members: waited,
        };
        self.until = deadline.wait_until(now, &open).min(self.limit);
    }

    /// Books that may still be accounted for, and those of them that are: what the wait goes by.
    fn covered(&self) -> (usize, usize) {
        self.books_without(&self.gone)
    }

    /// Books of all that lived when it was asked and did not leave, and those of them that are accounted for: what a whole
    /// answer goes by. Who was given up meanwhile may be cut off and play on.
    fn accounted(&self) -> (usize, usize) {
        self.books_without(&self.left)
    }

    /// Books of all that lived when it was asked but these, and those of them that are accounted for.
    fn books_without(&self, members: &BTreeSet<String>) -> (usize, usize) {
        let due = self.roster.iter().filter(|(name, _)| !members.contains(name));
        due.fold((0, 0), |(all, accounted), (_, covered)| (all + 1, accounted + usize::from(*covered)))
    }

    /// An answer is there, with so many books that were not accounted for before; none: it said that it has too much to do,
    /// which is no word of how quick its answers are.
    fn arrived(&mut self, now: Nanos, from: &str, books: Option<usize>, deadline: &mut dyn Deadline) {
        let (kind, took, own) = (self.key.parts().0, now - self.asked_at, self.own_delay);
        let members = self.covered().0.max(1) as f64;
        let Some(waited) = self.waited.iter_mut().find(|w| w.name == from && w.answered_at.is_none()) else {
            return;
        };
        waited.answered_at = Some(now);
        waited.weight = books.unwrap_or_default() as f64 / members;
        if from != self.me && books.is_some() {
            deadline.record_answer(kind, from, &waited.zone, took, own);
        }
        if self.closed.is_none() {
            self.reckon(now, deadline);
        }
    }

    /// Takes a page of an owner's answer; late ones count for learning alone.
    pub fn page(&mut self, now: Nanos, from: &str, page: Page, deadline: &mut dyn Deadline) {
        let asked = self.waited.iter().any(|w| w.name == from && w.answered_at.is_none());
        if !asked || page.pages == 0 || page.page >= page.pages || usize::from(page.pages) > PAGES {
            return;
        }
        let pages = self.pages.entry(from.to_owned()).or_default();
        if !pages.seen.insert(page.page) {
            return;
        }
        pages.of = page.pages;
        if page.page == 0 {
            (pages.covered, pages.oldest_ms) = (page.covered, page.oldest_ms);
        }
        if self.closed.is_none() {
            pages.rows.extend(page.rows);
            self.cut |= page.cut;
        }
        if pages.seen.len() == usize::from(pages.of) {
            let books = self.complete(from);
            self.arrived(now, from, Some(books), deadline);
        }
    }

    /// All pages of an owner are there: how many books are accounted for by them first.
    fn complete(&mut self, from: &str) -> usize {
        let Some(pages) = self.pages.get_mut(from).filter(|_| self.closed.is_none()) else { return 0 };
        let (bits, rows) = (pages.covered.take().unwrap_or_default(), std::mem::take(&mut pages.rows));
        let covers = |place: usize| bits.get(place / 8).is_some_and(|b| b >> (place % 8) & 1 == 1);
        let vouched = |row: &Entry| self.roster.binary_search_by(|r| r.0.cmp(&row.node)).is_ok_and(covers);
        let rows: Vec<(bool, Entry)> = rows.into_iter().map(|r| (vouched(&r), r)).collect();
        rows.into_iter().for_each(|r| self.row(r));
        let oldest_ms = self.pages.get(from).map_or(0, |p| p.oldest_ms);
        let mut books = 0;
        for (_, held) in self.roster.iter_mut().enumerate().filter(|(place, _)| covers(*place)) {
            books += usize::from(!held.1);
            held.1 = true;
            self.oldest_ms = self.oldest_ms.max(oldest_ms);
        }
        books
    }

    fn row(&mut self, (vouched, row): (bool, Entry)) {
        // Of the own book nobody else is heard.
        if row.node == self.me {
            return;
        }
        let place = (row.node.clone(), row.at.clone());
        let rank = |vouched: bool, row: &Entry| (vouched, row.start, row.seq);
        if self.rows.get(&place).is_none_or(|held| rank(held.0, &held.1) < rank(vouched, &row)) {
            self.rows.insert(place, (vouched, row));
        }
    }

    /// It has too much to do.
    pub fn busy(&mut self, now: Nanos, from: &str, deadline: &mut dyn Deadline) {
        if self.waited.iter().any(|w| w.name == from) {
            self.busy.insert(from.to_owned());
            self.arrived(now, from, None, deadline);
        }
    }

    /// It left, its work being over; that it is gone is told beside this.
    pub fn left(&mut self, name: &str) {
        self.left.insert(name.to_owned());
    }

    /// The view gave it up: it is not waited for.
    pub fn gone(&mut self, now: Nanos, name: &str, deadline: &mut dyn Deadline) {
        let due = self.roster.binary_search_by(|r| r.0.as_str().cmp(name)).is_ok();
        if due && self.gone.insert(name.to_owned()) && self.closed.is_none() {
            self.reckon(now, deadline);
        }
    }

    /// The chance that it lives is another one.
    pub fn lives(&mut self, now: Nanos, name: &str, chance: f64, deadline: &mut dyn Deadline) {
        let Some(waited) = self.waited.iter_mut().find(|w| w.name == name && w.answered_at.is_none()) else {
            return;
        };
        waited.liveness = chance;
        if self.closed.is_none() {
            self.reckon(now, deadline);
        }
    }

    /// Why it is over, if it is.
    pub fn over(&self, now: Nanos) -> Option<Why> {
        let lives = |name: &str| !self.gone.contains(name);
        let (members, covered) = self.accounted();
        if !self.cut && covered == members {
            return Some(Why::Covered);
        }
        let mut missing = self.waited.iter().filter(|w| w.answered_at.is_none());
        if missing.clone().next().is_none() {
            return Some(Why::AllAnswered);
        }
        if missing.all(|w| !lives(&w.name)) {
            return Some(Why::Gone);
        }
        let timed = if self.until >= self.limit { Why::Patience } else { Why::NotWorth };
        (now >= self.until).then_some(timed)
    }

    /// What has arrived.
    pub fn answer(&mut self, now: Nanos, ended: Why, without_judgement: bool) -> Answer {
        self.closed = Some(now);
        // Pages of those that have not told all: rows that nobody vouches for.
        let rest = self.pages.values_mut().flat_map(|p| std::mem::take(&mut p.rows));
        let rest: Vec<Entry> = rest.collect();
        rest.into_iter().for_each(|r| self.row((false, r)));
        let (members, covered) = self.accounted();
        let names = |of: &dyn Fn(&&AskedMember) -> bool| {
            self.waited.iter().filter(of).map(|w| w.name.clone()).collect()
        };
        let report = Report {
            key: self.key.clone(),
            asked: names(&|_| true),
            answered: names(&|w| w.answered_at.is_some() && !self.busy.contains(&w.name)),
            busy: self.busy.iter().cloned().collect(),
            given_up: self.gone.iter().cloned().collect(),
            members,
            covered: if without_judgement { members } else { covered },
            oldest_ms: self.oldest_ms,
            cut: self.cut,
            asked_at: self.asked_at,
            deadline: self.until,
            ended_at: now,
            ended,
        };
        let wait_ms = now.saturating_sub(self.asked_at) / MS;
        // Where a book is accounted for, only what came with that word counts: the rest may be over. So with all where all
        // are.
        let whole = covered == members && !self.cut;
        let place = |node: &str| self.roster.binary_search_by(|r| r.0.as_str().cmp(node));
        let hint = |node: &str| !whole && place(node).map_or(true, |n| !self.roster[n].1);
        let rows = std::mem::take(&mut self.rows).into_values().filter(|r| r.0 || hint(&r.1.node));
        let rows = rows.map(|r| r.1).filter(|r| r.count > 0);
        let aged = rows.map(|r| Entry { age_ms: r.age_ms.saturating_add(wait_ms), ..r });
        Answer::judge(aged.collect(), report)
    }

    /// It is forgotten: who never answered is told to the deadline; not where the own loop was late for an eighth of the time,
    /// for then answers may have been lost here.
    pub fn forget(&self, now: Nanos, deadline: &mut dyn Deadline) {
        if self.own_delay.saturating_mul(8) > now.saturating_sub(self.asked_at) {
            return;
        }
        for w in self.waited.iter().filter(|w| w.answered_at.is_none() && !self.gone.contains(&w.name)) {
            deadline.record_missing(self.key.parts().0, &w.name, &w.zone, now.saturating_sub(self.asked_at));
        }
    }
}
