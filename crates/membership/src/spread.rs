//! The topic of servers: what one member heard or found out of them is handed on to all.

use crate::carrier::Carrier;
use crate::frame::{Head, Kind};
use crate::io::Change;
use crate::news::{Aged, Board, News};
use crate::settings::{GOSSIP, GOSSIP_PART};
use crate::topic::Topic;
use crate::{MS, Nanos};
use rand::seq::IndexedRandom;
use std::net::SocketAddr;

/// News and when it is handed on again.
#[derive(Debug)]
pub(crate) struct Spread {
    board: Board,
    at: Nanos,
}

impl Spread {
    pub(crate) fn new() -> Self {
        Spread { board: Board::default(), at: Nanos::MAX }
    }

    /// This member found something out.
    pub(crate) fn tell(&mut self, on: &mut Carrier, news: &News) {
        if self.board.take(on.now, news.clone(), 0) {
            self.hand_on(on);
        }
    }

    /// Hands news on to a few that live, at once when it is new and then with each round of updates until it was told often
    /// enough for all to have heard.
    fn hand_on(&mut self, on: &mut Carrier) {
        let most = u32::from(on.settings.copies().get());
        let living: Vec<SocketAddr> = on.book.active().map(|k| k.member.addr).collect();
        let to: Vec<SocketAddr> = living.sample(&mut on.random, GOSSIP).copied().collect();
        let news = if to.is_empty() { Vec::new() } else { self.board.hand_on(on.now, most, to.len() as u32) };
        self.at = Nanos::MAX;
        if let Ok(payload) = postcard::to_allocvec(&news)
            && !news.is_empty()
        {
            self.at = on.now + on.settings.period * u64::from(GOSSIP_PART.0) / u64::from(GOSSIP_PART.1);
            to.into_iter().for_each(|to| on.send(to, Kind::News, &payload));
        }
    }
}

impl Topic for Spread {
    fn hear(&mut self, on: &mut Carrier, _: Head, payload: &[u8]) {
        let Ok(all) = postcard::from_bytes::<Vec<Aged>>(payload) else { return on.malformed() };
        let mut new = false;
        for (news, age) in all {
            let age = u64::from(age) * MS;
            if self.board.take(on.now, news.clone(), age) {
                new = true;
                on.tell(Change::Heard { news, age });
            }
        }
        if new {
            self.hand_on(on);
        }
    }

    fn due(&self) -> Nanos {
        self.at
    }

    fn say(&mut self, on: &mut Carrier) {
        if on.now >= self.at {
            self.hand_on(on);
        }
    }
}
