//! The bound of a seat at the box: a session ends by the box's own clock when its seat is over, whatever its front does.
//!
//! A set-up carries a signed token (RFC 7519, RFC 6750) whose `exp` is the last moment that the seat may be used, as the
//! box's clock reads it; the front renews it for all its sessions at a box with one message. [`Keeper`] is the front's
//! side, [`Guard`] the box's; both are state machines without I/O.
//!
//! # Why a box ends in time
//!
//! A box's clock is steady: read once at its start and carried on by a clock that no one sets and that counts while the
//! machine sleeps. `exp` is a point of that clock, so a token that is lost, late, doubled or out of order extends
//! nothing, and the box takes the latest that it has seen. The front knows the clock from readings: `b` was read before
//! its answer came in at the front's time `f`. Until the front's clock says `until` at least `(until - f) / (1 + drift)`
//! of true time passes, in which the box's clock moves by at least that times `1 - drift`. So the box reads
//! `b + (until - f) (1 - 2 drift)` no later than the front reads `until`: that is what `exp` says. An older reading,
//! a slow answer, a front that slept meanwhile: each makes `exp` earlier, never later. A reading belongs to one start of
//! the box (`aud`); a token for another start is refused.

use crate::Nanos;
use crate::holder::User;
use crate::message::Key;
use jsonwebtoken::{Algorithm, DecodingKey, EncodingKey, Header, Validation, decode, decode_header, encode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A box, by its number in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BoxId(pub u32);

/// A point of a box's clock, in milliseconds since the Unix epoch.
pub type BoxMillis = u64;

/// Sessions that one message renews at most; further ones go with the next.
pub const MAX_RENEWALS: usize = 512;
/// Bytes of a token or a renewal at most.
pub const MAX_MESSAGE: usize = 256 << 10;
/// Types of the two kinds of tokens (RFC 8725 section 3.11): neither passes for the other.
const USE: &str = "seat+jwt";
const RENEWAL: &str = "seat-renewal+jwt";
const MS: f64 = 1e6;

/// The secret that fronts and boxes share (HMAC with SHA-256, RFC 7518 section 3.2).
#[derive(Clone)]
pub struct SharedKey {
    id: String,
    sign: EncodingKey,
    check: DecodingKey,
}

impl SharedKey {
    /// A secret of 32 bytes at least, under an id that rotation tells apart.
    pub fn new(id: &str, secret: &[u8]) -> Option<Self> {
        let (sign, check) = (EncodingKey::from_secret(secret), DecodingKey::from_secret(secret));
        (secret.len() >= 32).then(|| SharedKey { id: id.into(), sign, check })
    }
}

impl std::fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "SharedKey({:?})", self.id)
    }
}

/// What the token on a set-up says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Claims {
    /// The front.
    iss: String,
    /// The box's start that it is for.
    aud: String,
    /// The session must be over by then, in seconds of the box's clock.
    exp: f64,
    title: String,
    class: String,
}

/// What a renewal says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Renewal {
    iss: String,
    aud: String,
    /// Paths of sessions at the box, and their new `exp`.
    sessions: Vec<(String, f64)>,
}

/// What a box answers to a renewal, or when it is asked for its clock.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// Which start of the box it is.
    pub instance: String,
    /// Its clock, in seconds since the Unix epoch, to the millisecond.
    pub now: f64,
    /// Sessions of the renewal that it does not know (any more).
    #[serde(default)]
    pub gone: Vec<String>,
}

fn seconds(at: BoxMillis) -> f64 {
    at as f64 / 1e3
}

fn millis(at: f64) -> BoxMillis {
    (at * 1e3).round().max(0.0) as BoxMillis
}

fn sign<T: Serialize>(key: &SharedKey, kind: &str, claims: &T) -> String {
    let mut header = Header::new(Algorithm::HS256);
    (header.typ, header.kid) = (Some(kind.into()), Some(key.id.clone()));
    encode(&header, claims, &key.sign).unwrap_or_default()
}

// ----- the front's side

/// Terms of a keeper.
#[derive(Debug, Clone, PartialEq)]
pub struct KeeperTerms {
    /// The front's name.
    pub name: String,
    /// Clocks run within this share of true time.
    pub drift: f64,
    /// A message without an answer is followed by the next after this; doubled up to sixteen times.
    pub retry: Nanos,
}

/// Something to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Ask a box for its clock.
    Ask(BoxId),
    /// Send a box this renewal.
    Send(BoxId, String),
    /// A box does not know this session any more.
    Gone(User),
}

/// Whether a set-up may go out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Permit {
    /// With this token.
    Token(String),
    /// Not yet: the box's clock has to be known first; it is being asked.
    Wait,
    /// No: what is left of the seat is too short to be used.
    Over,
}

#[derive(Debug, Clone)]
struct Clock {
    instance: String,
    /// A reading, and the front's time when it was here.
    read: BoxMillis,
    at: Nanos,
}

impl Clock {
    /// What the box's clock reads at least when the front's says `t`.
    fn least(&self, t: Nanos, drift: f64) -> BoxMillis {
        let since = t as f64 - self.at as f64;
        // Before the reading the box's clock may have moved faster than ours.
        let moved = since * if since >= 0.0 { 1.0 - 2.0 * drift } else { 1.0 + 2.0 * drift };
        (self.read as f64 + (moved / MS).floor()).max(0.0) as BoxMillis
    }
}

#[derive(Debug, Clone, Default)]
struct AtBox {
    clock: Option<Clock>,
    /// A question for its clock is out.
    asking: bool,
    /// The renewal that is out: what it says, by the front's clock.
    out: Option<Vec<(User, Nanos)>>,
    /// Messages that failed in a row.
    failed: u32,
    standing: BTreeSet<User>,
    due: Option<Nanos>,
}

#[derive(Debug, Clone)]
struct Bound {
    /// The seat is held until then.
    until: Nanos,
    /// The last token or renewal that may have reached a box: no box lets the session play on later.
    sent: Nanos,
    /// Where it stands: box, path, what the box has confirmed and when that was.
    place: Option<(BoxId, String, Nanos, Nanos)>,
}

/// The front's side: tokens for set-ups, and renewals, one message out at each box.
#[derive(Debug, Clone)]
pub struct Keeper {
    terms: KeeperTerms,
    key: SharedKey,
    boxes: BTreeMap<BoxId, AtBox>,
    bounds: BTreeMap<User, Bound>,
    due: BTreeSet<(Nanos, BoxId)>,
    /// Renewals sent, and sessions in them.
    counts: (u64, u64),
}

/// Part of what a box was told that is left when it must be told more: a fifth is enough for repeats, and since a holder
/// renews at half of a lease's time, what waits for that moment goes along with the others of the box. At a third there
/// are three times as many messages.
const LEAD: f64 = 0.2;
/// A reading so old that drift may eat this part of what is left of a seat is made anew before a set-up.
const STALE: f64 = 0.1;
/// With less than this left a seat is not used for a set-up: the box would end it before it played.
const LEAST: Nanos = 50_000_000;

impl Keeper {
    /// A keeper that knows no box yet.
    pub fn new(terms: KeeperTerms, key: SharedKey) -> Self {
        let (boxes, bounds, due) = Default::default();
        Keeper { terms, key, boxes, bounds, due, counts: (0, 0) }
    }

    /// Renewals sent so far, and sessions in them.
    pub fn counts(&self) -> (u64, u64) {
        self.counts
    }

    /// When [`Keeper::tick`] is due.
    pub fn next(&self) -> Option<Nanos> {
        self.due.first().map(|d| d.0)
    }

    /// A set-up of `user` at a box is to go out, on a seat that is held until `until`.
    pub fn permit(
        &mut self, now: Nanos, to: BoxId, user: User, seat: &Key, until: Nanos, out: &mut Vec<Output>,
    ) -> Permit {
        let left = until.saturating_sub(now);
        if left < LEAST {
            return Permit::Over;
        }
        let at = self.boxes.entry(to).or_default();
        let drift = self.terms.drift;
        let fresh = |c: &&Clock| 2.0 * drift * now.saturating_sub(c.at) as f64 <= STALE * left as f64;
        let Some(clock) = at.clock.as_ref().filter(fresh) else {
            if !std::mem::replace(&mut at.asking, true) {
                out.push(Output::Ask(to));
            }
            return Permit::Wait;
        };
        let claims = Claims {
            iss: self.terms.name.clone(),
            aud: clock.instance.clone(),
            exp: seconds(clock.least(until, drift)),
            title: seat.title.to_string(),
            class: seat.class.to_string(),
        };
        let b = self.bounds.entry(user).or_insert(Bound { until, sent: 0, place: None });
        (b.until, b.sent) = (b.until.max(until), b.sent.max(until));
        Permit::Token(sign(&self.key, USE, &claims))
    }

    /// The set-up stands at a box, under this path.
    pub fn stands(&mut self, now: Nanos, at: BoxId, user: User, path: &str) {
        let Some(b) = self.bounds.get_mut(&user) else { return };
        b.place = Some((at, path.into(), b.sent, now));
        self.boxes.entry(at).or_default().standing.insert(user);
        self.plan(at, user, now);
    }

    /// The seat of a session is held for longer.
    pub fn extended(&mut self, now: Nanos, user: User, until: Nanos) {
        let Some(b) = self.bounds.get_mut(&user) else { return };
        b.until = b.until.max(until);
        if let Some((at, ..)) = b.place {
            self.plan(at, user, now);
        }
    }

    /// A session is over for the front: nothing is renewed for it any more. By the front's clock, no box lets it play on
    /// after the time returned.
    pub fn ended(&mut self, user: User) -> Option<Nanos> {
        let b = self.bounds.remove(&user)?;
        if let Some((at, ..)) = b.place
            && let Some(at) = self.boxes.get_mut(&at)
        {
            at.standing.remove(&user);
        }
        Some(b.sent)
    }

    /// When a session's box has to be told more.
    fn wants(&self, user: User) -> Option<Nanos> {
        let b = self.bounds.get(&user)?;
        let (_, _, told, since) = b.place.as_ref()?;
        let lead = (told.saturating_sub(*since) as f64 * LEAD) as Nanos;
        (b.until > *told).then(|| told.saturating_sub(lead))
    }

    /// Brings a box's message forward where a session wants that.
    fn plan(&mut self, at: BoxId, user: User, now: Nanos) {
        let Some(want) = self.wants(user) else { return };
        if self.boxes.get(&at).is_some_and(|b| b.out.is_none() && b.due.is_none_or(|d| d > want)) {
            self.set_due(at, Some(want.max(now)));
        }
    }

    fn set_due(&mut self, at: BoxId, due: Option<Nanos>) {
        let Some(b) = self.boxes.get_mut(&at) else { return };
        if let Some(old) = std::mem::replace(&mut b.due, due) {
            self.due.remove(&(old, at));
        }
        if let Some(due) = due {
            self.due.insert((due, at));
        }
    }

    /// Sends what is due.
    pub fn tick(&mut self, now: Nanos, out: &mut Vec<Output>) {
        while let Some(&(due, at)) = self.due.first().filter(|d| d.0 <= now) {
            self.due.remove(&(due, at));
            self.send(at, now, out);
        }
    }

    /// One message for all sessions at a box whose seats are held for longer than it was told; those whose time there
    /// ends first come first.
    fn send(&mut self, to: BoxId, now: Nanos, out: &mut Vec<Output>) {
        let Some(at) = self.boxes.get_mut(&to) else { return };
        at.due = None;
        if at.out.is_some() {
            return;
        }
        let Some(clock) = at.clock.clone() else {
            if !at.standing.is_empty() && !std::mem::replace(&mut at.asking, true) {
                out.push(Output::Ask(to));
            }
            return;
        };
        let mut more: Vec<(Nanos, User)> = Vec::new();
        for user in &at.standing {
            if let Some(b) = self.bounds.get(user)
                && let Some((_, _, told, _)) = &b.place
                && b.until > *told
                && b.until > now
            {
                more.push((*told, *user));
            }
        }
        if more.is_empty() {
            return;
        }
        more.sort_unstable();
        more.truncate(MAX_RENEWALS);
        let (mut said, mut sessions) = (Vec::with_capacity(more.len()), Vec::with_capacity(more.len()));
        for (_, user) in more {
            let Some(b) = self.bounds.get_mut(&user) else { continue };
            let Some((_, path, ..)) = &b.place else { continue };
            sessions.push((path.clone(), seconds(clock.least(b.until, self.terms.drift))));
            b.sent = b.sent.max(b.until);
            said.push((user, b.until));
        }
        self.counts.0 += 1;
        self.counts.1 += said.len() as u64;
        let renewal = Renewal { iss: self.terms.name.clone(), aud: clock.instance, sessions };
        out.push(Output::Send(to, sign(&self.key, RENEWAL, &renewal)));
        at.out = Some(said);
    }

    /// A box told its clock, or answered a renewal. `None`: there was no answer, or a refusal that told nothing.
    pub fn told(
        &mut self, now: Nanos, from: BoxId, renewal: bool, told: Option<Told>, out: &mut Vec<Output>,
    ) {
        let drift = self.terms.drift;
        let Some(at) = self.boxes.get_mut(&from) else { return };
        let said = if renewal { at.out.take() } else { None };
        if !renewal {
            at.asking = false;
        }
        let Some(told) = told else {
            at.failed = (at.failed + 1).min(4);
            let pause = self.terms.retry << (at.failed - 1);
            if !at.standing.is_empty() {
                self.set_due(from, Some(now + pause));
            }
            return;
        };
        at.failed = 0;
        let read = millis(told.now);
        let restarted = at.clock.as_ref().is_some_and(|c| c.instance != told.instance);
        match &mut at.clock {
            Some(c) if !restarted => {
                // The better of the two; both say what it reads at least.
                if read >= c.least(now, drift) {
                    (c.read, c.at) = (read, now);
                }
            }
            clock => *clock = Some(Clock { instance: told.instance.clone(), read, at: now }),
        }
        if restarted {
            // All that stood there went with its former start.
            let gone = std::mem::take(&mut at.standing);
            for user in gone {
                if let Some(b) = self.bounds.get_mut(&user) {
                    b.place = None;
                }
                out.push(Output::Gone(user));
            }
            return;
        }
        let gone: BTreeSet<&str> = told.gone.iter().map(String::as_str).collect();
        for (user, until) in said.into_iter().flatten() {
            let Some(Bound { place: Some((at, path, told, since)), .. }) = self.bounds.get_mut(&user) else {
                continue;
            };
            if gone.contains(path.as_str()) && *at == from {
                out.push(Output::Gone(user));
            } else {
                (*told, *since) = ((*told).max(until), now);
            }
        }
        let users: Vec<User> =
            self.boxes.get(&from).map_or_else(Vec::new, |b| b.standing.iter().copied().collect());
        let want = users.into_iter().filter_map(|u| self.wants(u)).min();
        self.set_due(from, want.map(|w| w.max(now)));
    }

    /// A box turned a token away: what is known of its clock does not hold.
    pub fn refused(&mut self, at: BoxId) {
        if let Some(b) = self.boxes.get_mut(&at) {
            b.clock = None;
        }
    }

    /// A box has left the list and nothing stands there: what is known of it is dropped.
    pub fn forget(&mut self, at: BoxId) {
        if self.boxes.get(&at).is_some_and(|b| b.standing.is_empty() && b.out.is_none()) {
            self.set_due(at, None);
            self.boxes.remove(&at);
        }
    }
}

// ----- the box's side

/// Why a box turns a token away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// It is no token of this kind, or larger than the bound.
    Malformed,
    /// No key of its id, or its signature does not hold.
    Signature,
    /// It is for another start of this box, or for another box.
    Audience,
    /// It is over.
    Expired,
    /// It is for another title.
    Title,
}

/// The box's side: what tokens allow, and when each session ends.
#[derive(Debug, Clone)]
pub struct Guard {
    instance: String,
    keys: Vec<SharedKey>,
    until: BTreeMap<String, BoxMillis>,
    order: BTreeSet<(BoxMillis, String)>,
}

impl Guard {
    /// A guard of one start of a box; `instance` names it and is never used again.
    pub fn new(instance: &str, keys: Vec<SharedKey>) -> Self {
        Guard { instance: instance.into(), keys, until: BTreeMap::new(), order: BTreeSet::new() }
    }

    /// The box's answer: its clock, and what it does not know.
    pub fn tell(&self, now: BoxMillis, gone: Vec<String>) -> Told {
        Told { instance: self.instance.clone(), now: seconds(now), gone }
    }

    fn open<T: DeserializeOwned>(&self, token: &str, kind: &str) -> Result<T, Denied> {
        if token.len() > MAX_MESSAGE {
            return Err(Denied::Malformed);
        }
        let header = decode_header(token).map_err(|_| Denied::Malformed)?;
        if header.typ.as_deref() != Some(kind) {
            return Err(Denied::Malformed);
        }
        let key = self.keys.iter().find(|k| Some(&k.id) == header.kid.as_ref()).ok_or(Denied::Signature)?;
        let mut validation = Validation::new(Algorithm::HS256);
        validation.required_spec_claims.clear();
        // Audience and time are checked by the caller, against this start and its steady clock.
        (validation.validate_exp, validation.validate_aud) = (false, false);
        decode::<T>(token, &key.check, &validation).map(|d| d.claims).map_err(|_| Denied::Signature)
    }

    /// Whether a set-up with this token may run: until when, by the box's clock.
    pub fn admit(&self, now: BoxMillis, token: &str, title: &str) -> Result<BoxMillis, Denied> {
        let claims: Claims = self.open(token, USE)?;
        if claims.aud != self.instance {
            return Err(Denied::Audience);
        }
        let exp = millis(claims.exp);
        if exp <= now {
            return Err(Denied::Expired);
        }
        if claims.title == title { Ok(exp) } else { Err(Denied::Title) }
    }

    /// A session runs; it ends at `exp` unless that is renewed.
    pub fn hold(&mut self, session: &str, exp: BoxMillis) {
        let until = self.until.entry(session.into()).or_insert(0);
        if exp > *until {
            self.order.remove(&(*until, session.into()));
            *until = exp;
            self.order.insert((exp, session.into()));
        }
    }

    /// Takes a renewal; the answer names the sessions that are not known. A session that is over stays over: the box ends
    /// what [`Guard::expired`] names before it answers, since its front then counts the seat as free.
    pub fn renew(&mut self, now: BoxMillis, renewal: &str) -> Result<Told, Denied> {
        let claims: Renewal = self.open(renewal, RENEWAL)?;
        if claims.aud != self.instance {
            return Err(Denied::Audience);
        }
        if claims.sessions.len() > MAX_RENEWALS {
            return Err(Denied::Malformed);
        }
        let mut gone = Vec::new();
        for (session, exp) in claims.sessions {
            match self.until.get(&session) {
                Some(until) if *until > now => self.hold(&session, millis(exp)),
                _ => gone.push(session),
            }
        }
        Ok(self.tell(now, gone))
    }

    /// A session is over.
    pub fn release(&mut self, session: &str) {
        if let Some(until) = self.until.remove(session) {
            self.order.remove(&(until, session.into()));
        }
    }

    /// When the next session ends.
    pub fn next(&self) -> Option<BoxMillis> {
        self.order.first().map(|o| o.0)
    }

    /// Sessions whose time is over; they are to be ended now, and are forgotten here.
    pub fn expired(&mut self, now: BoxMillis) -> Vec<String> {
        let mut all = Vec::new();
        while let Some((_, session)) = self.order.first().filter(|o| o.0 <= now).cloned() {
            self.release(&session);
            all.push(session);
        }
        all
    }
}
