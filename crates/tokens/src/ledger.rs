//! The issuer's side: who holds which seats. A state machine: messages and the time in, answers out.

use crate::Nanos;
use crate::message::{Key, LeaseId, MAX_OPS, MAX_RESUME, Op, Refusal, Reply, Request, Verdict};
use crate::wheel::Wheel;
use micadyke_recovery::record::{self, Change, Record, StoredState};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Terms of an issuer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Terms {
    /// Leases hold for so long.
    pub ttl: Nanos,
    /// Seats of each class, for each of its titles; a class that is missing has none.
    pub seats: HashMap<Arc<str>, u32>,
    /// Holders known at most; one more is refused.
    pub most_holders: usize,
    /// Leases at most, all holders together; one more counts as full.
    pub most_leases: usize,
}

#[derive(Debug, Default, Clone)]
struct Holder {
    epoch: u64,
    start: u64,
    seq: u64,
    last: Option<Reply>,
    /// Known from the disk alone: only its epoch counts, and what it held.
    unheard: bool,
    leases: BTreeMap<LeaseId, (Key, Nanos)>,
}

/// The books of an issuer.
#[derive(Debug, Clone)]
pub struct Ledger {
    terms: Terms,
    holders: HashMap<Arc<str>, Holder>,
    counts: HashMap<Key, u32>,
    expiries: Wheel<(Arc<str>, LeaseId)>,
    leases: usize,
    /// Started without its books: until then nothing new is granted, and what holders resume is believed.
    recovering: Option<Nanos>,
    expired: Vec<(Arc<str>, LeaseId)>,
    /// What is to be kept, where anything is.
    changes: Option<Vec<Change>>,
}

impl Ledger {
    /// The books of an issuer that knows that nothing is held.
    pub fn new(terms: Terms, now: Nanos) -> Self {
        Ledger {
            terms,
            holders: HashMap::new(),
            counts: HashMap::new(),
            expiries: Wheel::new(now),
            leases: 0,
            recovering: None,
            expired: Vec::new(),
            changes: None,
        }
    }

    /// The books of an issuer that keeps them, after a start; [`Ledger::changes`] is on the disk before the first message is
    /// taken. Nothing new is granted until no lease of before can live, by the longest time that any was granted for. What
    /// was kept counts until then: a former start of a holder is told apart by it, and a seat of before is not another's. A
    /// disk that is old in part, or altogether, costs seats that stand idle for that time; what holders say they hold is
    /// believed as far as there is room beside.
    ///
    /// ```
    /// use micadyke_recovery::record::StoredState;
    /// use micadyke_tokens::ledger::{Ledger, Terms};
    /// use micadyke_tokens::message::{Key, LeaseId, Op, Request, Verdict};
    ///
    /// let seats = [("c".into(), 1)].into();
    /// let terms = Terms { ttl: 1_000, seats, most_holders: 9, most_leases: 9 };
    /// // Its leases ran for longer before: that is waited for.
    /// let mut ledger = Ledger::kept(terms, &StoredState { ttl: Some(5_000), ..StoredState::default() }, 0, 0.0);
    /// let key = Key { title: "t".into(), class: "c".into() };
    /// let mut ask = |now, seq| {
    ///     let ops = vec![Op::Grant(LeaseId(seq), key.clone())];
    ///     let request = Request { holder: "f".into(), epoch: 1, start: 1, seq, resume: vec![], ops };
    ///     ledger.handle(now, &request).result
    /// };
    /// assert_eq!(ask(4_999, 1), Ok(vec![Verdict::Wait]));
    /// assert_eq!(ask(5_000, 2), Ok(vec![Verdict::Held]));
    /// ```
    pub fn kept(terms: Terms, kept: &StoredState, now: Nanos, drift: f64) -> Self {
        let ttl = terms.ttl.max(kept.ttl.unwrap_or(0));
        let until = now + ttl + (ttl as f64 * 2.0 * drift) as Nanos;
        let mut ledger = Ledger { recovering: Some(until), ..Self::new(terms, now) };
        for (name, (epoch, start)) in &kept.holders {
            let holder = Holder { epoch: *epoch, start: *start, unheard: true, ..Holder::default() };
            ledger.holders.insert(name.as_str().into(), holder);
        }
        for ((name, lease), (title, class)) in &kept.leases {
            let key = Key { title: title.as_str().into(), class: class.as_str().into() };
            let name: Arc<str> = name.as_str().into();
            ledger
                .holders
                .entry(name.clone())
                .or_insert_with(|| Holder { unheard: true, ..Holder::default() });
            ledger.count(until, &name, LeaseId(*lease), &key);
        }
        ledger.changes = Some(vec![Change::Put(Record::Ttl(ttl))]);
        ledger
    }

    /// What is to be kept since the last call.
    pub fn changes(&mut self) -> Vec<Change> {
        self.changes.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Until when nothing new is granted, if that is so.
    pub fn recovers_until(&self) -> Option<Nanos> {
        self.recovering
    }

    fn note(&mut self, change: impl FnOnce() -> Change) {
        if let Some(changes) = &mut self.changes {
            changes.push(change());
        }
    }

    /// The books of an issuer that has lost them: for one `ttl` it grants nothing new and believes what holders say
    /// they hold. `drift` of its own clock is allowed for, as a share.
    pub fn recovering(terms: Terms, now: Nanos, drift: f64) -> Self {
        let wait = terms.ttl + (terms.ttl as f64 * 2.0 * drift) as Nanos;
        Ledger { recovering: Some(now + wait), ..Self::new(terms, now) }
    }

    /// Seats in use of a title and class.
    pub fn in_use(&self, key: &Key) -> u32 {
        self.counts.get(key).copied().unwrap_or(0)
    }

    /// Leases held, all together.
    pub fn leases(&self) -> usize {
        self.leases
    }

    /// When [`Ledger::tick`] has something to do.
    pub fn next(&self) -> Option<Nanos> {
        self.expiries.next()
    }

    /// Frees what has run out.
    pub fn tick(&mut self, now: Nanos) {
        let mut out = std::mem::take(&mut self.expired);
        self.expiries.advance(now, &mut out);
        for (name, lease) in out.drain(..) {
            let Some(holder) = self.holders.get(&name) else { continue };
            match holder.leases.get(&lease) {
                Some((_, until)) if *until > now => self.expiries.insert(*until, (name, lease)),
                Some(_) => self.free(&name, lease),
                None => {}
            }
        }
        self.expired = out;
        if self.recovering.take_if(|until| *until <= now).is_some() {
            let ttl = self.terms.ttl;
            self.note(|| Change::Put(Record::Ttl(ttl)));
        }
    }

    fn free(&mut self, name: &str, lease: LeaseId) {
        let Some((key, _)) = self.holders.get_mut(name).and_then(|h| h.leases.remove(&lease)) else { return };
        self.note(|| Change::Delete(record::Key::Lease(name.to_owned(), lease.0)));
        self.leases -= 1;
        if let Some(n) = self.counts.get_mut(&key) {
            *n -= 1;
            if *n == 0 {
                self.counts.remove(&key);
            }
        }
    }

    /// Takes a message.
    pub fn handle(&mut self, now: Nanos, request: &Request) -> Reply {
        self.tick(now);
        let reply = |result| Reply { epoch: request.epoch, seq: request.seq, ttl: self.terms.ttl, result };
        if request.ops.len() > MAX_OPS || request.resume.len() > MAX_RESUME || request.holder.len() > 256 {
            return reply(Err(Refusal::Bounds));
        }
        let there = self.holders.get(request.holder.as_str());
        // Of one that only the disk knows, epoch and start count: which of its messages was the last is not kept.
        if let Some(h) = there.filter(|h| h.unheard)
            && (h.epoch > request.epoch || (h.epoch == request.epoch && h.start != request.start))
        {
            return reply(Err(Refusal::Fenced { epoch: h.epoch }));
        }
        let known = there.filter(|h| !h.unheard);
        match known {
            None if there.is_none() && self.holders.len() >= self.terms.most_holders => {
                return reply(Err(Refusal::Bounds));
            }
            // The same epoch twice: what was answered to the one is not the other's, nor are its seats.
            Some(h) if h.epoch == request.epoch && h.start != request.start => {
                return reply(Err(Refusal::Fenced { epoch: h.epoch }));
            }
            // One answer is remembered: the one that may have been lost.
            Some(h) if h.epoch == request.epoch && h.seq == request.seq => {
                return h.last.clone().unwrap_or_else(|| reply(Err(Refusal::Stale)));
            }
            Some(h) if h.epoch > request.epoch => return reply(Err(Refusal::Fenced { epoch: h.epoch })),
            Some(h) if h.epoch == request.epoch && request.seq != h.seq + 1 => {
                return reply(Err(Refusal::Stale));
            }
            _ => {}
        }
        let fresh = known.is_none_or(|h| h.epoch < request.epoch);
        // An issuer without its books meets holders in the midst of their epoch; what they renew says what they hold.
        if fresh && request.seq != 1 && self.recovering.is_none() && known.is_some() {
            return reply(Err(Refusal::Stale));
        }
        let name: Arc<str> = request.holder.as_str().into();
        let holder = self.holders.entry(name.clone()).or_default();
        let renamed = (holder.epoch, holder.start) != (request.epoch, request.start);
        (holder.epoch, holder.start, holder.seq) = (request.epoch, request.start, request.seq);
        holder.unheard = false;
        if renamed {
            let (name, epoch, start) = (request.holder.clone(), request.epoch, request.start);
            self.note(|| Change::Put(Record::Holder { name, epoch, start }));
        }
        let mut verdicts = Vec::with_capacity(request.resume.len() + request.ops.len());
        for (lease, key) in &request.resume {
            verdicts.push(self.renew(now, &name, *lease, key));
        }
        for op in &request.ops {
            verdicts.push(match op {
                Op::Grant(lease, key) => self.grant(now, &name, *lease, key),
                Op::Renew(lease, key) => self.renew(now, &name, *lease, key),
                Op::Release(lease) => {
                    self.free(&name, *lease);
                    Verdict::Gone
                }
            });
        }
        let reply =
            Reply { epoch: request.epoch, seq: request.seq, ttl: self.terms.ttl, result: Ok(verdicts) };
        if let Some(h) = self.holders.get_mut(&name) {
            h.last = Some(reply.clone());
        }
        reply
    }

    fn grant(&mut self, now: Nanos, name: &Arc<str>, lease: LeaseId, key: &Key) -> Verdict {
        if self.recovering.is_some() {
            return Verdict::Wait;
        }
        let seats = self.terms.seats.get(&key.class).copied().unwrap_or(0);
        if self.in_use(key) >= seats || self.leases >= self.terms.most_leases {
            return Verdict::Full;
        }
        self.hold(now, name, lease, key)
    }

    fn hold(&mut self, now: Nanos, name: &Arc<str>, lease: LeaseId, key: &Key) -> Verdict {
        let until = now + self.terms.ttl;
        if !self.holders.contains_key(name) {
            return Verdict::Gone;
        }
        self.count(until, name, lease, key);
        self.note(|| {
            let (title, class) = (key.title.to_string(), key.class.to_string());
            Change::Put(Record::Lease { holder: name.to_string(), lease: lease.0, title, class })
        });
        Verdict::Held
    }

    /// Counts a lease as held until then.
    fn count(&mut self, until: Nanos, name: &Arc<str>, lease: LeaseId, key: &Key) {
        let Some(holder) = self.holders.get_mut(name) else { return };
        if holder.leases.insert(lease, (key.clone(), until)).is_none() {
            *self.counts.entry(key.clone()).or_default() += 1;
            self.leases += 1;
            self.expiries.insert(until, (name.clone(), lease));
        }
    }

    /// A longer time for a lease. One that is resumed and unknown is believed while the books are being recovered,
    /// as far as there are seats: it ran before the issuer did.
    fn renew(&mut self, now: Nanos, name: &Arc<str>, lease: LeaseId, key: &Key) -> Verdict {
        let ttl = self.terms.ttl;
        if let Some((_, until)) = self.holders.get_mut(name).and_then(|h| h.leases.get_mut(&lease)) {
            *until = now + ttl;
            return Verdict::Held;
        }
        if self.recovering.is_none() {
            return Verdict::Gone;
        }
        let seats = self.terms.seats.get(&key.class).copied().unwrap_or(0);
        let room = self.in_use(key) < seats && self.leases < self.terms.most_leases;
        if room { self.hold(now, name, lease, key) } else { Verdict::Gone }
    }
}
