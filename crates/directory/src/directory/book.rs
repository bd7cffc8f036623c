//! The own book, told to the owners of its lines; beats, by which they know how it stands.

use super::{Directory, Feature, Lane, Own, ROOM, Session};
use crate::range_index::{Line, Place, Sum, add, parts, take};
use crate::wire::{Message, Told, chunks};
use crate::{Key, MS, Nanos};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Lines that changed wait so long for more to go with them.
const FLUSH: Nanos = 50 * MS;
/// A range is compared by so many parts; one that differs with so many lines at most is sent.
const PARTS: u64 = 16;
const FILL: usize = 64;

impl Directory {
    pub(super) fn booked(&mut self, session: &Session, started: bool) {
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
    pub(super) fn flush(&mut self, name: &str) {
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

    pub(super) fn beat_next(&mut self) {
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
            zone: self.settings.zone.clone(),
        };
        self.send(Lane::Beat, &next, &beat);
    }

    /// A member's book stands so.
    pub(super) fn beaten(&mut self, from: &str, map: u64, mark: u64, echo: (u64, u64), book: (u64, Sum)) {
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
        if peer.replica.sum() == book.1 || !cover {
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
    pub(super) fn look(&mut self, from: &str, first: u64, last: u64) {
        let map = self.number();
        let Some(peer) = self.peers.get(from) else { return };
        let sum = |(first, last)| peer.replica.range(first, last).fold((0, 0), |sum, l| add(sum, l.1.mark));
        let sums = parts(first, last, PARTS).into_iter().map(sum).collect();
        self.send(Lane::Lines, from, &Message::Look { map, first, last, sums });
    }

    /// A member's copy of the own book stands so.
    pub(super) fn looked(&mut self, from: &str, map: u64, range: (u64, u64), sums: &[Sum]) {
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
    pub(super) fn told(&self, to: &str, first: u64, last: u64) -> Vec<(Told, u64)> {
        let least = (first, Key::Title(String::new()), String::new());
        let range = self.own.range(least..).take_while(|o| o.0.0 <= last);
        let theirs = range.filter(|o| o.1.owners.iter().any(|w| **w == *to));
        let told = |(place, own): (&Place, &Own)| {
            let (key, at) = (place.1.clone(), place.2.clone());
            (Told { key, at, seq: own.line.seq, count: own.line.count }, own.line.mark)
        };
        theirs.map(told).collect()
    }

    pub(super) fn fill(&mut self, to: &str, first: u64, last: u64) {
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
    pub(super) fn replicate(&mut self, from: &str, told: Told) {
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
        let held = peer.replica.get(&place);
        if held.is_some_and(|l| l.seq >= told.seq) {
            return;
        }
        let known = held.is_some();
        match (told.count, known) {
            (0, true) => {
                self.held -= 1;
                peer.replica.remove(&place);
            }
            (0, false) => {}
            (_, false) if self.held >= self.settings.lines => self.counts.refused += 1,
            (count, known) => {
                self.held += usize::from(!known);
                let line = Line::new(&place, peer.start, told.seq, count, self.now);
                peer.replica.put(place, line);
            }
        }
    }

    /// Takes all lines of a range.
    pub(super) fn filled(&mut self, from: &str, first: u64, last: u64, through: u64, told: Vec<Told>) {
        let Some(peer) = self.peers.get_mut(from) else { return };
        self.counts.filled += 1;
        let listed: BTreeSet<Place> = told.iter().map(Told::place).collect();
        let over = peer.replica.range(first, last).filter(|l| l.1.seq <= through && !listed.contains(l.0));
        let over: Vec<Place> = over.map(|l| l.0.clone()).collect();
        for place in over {
            peer.replica.remove(&place);
            self.held -= 1;
        }
        for told in told.into_iter().filter(|t| t.seq <= through && t.count > 0) {
            self.replicate(from, told);
        }
    }
}
