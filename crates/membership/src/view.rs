//! The view: who is there, as far as this member knows, and whether the others see the same.
//!
//! A carrier, and topics on it: who lives, shares, news of servers, letters of other packages. The view hands each its
//! datagrams and its turns.

use crate::carrier::Carrier;
use crate::frame::{Head, Kind, ROOM, Seal};
use crate::identity::Member;
use crate::io::{Counts, Feature, Input, Output, Unsettled};
use crate::letter::Letters;
use crate::lives::Lives;
use crate::parts::Parts;
use crate::posts::Posts;
use crate::settings::Settings;
use crate::share::{Part, Word};
use crate::spread::Spread;
use crate::status::{self, Returning, Row, Summary};
use crate::topic::Topic;
use crate::{MS, Nanos};
use std::net::SocketAddr;

/// A member's view of its fleet.
///
/// ```
/// use micadyke_membership::{Input, Output, SECOND, Settings, View, frame::Seal};
///
/// let seal = Seal::new("test", b"a key of sixteen bytes").expect("long enough");
/// let mut settings = Settings::new("test", "n1", ([10, 0, 0, 1], 7946).into());
/// settings.seeds = vec![([10, 0, 0, 2], 7946).into()];
/// let mut view = View::new(settings, seal, 1, 7, SECOND);
/// let mut out = Vec::new();
/// view.handle(SECOND, Input::Wake, &mut out);
/// // It calls its seed, and knows nobody but itself.
/// assert!(matches!(&out[0], Output::Send { to, .. } if to.port() == 7946));
/// assert_eq!((view.living(), view.settled().is_ok()), (1, false));
/// ```
pub struct View {
    on: Carrier,
    lives: Lives,
    /// Where shares are on.
    parts: Option<Parts>,
    spread: Spread,
    posts: Posts,
    /// How far its return is, and when that was told.
    returning: Option<(Returning, Nanos)>,
}

impl std::fmt::Debug for View {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let book = &self.on.book;
        f.debug_struct("View").field("me", &book.me).field("living", &book.living()).finish_non_exhaustive()
    }
}

impl View {
    /// The view of a member that has just started; it knows its seeds alone. `start` grows with each start where the
    /// clock allows it; `seed` is for chance.
    pub fn new(settings: Settings, seal: Seal, start: u64, seed: u64, now: Nanos) -> Self {
        let me = Member::new(&settings.name, settings.advertise, start);
        View {
            lives: Lives::new(&settings, me.clone(), seed, now),
            parts: settings.shares.map(|terms| Parts::new(terms, &me.name, start, now)),
            spread: Spread::new(),
            posts: Posts::default(),
            returning: None,
            on: Carrier::new(settings, seal, me, !seed, now),
        }
    }

    /// This member as it now stands.
    pub fn me(&self) -> &Member {
        &self.on.book.me
    }

    /// What was counted.
    pub fn counts(&self) -> Counts {
        self.on.counts
    }

    /// What became of the letters of other packages.
    pub fn letters(&self) -> Letters {
        self.posts.counts
    }

    /// Digest of those that live, this member included.
    pub fn digest(&self) -> u64 {
        self.on.book.digest()
    }

    /// How many live as far as this member knows, itself included.
    pub fn living(&self) -> usize {
        self.on.book.living()
    }

    /// All others known, by name.
    pub fn members(&self) -> impl Iterator<Item = (&Member, bool)> {
        self.on.book.known.values().map(|k| (&k.member, k.active))
    }

    /// Sizes of the books: names known, timers, updates that wait.
    pub fn books(&self) -> [usize; 3] {
        let [timers, updates] = self.lives.books();
        [self.on.book.known.len(), timers, updates]
    }

    /// Takes a feature out, for tests and measurements that show what it is good for.
    #[doc(hidden)]
    pub fn without(mut self, feature: Option<Feature>) -> Self {
        self.lives.without = feature;
        self
    }

    /// Whether the view is settled, and why not.
    pub fn settled(&self) -> Result<(), Unsettled> {
        self.on.book.settled(self.on.now)
    }

    /// The part of the common budget that this member may use now; `None` where shares are off.
    pub fn part(&self) -> Option<Part> {
        self.parts.as_ref().map(|p| p.part(self.on.now))
    }

    /// When [`Input::Wake`] is due.
    pub fn wake_at(&self) -> Nanos {
        if self.on.book.has_left() {
            return Nanos::MAX;
        }
        let parts = self.parts.as_ref().map_or(Nanos::MAX, Topic::due);
        self.lives.due().min(parts).min(self.spread.due()).min(self.posts.due())
    }

    /// Takes one input at time `now`; what is to be done is appended to `out`, in order.
    ///
    /// After a time without a turn, datagrams that came meanwhile are to be handed over before [`Input::Wake`].
    pub fn handle(&mut self, now: Nanos, input: Input, out: &mut Vec<Output>) {
        let on = &mut self.on;
        on.now = on.now.max(now);
        if !on.book.has_left() {
            self.lives.stood_still(on);
            match input {
                Input::Datagram { from, bytes } => self.datagram(from, bytes),
                Input::Wake => {
                    self.lives.say(on);
                    self.parts.iter_mut().for_each(|p| p.say(on));
                    self.spread.say(on);
                    self.posts.say(on);
                }
                Input::Leave => self.lives.leave(on),
                Input::Tell(news) => self.spread.tell(on, news),
                Input::Refused { name, called } => {
                    // Who is suspected was called for that.
                    if !self.lives.refused(on, name, called) {
                        self.parts.iter_mut().for_each(|p| p.refused(on, now, name, called));
                    }
                }
                Input::Send(letter) => self.posts.send(on, letter),
                Input::Returning(told) => self.returning = told.map(|r| (r.clone(), now)),
            }
            self.lives.settle(&mut self.on);
            self.parts.iter_mut().for_each(|p| p.tell(&mut self.on));
        }
        out.append(&mut self.on.out);
    }

    fn datagram(&mut self, from: SocketAddr, bytes: &[u8]) {
        let Some((head, payload)) = self.on.open(bytes) else { return };
        if let Kind::Ask { page } = head.kind {
            let page = match page {
                status::RETURNING => status::returning_page(self.returning().as_ref()),
                _ => status::page(&self.summary(), &self.rows(), page, ROOM),
            };
            return self.on.send(from, Kind::Page, &page);
        }
        if self.lives.admits(&mut self.on, &head) {
            self.hear(head, payload);
        }
    }

    /// Hands a datagram to the topic that it is of.
    fn hear(&mut self, head: Head, payload: &[u8]) {
        let on = &mut self.on;
        match head.kind {
            Kind::News | Kind::Share | Kind::Topic(_) if !on.book.is_in() => {}
            Kind::News => self.spread.hear(on, head, payload),
            Kind::Topic(_) => self.posts.hear(on, head, payload),
            Kind::Share => match &mut self.parts {
                Some(parts) => parts.hear(on, head, payload),
                None if postcard::from_bytes::<Word>(payload).is_err() => on.malformed(),
                None => {}
            },
            _ => self.lives.hear(on, head, payload),
        }
    }

    // ----- for people

    /// The view as people's tools see it.
    pub fn rows(&self) -> Vec<Row> {
        self.on.book.rows(self.on.now, |name| self.lives.suspected(name))
    }

    /// How far this member's return from a power loss is, by what was last told of it.
    fn returning(&self) -> Option<Returning> {
        let (told, at) = self.returning.as_ref()?;
        let gone = self.on.now.saturating_sub(*at) / MS;
        Some(Returning { left_ms: told.left_ms.saturating_sub(gone), ..told.clone() })
    }

    /// What stands above the rows.
    pub fn summary(&self) -> Summary {
        Summary {
            me: self.me().clone(),
            living: self.living() as u32,
            digest: self.digest(),
            unsettled: self.settled().err().map(|why| why.to_string()),
            counts: self.counts(),
            part: self.parts.as_ref().map(|p| p.row(self.on.now)),
        }
    }
}
