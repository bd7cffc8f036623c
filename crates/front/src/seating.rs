//! What the front does for its seats: [`Deed`]s carried out, in their order.

use crate::io::{Output, Purpose};
use crate::seats::{Deed, Permitted, Seats};
use crate::state::Front;
use micadyke::interface::{Event, Nanos, Outcome, ServerId, SessionId, SessionRequest};
use micadyke_http::client::CallError;
use micadyke_http::{Method, Response};
use micadyke_tokens::bound::SharedKey;
use micadyke_tokens::store::{Record, State};
use tracing::{debug, warn};

impl Front {
    /// Takes up the seats of a former start, as its store has them. Must be called before the first input where the
    /// settings name an issuer. `key`: the secret shared with boxes that bound sessions by themselves.
    pub fn with_seats(&mut self, state: State, key: Option<SharedKey>, seed: u64, out: &mut Vec<Output>) {
        self.seats = Seats::new(&self.config, state, key, seed, self.now).map(Box::new);
        self.seats(|_, _| ());
        out.append(&mut self.out);
    }

    /// Whether a class asks the issuer for seats.
    pub(crate) fn seated(&self, class: usize) -> bool {
        self.seats.as_ref().is_some_and(|s| s.seated(class))
    }

    /// Whether seats are not used because the epoch could not be written.
    pub fn seats_broken(&self) -> bool {
        self.seats.as_ref().is_some_and(|s| s.broken())
    }

    /// A record of the seats could not be written.
    pub fn not_recorded(&mut self, record: &Record) {
        self.seats(|s, _| s.not_recorded(record));
    }

    /// Calls the seats, where there are any, and carries out what they ask for.
    pub(crate) fn seats<T>(&mut self, call: impl FnOnce(&mut Seats, Nanos) -> T) -> Option<T> {
        let seats = self.seats.as_mut()?;
        let answer = call(seats, self.now);
        for deed in seats.deeds() {
            self.carry_out(deed);
        }
        Some(answer)
    }

    fn carry_out(&mut self, deed: Deed) {
        match deed {
            Deed::Record(record) => self.out.push(Output::Record(record)),
            Deed::Issuer(to, request) => self.call_soon(Purpose::Issuer, to, request),
            Deed::Box { server, renewal, within } => self.tell_box(server, renewal, within),
            Deed::Granted(wish) => self.granted(wish),
            Deed::Refused(session) => self.refuse_seat(session),
            Deed::Lost(session) => self.seat_lost(session),
            Deed::Attempt(session) => self.attempt(session),
            Deed::NotSent { session, server, outcome } => self.not_permitted(session, server, outcome),
            // One whose answer is still owed gets it when the call that it waits for has failed.
            Deed::Gone(session) if self.sessions.setting_up(session).is_some() => {}
            Deed::Gone(session) => {
                debug!(session = session.0, "its box knows it no more");
                self.ended_at_box(session, Outcome::Served, true);
            }
            Deed::Timer(after, timer) => self.timer(after, timer),
        }
    }

    /// Asks a box for its clock, or sends it a renewal.
    fn tell_box(&mut self, server: ServerId, renewal: Option<String>, within: Nanos) {
        let renews = renewal.is_some();
        let Some(addr) = self.boxes.get(&server).map(|b| b.row.address) else {
            self.seats(|s, now| s.box_replied(now, server, renews, Err(CallError::NoConnection)));
            return;
        };
        let path = self.seats.as_ref().map_or_else(String::new, |s| s.path().to_owned());
        let (purpose, request) = match renewal {
            None => (Purpose::Clock { server }, self.to_box(Method::Get, path)),
            Some(jwt) => {
                let request = self.to_box(Method::Post, path).content("application/jwt", jwt.into_bytes());
                (Purpose::Renew { server }, request)
            }
        };
        let most = self.config.bounds.call.min(within);
        self.call(purpose, addr, request, Some(most));
    }

    fn granted(&mut self, wish: SessionRequest) {
        let id = wish.session;
        match self.sessions.get(id) {
            Some(_) => self.tell(Event::Request(wish)),
            None => self.free_seat(id),
        }
    }

    /// A seat is given back.
    pub(crate) fn free_seat(&mut self, id: SessionId) {
        self.seats(|s, now| s.free(now, id));
    }

    fn refuse_seat(&mut self, id: SessionId) {
        self.counts.refused += 1;
        self.answer(id, Response::problem(503, "no seat is free").with("retry-after", "1"));
    }

    /// Whether a set-up may go out to a box now, and with what token.
    pub(crate) fn permit(&mut self, id: SessionId, server: ServerId, due: Nanos) -> Permitted {
        let Some(session) = self.sessions.get(id) else { return Permitted::Never };
        let (title, class) = (session.title.clone(), session.class);
        // What waits for the box's clock is due when it is told; the question is sent after this is noted.
        if self.seated(class)
            && let Some(s) = self.sessions.setting_up(id)
        {
            s.next = Some((server, due));
        }
        let within = due.saturating_sub(self.now);
        let permitted = self.seats(|s, now| s.permit(now, id, &title, class, server, within));
        let permitted = permitted.unwrap_or(Permitted::Freely);
        if permitted != Permitted::Later
            && let Some(s) = self.sessions.setting_up(id)
        {
            s.next = None;
        }
        permitted
    }

    fn not_permitted(&mut self, id: SessionId, server: ServerId, outcome: Outcome) {
        let next = self.sessions.setting_up(id).and_then(|s| s.next.take());
        if next.is_some() {
            self.tell(Event::Ended { session: id, server, outcome, finished: false });
        }
    }

    /// Whether a box's refusal is of the seat's token, so that the set-up never ran.
    pub(crate) fn token_refused(&mut self, id: SessionId, server: ServerId, status: u16) -> bool {
        let Some(class) = self.sessions.get(id).map(|s| s.class) else { return false };
        self.seats(|s, _| s.token_refused(id, class, server, status)).unwrap_or(false)
    }

    /// A session's seat cannot be counted on any more.
    fn seat_lost(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let ends = self.seats.as_ref().is_some_and(|s| s.ends_on_loss(session.class));
        warn!(session = id.0, ends, "its seat is lost");
        if !ends {
            return;
        }
        if session.setting_up().is_none_or(|s| s.conn.is_none()) {
            return self.delete(id);
        }
        // Its set-up goes on for nobody, and is withdrawn.
        for conn in self.waiters(id) {
            self.owed.settled(conn);
            self.respond(conn, Response::problem(502, "the session's seat was lost"));
        }
        self.tell(Event::Left { session: id });
        self.abandon(id);
    }
}
