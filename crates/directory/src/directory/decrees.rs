//! Withdrawals: given, told on, and followed until nothing is left anywhere.

use super::{Directory, Feature, LOST, Lane, Output, ROOM};
use crate::wire::{Message, Record, chunks};
use crate::withdrawal::{Holds, Known, LONGEST_HOLD, Progress, Said, Taken, Track, Waits};
use crate::{Error, Key, MS, Nanos, SECOND, hash};
use std::collections::BTreeSet;

/// Members that have not confirmed a withdrawal are asked so often.
const AGAIN: Nanos = SECOND;
/// The node is asked so often to look again while sessions are left.
const LOOK: Nanos = SECOND;
/// One member is told all withdrawals so often at most.
const GOSSIP: Nanos = SECOND;
/// Starts that were given up that fit into one message.
const LOST_TOLD: usize = 48;

impl Directory {
    /// Withdraws a title or a viewer, at all members, for `span` unless it is lifted before; and follows it. Withdrawn again,
    /// its time begins anew.
    ///
    /// # Errors
    ///
    /// [`Error::Kind`], [`Error::Span`], [`Error::Full`]: nothing was done.
    ///
    /// ```
    /// use micadyke_deadline::FixedDeadline;
    /// use micadyke_directory::{Directory, Input, Key, MS, Output, SECOND, Seen, Settings};
    ///
    /// let mut alone = Directory::new(Settings::new("n1", 1), Box::new(FixedDeadline(50 * MS)), 0);
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
    ///
    /// ```
    /// # use micadyke_deadline::FixedDeadline;
    /// # use micadyke_directory::*;
    /// let mut alone = Directory::new(Settings::new("n1", 1), Box::new(FixedDeadline(50 * MS)), 0);
    /// let mut out = Vec::new();
    /// let what = Key::Title("news".into());
    /// assert_eq!(alone.lift(0, what.clone(), &mut out), Err(Error::Unknown(what.clone())));
    /// alone.withdraw(0, what.clone(), 60 * SECOND, &mut out)?;
    /// alone.lift(SECOND, what, &mut out)?;
    /// assert!(!alone.withdrawn("news", "v1"));
    /// # Ok::<(), Error>(())
    /// ```
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

    pub(super) fn decree(&mut self, what: &Key, lifted: bool, span: Nanos) -> Result<(), Error> {
        let held = self.table.get(what);
        let version = held.map_or(0, |h| h.version).saturating_add(1);
        let numbers = [self.settings.start, self.now, version].map(u64::to_be_bytes).concat();
        let new = hash(&[&numbers, self.settings.name.as_bytes()]);
        let mark = held.filter(|_| lifted).map_or(new, |h| h.mark);
        self.decree_as(what, lifted, span, version, mark)
    }

    pub(super) fn decree_as(
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
    ///
    /// ```
    /// # use micadyke_deadline::FixedDeadline;
    /// # use micadyke_directory::*;
    /// let mut alone = Directory::new(Settings::new("n1", 1), Box::new(FixedDeadline(50 * MS)), 0);
    /// let mut out = Vec::new();
    /// let what = Key::Title("news".into());
    /// assert_eq!(alone.progress(&what), None);
    /// alone.withdraw(0, what.clone(), 60 * SECOND, &mut out)?;
    /// // Whom it waits for, and why.
    /// let waits = alone.progress(&what).unwrap().waits;
    /// assert_eq!((waits.len(), waits[0].name.as_str(), &waits[0].why), (1, "n1", &Holds::Unsettled));
    /// # Ok::<(), Error>(())
    /// ```
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
    pub(super) fn end(&mut self, what: &Key) {
        if let Some(held) = self.table.get_mut(what) {
            held.left = None;
            self.look_at = self.look_at.min(self.now + LOOK);
            self.out.push(Output::End { what: what.clone() });
        }
    }

    /// The node has looked.
    pub(super) fn left(&mut self, what: &Key, sessions: u64) {
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
    pub(super) fn say(&mut self, to: &str, what: &Key) {
        let Some(held) = self.table.get(what) else { return };
        let (version, left) = (held.version, held.left);
        let lost: Vec<(String, u64)> = self.lost.iter().take(LOST_TOLD).cloned().collect();
        let lost = chunks(&lost, ROOM - 2 * crate::TEXT).into_iter().next().unwrap_or_default();
        let more = self.more_lost || self.lost.len() > lost.len();
        let stands = Message::Stands { what: what.clone(), version, left, view: self.view(), lost, more };
        self.send(Lane::Withdraw, to, &stands);
    }

    pub(super) fn stands(
        &mut self, from: &str, what: &Key, version: u64, said: Said, lost: Vec<(String, u64)>,
    ) {
        let Some(track) = self.tracks.get_mut(what).filter(|t| t.version == version && !t.ended) else {
            return;
        };
        let room = LOST.saturating_sub(track.lost.len());
        let more = said.more || lost.len() > room;
        track.said.insert(from.to_owned(), Said { more, ..said });
        track.lost.extend(lost.into_iter().take(room));
    }

    /// A withdrawal, or the lifting of one, that another member knows.
    pub(super) fn record(&mut self, record: &Record) {
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
    pub(super) fn differs(&mut self, from: &str, withdrawn: u64) {
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

    pub(super) fn withdrawals_due(&mut self) {
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
    pub(super) fn follow(&mut self, what: &Key) {
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
    ///
    /// ```
    /// # use micadyke_deadline::FixedDeadline;
    /// # use micadyke_directory::*;
    /// let mut alone = Directory::new(Settings::new("n1", 1), Box::new(FixedDeadline(50 * MS)), 0);
    /// let mut out = Vec::new();
    /// alone.withdraw(0, Key::Title("news".into()), 60 * SECOND, &mut out)?;
    /// let known = alone.withdrawals().next().unwrap();
    /// assert_eq!((known.lifted, known.left, known.origin.as_str()), (false, 60 * SECOND, "n1"));
    /// # Ok::<(), Error>(())
    /// ```
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
