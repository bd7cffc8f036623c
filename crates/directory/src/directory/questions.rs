//! Questions to the owners of a key, and answers to those of others.

use super::{Directory, Feature, Lane, Output, Own, PULSE, PULSES, Peer, ROOM};
use crate::answer::{Answer, Entry};
use crate::asking::{PAGES, Page, Question};
use crate::range_index::{LOW, Place};
use crate::wire::{Id, Message, chunks};
use crate::{Error, Key, MS, Nanos, Point, SECOND};
use micadyke_deadline::AskedMember;

/// Questions open at most; and closed ones that wait for late answers, for so long.
const OPEN: usize = 64;
const CLOSED: usize = 256;
pub(super) const LATE: Nanos = 10 * SECOND;

impl Directory {
    /// Asks. The answer comes as [`Output::Answered`] at `limit` at the latest, at once where this member owns the key and
    /// all is known. A question that is open for the same key and ends no later is joined: its number is returned.
    ///
    /// # Errors
    ///
    /// [`Error::Open`] and [`Error::Rate`]: too much is asked. Nothing was sent.
    ///
    /// ```
    /// # use micadyke_deadline::FixedDeadline;
    /// # use micadyke_directory::*;
    /// let mut alone = Directory::new(Settings::new("n1", 1), Box::new(FixedDeadline(50 * MS)), 0);
    /// let mut out = Vec::new();
    /// alone.handle(0, Input::Started(&Session::new("news", "v1", "s3")), &mut out);
    /// let id = alone.ask(MS, Key::Viewer("v1".into()), SECOND, &mut out)?;
    /// assert!(matches!(&out[..], [Output::Answered { id: i, answer: Answer::Whole(w) }] if *i == id && w.sum() == 1));
    /// # Ok::<(), Error>(())
    /// ```
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
            AskedMember {
                name: name.clone(),
                zone: peer.map_or(self.settings.zone.clone(), |p| p.zone.clone()),
                // What it adds to what is accounted for is known when it has answered.
                weight: 0.0,
                liveness: peer.map_or(1.0, |p| self.chance(p)),
                answered_at: None,
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
        self.pulse_at = self.now + PULSE;
        self.questions.insert(self.question, question);
        let id = self.question;
        self.due();
        out.append(&mut self.out);
        Ok(id)
    }

    /// All that live, by name.
    pub(super) fn roster(&self) -> Vec<&str> {
        let mut names: Vec<&str> = self.peers.keys().map(String::as_str).collect();
        let me = self.settings.name.as_str();
        names.insert(names.partition_point(|n| *n < me), me);
        names
    }

    pub(super) fn own_rows(&self, key: &Key) -> Vec<Entry> {
        let least = (key.point() & !LOW, Key::Title(String::new()), String::new());
        let (last, name) = (key.point() | LOW, &self.settings.name);
        let mine = self.own.range(least..).take_while(|o| o.0.0 <= last).filter(|o| o.0.1 == *key);
        let row = |(place, own): (&Place, &Own)| Entry {
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
    pub(super) fn covers(&self, peer: &Peer, point: Point) -> Option<Nanos> {
        if !self.has(Feature::Cover) {
            return Some(self.now);
        }
        let (at, generation) = peer.covered?;
        (self.owned_since(point, generation) && self.now <= at.saturating_add(self.bound())).then_some(at)
    }

    /// What is known here of a key: whose books are accounted for, where the asker sees the same members; the oldest word
    /// that counts; the lines.
    pub(super) fn found(&self, key: &Key, view: u64) -> (Option<Vec<u8>>, u64, Vec<Entry>) {
        let point = key.point();
        let age = |at: Nanos| self.now.saturating_sub(at) / MS;
        let (mut rows, mut oldest) = (self.own_rows(key), 0);
        let mut covered = vec![0u8; self.members().div_ceil(8)];
        for (place, name) in self.roster().into_iter().enumerate() {
            let at = match self.peers.get(name) {
                None => Some(self.now),
                Some(peer) => {
                    let at = self.covers(peer, point);
                    for (place, line) in peer.replica.of(key) {
                        let node = name.to_owned();
                        let (start, seq, count) = (peer.start, line.seq, line.count);
                        let age_ms = age(at.unwrap_or(0).max(line.heard));
                        rows.push(Entry { node, start, seq, at: place.2.clone(), count, age_ms });
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

    pub(super) fn asked(&mut self, from: &str, id: Id, key: &Key, view: u64) {
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

    pub(super) fn questions_due(&mut self) {
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
        if self.now >= self.pulse_at {
            let youngest = self.questions.values().filter(|q| q.awaits()).map(|q| q.asked_at()).max();
            let after = |at: Nanos| self.now + PULSE.max((self.now - at) / PULSES);
            self.pulse_at = youngest.map_or(Nanos::MAX, after);
        }
        let closed = self.questions.values().filter(|q| q.closed.is_some()).count();
        let mut surplus = closed.saturating_sub(CLOSED);
        let (now, deadline) = (self.now, &mut self.deadline);
        self.questions.retain(|_, question| {
            let Some(at) = question.closed else { return true };
            let stays = now < at + LATE && surplus == 0 && question.awaits();
            if !stays {
                surplus = surplus.saturating_sub(1);
                question.forget(now, &mut **deadline);
            }
            stays
        });
    }
}
