//! The front's side: seats asked for before a set-up, renewed ahead of their expiry, given back, and given up in time.
//! A state machine: calls and the time in, [`Output`]s out.

use crate::Nanos;
use crate::message::{Key, LeaseId, MAX_OPS, Op, RESUME, Refusal, Reply, Request, Verdict};
use crate::reserve::Reserve;
use crate::store::Record;
use crate::wheel::Wheel;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Who uses a seat: a session, by a number of the front's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct User(pub u64);

/// Terms of a holder.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    /// Its name; the same over restarts, and no other front's.
    pub name: String,
    /// Clocks run within this share of true time.
    pub drift: f64,
    /// Ending a session takes at most this. Where boxes end sessions by the seat's own time (see [`crate::bound`]):
    /// a box's stall and the grain in which it looks. Where they do not: also with the front dead and its boxes finding
    /// that out, not less than the time after which a box ends a session whose event stream is closed.
    pub stop: Nanos,
    /// A message without an answer is sent again after this at first; doubled up to `retry_most`.
    pub retry: Nanos,
    /// See `retry`.
    pub retry_most: Nanos,
    /// A seat given back is kept so long for the next session of its title and class.
    pub keep: Nanos,
    /// Sessions of a former start may go on at boxes for so long; their seats are kept as used.
    pub settle: Nanos,
    /// Leases at most; a session beyond finds it full.
    pub most_leases: usize,
    /// Idle seats are kept by expected demand, beyond those that were given back of late: see [`crate::reserve`].
    pub reserve: bool,
    /// Renewals and repeats are spread by this share, so that fronts do not come in step; 0: not at all.
    pub spread: f64,
}

/// Something to be done, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Write this down; before what follows, where it is a new epoch.
    Record(Record),
    /// Send this to the issuer.
    Send(Request),
    /// The session may be set up.
    Granted(User),
    /// All seats are taken.
    Full(User),
    /// The session's seat is held for longer, until this time.
    Extended(User, Nanos),
    /// The session's seat cannot be counted on any more: it must be over within `stop`.
    Lost(User),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Asked for; whether it is held is not known.
    Asking,
    /// Held until `until`.
    Held,
    /// To be given back, or on its way.
    Leaving,
}

#[derive(Debug, Clone)]
struct Lease {
    key: Key,
    state: State,
    /// It counts as ours until then.
    until: Nanos,
    user: Option<User>,
    /// Without a user: given back at this time.
    idle_until: Nanos,
    /// It will be looked at for that; a seat that comes and goes has one such entry, not one for each session.
    looked_at: bool,
    /// Resumed and not used since: it is not in the log.
    unlogged: bool,
    /// A renewal waits to be sent, or is out.
    renewing: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Due {
    Renew(LeaseId),
    Expire(LeaseId),
    Idle(LeaseId),
    /// Sessions of a former start can use it no more.
    Settled(LeaseId),
    Resend(u64),
}

#[derive(Debug, Clone)]
struct Out {
    request: Request,
    /// When it was first sent: what it was granted counts from here.
    first: Nanos,
    tries: u32,
}

/// The seats of one front.
#[derive(Debug, Clone)]
pub struct Holder {
    terms: Terms,
    epoch: u64,
    /// See [`Request::start`].
    start: u64,
    seq: u64,
    next: u64,
    random: StdRng,
    leases: BTreeMap<LeaseId, Lease>,
    users: HashMap<User, LeaseId>,
    /// Held, and ready for the next session.
    idle: BTreeMap<Key, BTreeSet<LeaseId>>,
    /// Asked for ahead of any session.
    spare: BTreeMap<Key, BTreeSet<LeaseId>>,
    reserve: Reserve,
    queue: VecDeque<Op>,
    /// Leases of a former start that are still to be resumed, and the titles that are wanted meanwhile.
    resume: BTreeMap<Key, VecDeque<LeaseId>>,
    hurry: VecDeque<Key>,
    out: Option<Out>,
    due: Wheel<Due>,
    now: Nanos,
    /// Messages sent, answers to them, and times that a message was sent again.
    counts: Counts,
}

/// What a holder did since its start.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Messages first sent.
    pub messages: u64,
    /// Operations in them.
    pub operations: u64,
    /// Messages sent again.
    pub again: u64,
    /// Seats lost while in use.
    pub lost: u64,
    /// Times that the issuer knew a later start of this holder.
    pub fenced: u64,
}

/// Part of a lease's time after which it is renewed, give or take the spread: what is left is for repeats.
const RENEW: f64 = 0.50;
/// Idle seats are looked at again no sooner than this.
const IDLE_LEAST: Nanos = 250_000_000;

/// Takes a lease out of those of its key; whether it was there.
fn take(of: &mut BTreeMap<Key, BTreeSet<LeaseId>>, key: &Key, id: LeaseId) -> bool {
    let Some(all) = of.get_mut(key) else { return false };
    let there = all.remove(&id);
    if all.is_empty() {
        of.remove(key);
    }
    there
}

impl Holder {
    /// A holder after a start: `epoch` and leases as its store has them. The new epoch is to be recorded before
    /// anything is sent; seats of the former start are resumed.
    pub fn new(
        terms: Terms, epoch: u64, held: Vec<(LeaseId, Key)>, seed: u64, now: Nanos, out: &mut Vec<Output>,
    ) -> Self {
        let epoch = epoch + 1;
        let mut random = StdRng::seed_from_u64(seed);
        let start = random.random();
        let reserve = Reserve::new(terms.reserve);
        let mut resume: BTreeMap<Key, VecDeque<LeaseId>> = BTreeMap::new();
        for (id, key) in held {
            resume.entry(key).or_default().push_back(id);
        }
        let mut holder = Holder {
            terms,
            epoch,
            start,
            seq: 0,
            next: epoch << 32,
            random,
            leases: BTreeMap::new(),
            users: HashMap::new(),
            idle: BTreeMap::new(),
            spare: BTreeMap::new(),
            reserve,
            queue: VecDeque::new(),
            resume,
            hurry: VecDeque::new(),
            out: None,
            due: Wheel::new(now),
            now,
            counts: Counts::default(),
        };
        out.push(Output::Record(Record::Epoch(epoch)));
        if !holder.resume.is_empty() {
            holder.flush(out);
        }
        holder
    }

    /// The epoch in force.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// What it did since its start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Leases that count as ours now, in use or not; what a session may rest on.
    pub fn held(&self, now: Nanos) -> impl Iterator<Item = (&Key, Option<User>)> {
        self.leases
            .values()
            .filter(move |l| l.state == State::Held && l.until > now)
            .map(|l| (&l.key, l.user))
    }

    /// Until when a session's seat counts as its own; `None`: it has none, or that time is over.
    pub fn until(&self, user: User, now: Nanos) -> Option<Nanos> {
        let l = self.leases.get(self.users.get(&user)?)?;
        (l.state == State::Held && l.until > now).then_some(l.until)
    }

    /// Leases of any state.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Whether it has no leases.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// When [`Holder::tick`] is due.
    pub fn next(&self) -> Option<Nanos> {
        self.due.next()
    }

    /// Whether a seat is held that nobody uses.
    pub fn has_idle(&self, key: &Key) -> bool {
        self.idle.get(key).is_some_and(|all| all.iter().any(|l| self.usable(*l)))
    }

    fn usable(&self, id: LeaseId) -> bool {
        self.leases.get(&id).is_some_and(|l| l.state == State::Held && l.until > self.now)
    }

    /// A session wants a seat. It is answered by [`Output::Granted`] or [`Output::Full`], now or when the issuer has
    /// answered; until then [`Holder::release`] takes the wish back.
    pub fn acquire(&mut self, now: Nanos, key: Key, user: User, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        if self.users.contains_key(&user) {
            return;
        }
        self.reserve.asked(&key, now);
        let kept = self.idle.get(&key).and_then(|all| all.iter().copied().find(|l| self.usable(*l)));
        if let Some(id) = kept {
            take(&mut self.idle, &key, id);
            if let Some(l) = self.leases.get_mut(&id) {
                l.user = Some(user);
                if std::mem::take(&mut l.unlogged) {
                    out.push(Output::Record(Record::Held(id, key.clone())));
                }
            }
            self.users.insert(user, id);
            out.push(Output::Granted(user));
            self.fill(&key, out);
            return self.flush(out);
        }
        // One that is asked for ahead is this session's, when it comes.
        if let Some(id) = self.spare.get(&key).and_then(|all| all.first().copied()) {
            take(&mut self.spare, &key, id);
            if let Some(l) = self.leases.get_mut(&id) {
                l.user = Some(user);
            }
            self.users.insert(user, id);
            self.fill(&key, out);
            return self.flush(out);
        }
        if self.resume.contains_key(&key) && !self.hurry.contains(&key) {
            self.hurry.push_back(key.clone());
        }
        if self.leases.len() >= self.terms.most_leases {
            return out.push(Output::Full(user));
        }
        let id = self.ask(&key, Some(user), out);
        self.users.insert(user, id);
        self.fill(&key, out);
        self.flush(out);
    }

    /// A new lease is asked for.
    fn ask(&mut self, key: &Key, user: Option<User>, out: &mut Vec<Output>) -> LeaseId {
        self.next += 1;
        let id = LeaseId(self.next);
        let lease = Lease {
            key: key.clone(),
            state: State::Asking,
            until: 0,
            user,
            idle_until: 0,
            looked_at: false,
            unlogged: false,
            renewing: false,
        };
        self.leases.insert(id, lease);
        out.push(Output::Record(Record::Held(id, key.clone())));
        self.queue.push_back(Op::Grant(id, key.clone()));
        id
    }

    /// Asks for as many seats ahead as are worth keeping idle, once half of them are gone: so they come in batches.
    fn fill(&mut self, key: &Key, out: &mut Vec<Output>) {
        let target = self.reserve.target(key, self.now);
        let count = |all: &BTreeMap<Key, BTreeSet<LeaseId>>| all.get(key).map_or(0, BTreeSet::len);
        let there = count(&self.idle) + count(&self.spare);
        if there * 2 > target {
            return;
        }
        for _ in there..target {
            if self.leases.len() >= self.terms.most_leases {
                return;
            }
            let id = self.ask(key, None, out);
            self.spare.entry(key.clone()).or_default().insert(id);
        }
    }

    /// A seat is ready for the next session; it is given back when it has not been used for a while, or at once where
    /// none is kept.
    fn rest(&mut self, id: LeaseId) {
        let (keep, now) = (self.terms.keep, self.now);
        let Some(l) = self.leases.get_mut(&id) else { return };
        let key = l.key.clone();
        l.idle_until = now + keep;
        let target = if keep == 0 { self.reserve.target(&key, now) } else { usize::MAX };
        let idle = self.idle.entry(key).or_default();
        idle.insert(id);
        if idle.len() > target {
            return self.give_back(id);
        }
        self.look_later(id);
    }

    /// An idle seat is looked at when its time is over, if that is not to come already.
    fn look_later(&mut self, id: LeaseId) {
        let Some(l) = self.leases.get_mut(&id) else { return };
        if !std::mem::replace(&mut l.looked_at, true) {
            self.due.insert(l.idle_until.max(self.now + IDLE_LEAST), Due::Idle(id));
        }
    }

    /// A seat has been idle for as long as it is kept; longer, where demand wants that many.
    fn rested(&mut self, id: LeaseId) {
        let Some(l) = self.leases.get_mut(&id) else { return };
        l.looked_at = false;
        if l.user.is_some() || l.state != State::Held {
            return;
        }
        if l.idle_until > self.now {
            return self.look_later(id);
        }
        let key = l.key.clone();
        if self.idle.get(&key).map_or(0, BTreeSet::len) > self.reserve.target(&key, self.now) {
            return self.give_back(id);
        }
        l.idle_until = self.now + self.terms.keep;
        self.look_later(id);
    }

    /// A session is over, or its wish taken back.
    pub fn release(&mut self, now: Nanos, user: User, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        let Some(id) = self.users.remove(&user) else { return };
        let Some(l) = self.leases.get_mut(&id) else { return };
        l.user = None;
        // One that is only asked for is given back when it is known to be held.
        if l.state == State::Held {
            self.rest(id);
        }
        self.flush(out);
    }

    fn give_back(&mut self, id: LeaseId) {
        let Some(l) = self.leases.get_mut(&id).filter(|l| l.state == State::Held) else { return };
        l.state = State::Leaving;
        let key = l.key.clone();
        take(&mut self.idle, &key, id);
        self.queue.push_back(Op::Release(id));
    }

    /// Sends the next message, if none is out and there is anything to say.
    fn flush(&mut self, out: &mut Vec<Output>) {
        if self.out.is_some() || (self.queue.is_empty() && self.resume.is_empty()) {
            return;
        }
        self.seq += 1;
        let n = self.queue.len().min(MAX_OPS);
        let resume = self.next_resumed();
        let request = Request {
            holder: self.terms.name.clone(),
            epoch: self.epoch,
            start: self.start,
            seq: self.seq,
            resume,
            ops: self.queue.drain(..n).collect(),
        };
        self.counts.messages += 1;
        self.counts.operations += request.ops.len() as u64;
        out.push(Output::Send(request.clone()));
        self.out = Some(Out { request, first: self.now, tries: 0 });
        self.due.insert(self.now + self.terms.retry, Due::Resend(self.seq));
    }

    /// Leases that the next message resumes: first those of titles that sessions wait for, then the oldest of each.
    fn next_resumed(&mut self) -> Vec<(LeaseId, Key)> {
        let mut all = Vec::new();
        while all.len() < RESUME {
            while self.hurry.front().is_some_and(|k| !self.resume.contains_key(k)) {
                self.hurry.pop_front();
            }
            let key = self.hurry.front().or_else(|| self.resume.first_key_value().map(|r| r.0));
            let Some(key) = key.cloned() else { break };
            let Some(ids) = self.resume.get_mut(&key) else { break };
            let n = ids.len().min(RESUME - all.len());
            all.extend(ids.drain(..n).map(|id| (id, key.clone())));
            if ids.is_empty() {
                self.resume.remove(&key);
            }
        }
        all
    }

    /// One, give or take the spread.
    fn spread(&mut self) -> f64 {
        let s = self.terms.spread;
        if s > 0.0 { self.random.random_range(1.0 - s..1.0 + s) } else { 1.0 }
    }

    /// Sends what is out again, unchanged: whether it was taken is not known.
    fn resend(&mut self, out: &mut Vec<Output>) {
        let spread = self.spread();
        let Some(o) = self.out.as_mut() else { return };
        o.tries += 1;
        self.counts.again += 1;
        let pause = (self.terms.retry << o.tries.min(16)).min(self.terms.retry_most) as f64 * spread;
        let (seq, request) = (o.request.seq, o.request.clone());
        out.push(Output::Send(request));
        self.due.insert(self.now + pause as Nanos, Due::Resend(seq));
    }

    /// An answer of the issuer.
    pub fn reply(&mut self, now: Nanos, reply: &Reply, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        let fits = |o: &Out| o.request.epoch == reply.epoch && o.request.seq == reply.seq;
        if !self.out.as_ref().is_some_and(fits) {
            return;
        }
        let verdicts = match &reply.result {
            Ok(v) => v,
            Err(Refusal::Fenced { epoch }) => return self.fenced(*epoch, out),
            // Overtaken, or beyond a bound: what it asked is not known to be granted; nothing is counted on.
            Err(Refusal::Stale | Refusal::Bounds) => return self.fenced(self.epoch, out),
        };
        let Some(o) = self.out.take() else { return };
        self.reserve.answered(self.now.saturating_sub(o.first));
        let span = reply.ttl as f64 * (1.0 - 2.0 * self.terms.drift) - self.terms.stop as f64;
        let until = o.first + span.max(0.0) as Nanos;
        let mut verdicts = verdicts.iter().copied();
        for (id, key) in o.request.resume {
            // It leaves the log until it is used again: a front that is killed over and over renews a seat that nobody
            // uses once, not at every start, and it comes free.
            out.push(Output::Record(Record::Gone(id)));
            if verdicts.next() == Some(Verdict::Held) {
                // A former process may still run, cut off, and use it until its own clock says stop.
                let zombie = (reply.ttl as f64 * (1.0 + 2.0 * self.terms.drift)) as Nanos;
                let settled = now + self.terms.settle.max(zombie);
                let state = State::Held;
                let lease = Lease {
                    key,
                    state,
                    until,
                    user: None,
                    idle_until: 0,
                    looked_at: false,
                    unlogged: true,
                    renewing: false,
                };
                self.leases.insert(id, lease);
                self.due.insert(settled, Due::Settled(id));
                self.renew_later(id, o.first, reply.ttl);
            }
        }
        for op in o.request.ops {
            let verdict = verdicts.next().unwrap_or(Verdict::Gone);
            match op {
                Op::Grant(id, _) => self.granted(id, verdict, until, o.first, reply.ttl, out),
                Op::Renew(id, _) => self.renewed(id, verdict, until, o.first, reply.ttl, out),
                Op::Release(id) => {
                    self.leases.remove(&id);
                    out.push(Output::Record(Record::Gone(id)));
                }
            }
        }
        self.flush(out);
    }

    fn granted(
        &mut self, id: LeaseId, v: Verdict, until: Nanos, first: Nanos, ttl: Nanos, out: &mut Vec<Output>,
    ) {
        let Some(l) = self.leases.get_mut(&id).filter(|l| l.state == State::Asking) else { return };
        let (user, key) = (l.user, l.key.clone());
        let ahead = take(&mut self.spare, &key, id);
        if v != Verdict::Held {
            self.leases.remove(&id);
            self.reserve.refused(&key, self.now);
            out.push(Output::Record(Record::Gone(id)));
            if let Some(user) = user {
                self.users.remove(&user);
                out.push(Output::Full(user));
            }
            return;
        }
        (l.state, l.until) = (State::Held, until);
        match user {
            // An answer so late that its time is over already is of no use.
            Some(user) if until <= self.now => {
                self.users.remove(&user);
                l.user = None;
                out.push(Output::Full(user));
                self.give_back(id);
            }
            Some(user) => {
                out.push(Output::Granted(user));
                self.renew_later(id, first, ttl);
            }
            None if ahead && until > self.now => {
                self.rest(id);
                self.renew_later(id, first, ttl);
            }
            None => self.give_back(id),
        }
    }

    fn renewed(
        &mut self, id: LeaseId, v: Verdict, until: Nanos, first: Nanos, ttl: Nanos, out: &mut Vec<Output>,
    ) {
        let Some(l) = self.leases.get_mut(&id) else { return };
        l.renewing = false;
        match v {
            Verdict::Held => {
                l.until = l.until.max(until);
                if let Some(user) = l.user {
                    out.push(Output::Extended(user, l.until));
                }
                self.renew_later(id, first, ttl);
            }
            _ => self.lose(id, out),
        }
    }

    /// Renewals are spread over a fifth of the lease's time, so that they do not come in step.
    fn renew_later(&mut self, id: LeaseId, first: Nanos, ttl: Nanos) {
        let part = RENEW * self.spread();
        self.due.insert(first + (ttl as f64 * part) as Nanos, Due::Renew(id));
        if let Some(l) = self.leases.get(&id) {
            self.due.insert(l.until, Due::Expire(id));
        }
    }

    /// A seat cannot be counted on any more.
    fn lose(&mut self, id: LeaseId, out: &mut Vec<Output>) {
        let Some(l) = self.leases.get_mut(&id) else { return };
        if let Some(user) = l.user.take() {
            self.users.remove(&user);
            self.counts.lost += 1;
            out.push(Output::Lost(user));
        }
        if l.state == State::Held {
            // It is not given back: its session may take up to `stop` to end, and for that the issuer counts it on.
            let key = l.key.clone();
            self.leases.remove(&id);
            take(&mut self.idle, &key, id);
            out.push(Output::Record(Record::Gone(id)));
        }
    }

    /// The issuer knows a later or another start of this holder, or has lost the thread: nothing held is counted on; a new
    /// epoch begins, without claims, and what the old one held runs out at the issuer.
    fn fenced(&mut self, epoch: u64, out: &mut Vec<Output>) {
        self.counts.fenced += 1;
        self.out = None;
        self.queue.clear();
        self.resume.clear();
        for (id, l) in std::mem::take(&mut self.leases) {
            out.push(Output::Record(Record::Gone(id)));
            if let Some(user) = l.user {
                let asking = l.state == State::Asking;
                out.push(if asking { Output::Full(user) } else { Output::Lost(user) });
                self.counts.lost += u64::from(!asking);
            }
        }
        self.users.clear();
        self.idle.clear();
        self.spare.clear();
        self.hurry.clear();
        self.epoch = epoch.max(self.epoch) + 1;
        (self.seq, self.next) = (0, self.epoch << 32);
        out.push(Output::Record(Record::Epoch(self.epoch)));
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Nanos, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        let mut due = Vec::new();
        self.due.advance(now, &mut due);
        for d in due {
            match d {
                Due::Renew(id) => {
                    if let Some(l) =
                        self.leases.get_mut(&id).filter(|l| l.state == State::Held && !l.renewing)
                    {
                        l.renewing = true;
                        self.queue.push_back(Op::Renew(id, l.key.clone()));
                    }
                }
                Due::Expire(id) => match self.leases.get(&id) {
                    Some(l) if l.state == State::Held && l.until <= now => self.lose(id, out),
                    _ => {}
                },
                Due::Idle(id) => self.rested(id),
                Due::Settled(id) => {
                    if self.leases.get(&id).is_some_and(|l| l.user.is_none() && l.state == State::Held) {
                        self.rest(id);
                    }
                }
                Due::Resend(seq) => {
                    if self
                        .out
                        .as_ref()
                        .is_some_and(|o| o.request.seq == seq && o.request.epoch == self.epoch)
                    {
                        self.resend(out);
                    }
                }
            }
        }
        self.flush(out);
    }
}
