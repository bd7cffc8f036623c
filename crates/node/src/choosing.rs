//! Which servers this node works with first, and when it is its turn to look at one that does not answer. Both are worked
//! out from the view as it last settled and from the list ([`micadyke_subset`]); the module is told what is preferred and
//! decides as ever, the others are told of looks and of what they found by the news that there are. Whoever is wrong here
//! calls a server too often or a less fitting one: no rule goes by it.

use crate::books::{Node, Server};
use crate::limits;
use micadyke::interface::*;
use micadyke::module::Decide;
use micadyke_membership::server_report::{Finding, ServerReport};
use micadyke_recovery::phases::MembershipEvent;
use micadyke_subset::settings::SubsetSettings;
use micadyke_subset::{self as subset, ServerStatus, SubsetWidener, Task, TaskHistory, widen};
use std::collections::{BTreeMap, BTreeSet};
use tracing::{debug, info};

/// What a node keeps for it.
#[derive(Debug)]
pub(crate) struct Choosing {
    terms: SubsetSettings,
    /// This node's name in the view.
    me: String,
    /// Who lives, this node included.
    living: BTreeSet<String>,
    /// The view as it last settled; nobody before it first did.
    settled: Vec<subset::Node>,
    /// View or list are others than what the order was drawn by, which was then.
    stale: bool,
    drawn: Nanos,
    /// All servers in the order of preference; the first so many are the working subset.
    order: Vec<ServerId>,
    working: usize,
    widen: SubsetWidener,
    /// What the module was told of each.
    told: BTreeMap<ServerId, bool>,
    /// Servers that turned set-ups away, until then.
    full: BTreeMap<ServerId, Nanos>,
    /// Who looked last at servers that do not answer.
    watches: BTreeMap<ServerId, TaskHistory>,
    /// Servers that do not answer by what others say alone.
    hearsay: BTreeSet<ServerId>,
}

impl<D> Node<D> {
    /// The node chooses with the others: `me` is its name in the view. To be called before its first input.
    pub fn chooses(&mut self, me: &str, terms: SubsetSettings) {
        let now = self.now;
        let more = terms.working.map_or_else(widen::WidenSettings::default, |w| w.1);
        self.choosing = Some(Choosing {
            terms,
            me: me.to_owned(),
            living: BTreeSet::from([me.to_owned()]),
            settled: Vec::new(),
            stale: false,
            drawn: 0,
            order: Vec::new(),
            working: 0,
            widen: SubsetWidener::new(more, now),
            told: BTreeMap::new(),
            full: BTreeMap::new(),
            watches: BTreeMap::new(),
            hearsay: BTreeSet::new(),
        });
    }

    /// The servers that the node prefers now; none where it has no preference.
    pub fn preferred(&self) -> Vec<ServerId> {
        let told = self.choosing.iter().flat_map(|c| &c.told);
        told.filter(|t| *t.1).map(|t| *t.0).collect()
    }
}

impl<D: Decide> Node<D> {
    /// The view tells of a member.
    pub(crate) fn fleet(&mut self, fact: &MembershipEvent) {
        let Some(c) = &mut self.choosing else { return };
        match fact {
            MembershipEvent::Alive(name, _) => drop(c.living.insert(name.clone())),
            MembershipEvent::Gone(name) if *name != c.me => drop(c.living.remove(name)),
            MembershipEvent::ViewSettled(true) => {
                let names = c.settled.iter().map(|n| &n.name);
                if !names.eq(c.living.iter()) {
                    c.settled = c.living.iter().map(|n| c.terms.node(n)).collect();
                    c.stale = true;
                }
            }
            _ => {}
        }
    }

    /// The list, or what the module knows of it, is another one.
    pub(crate) fn servers_changed(&mut self) {
        self.choosing.iter_mut().for_each(|c| c.stale = true);
    }

    /// A server turned a set-up away for want of room.
    pub(crate) fn turned_away(&mut self, id: ServerId) {
        let until = self.now + limits::fleet::FULL;
        self.choosing.iter_mut().for_each(|c| c.full.extend([(id, until)]));
    }

    /// Looked after now and then.
    pub(crate) fn tidy_choosing(&mut self) {
        if self.choosing.is_none() || self.recovering.is_some() {
            return;
        }
        self.draw_subset();
        self.prefer();
        self.take_turns();
    }

    // ----- working subset

    /// Draws the order anew where view or list have changed, not too often: it costs nodes times servers.
    fn draw_subset(&mut self) {
        let now = self.now;
        let Some(c) = &mut self.choosing else { return };
        let Some((terms, _)) = c.terms.working.filter(|_| c.stale && now >= c.drawn + limits::fleet::REDRAW)
        else {
            return;
        };
        (c.stale, c.drawn) = (false, now);
        let listed = self.servers.values().filter(|s| s.row.state != ServerState::Gone);
        let servers: Vec<subset::Server> = listed
            .map(|s| subset::Server { id: s.row.id.clone(), zone: s.row.zone.clone(), weight: s.row.weight })
            .collect();
        let plan = subset::plan(&c.settled, &servers, &terms);
        // Nobody but this node: it uses all, however its zone stands.
        let working =
            plan.working_subset(&c.me).filter(|_| c.settled.len() > 1).map_or(servers.len(), |w| w.len());
        let numbers = &self.numbers;
        c.order = plan.preference_order(&c.me).iter().filter_map(|id| numbers.known(id)).collect();
        c.working = working;
        // The module may have forgotten a server meanwhile: it is told of all.
        c.told.clear();
        info!(nodes = c.settled.len(), servers = servers.len(), working, "a working subset is drawn");
    }

    /// Tells the module which servers are preferred, where that has changed; the subset widens while it is short.
    fn prefer(&mut self) {
        let (now, cold_for) = (self.now, self.cold_for);
        let silent: BTreeSet<ServerId> =
            self.servers.keys().copied().filter(|s| self.is_silent(*s)).collect();
        let Some(c) = &mut self.choosing else { return };
        c.full.retain(|_, until| now < *until);
        let state = |id: &ServerId| match self.servers.get(id) {
            None => ServerStatus::Draining,
            Some(s) if s.row.state != ServerState::Ready => ServerStatus::Draining,
            Some(_) if silent.contains(id) => ServerStatus::Silent,
            Some(_) if c.full.contains_key(id) => ServerStatus::Full,
            Some(s) if s.row.started_at > 0 && now < s.row.started_at + cold_for => ServerStatus::Cold,
            Some(_) => ServerStatus::Usable,
        };
        let states: Vec<ServerStatus> = c.order.iter().map(state).collect();
        let width = c.widen.width(now, c.working, &states);
        for (place, id) in c.order.iter().enumerate() {
            // The module knows of no room that was refused unless notes tell of it: a full one is not asked first.
            let inside = c.working == c.order.len() || (place < width && states[place] != ServerStatus::Full);
            if c.told.insert(*id, inside) != Some(inside) {
                self.events.push_back(Event::FleetUpdate {
                    server: *id,
                    outside_subset: !inside,
                    load: None,
                });
            }
        }
    }

    // ----- turns

    /// Whether a server takes set-ups by the list and does not answer calls, by own evidence or by hearsay.
    fn is_silent(&self, id: ServerId) -> bool {
        let hearsay = self.choosing.as_ref().is_some_and(|c| c.hearsay.contains(&id));
        self.servers.get(&id).is_some_and(|s| {
            let up = s.links.iter().any(|l| self.links.get(l).is_some_and(|l| l.up && !l.retired));
            s.row.state == ServerState::Ready && !up && (s.calls > 0 || hearsay)
        })
    }

    /// Looks at the silent servers whose turn it is. While somebody looks, set-ups stay away; where nobody has for a window,
    /// they try as they would without turns.
    fn take_turns(&mut self) {
        let now = self.now;
        let silent: Vec<ServerId> = self.servers.keys().copied().filter(|s| self.is_silent(*s)).collect();
        let Some(c) = &mut self.choosing else { return };
        let Some(terms) = c.terms.turns else { return };
        c.hearsay.retain(|s| silent.contains(s));
        c.watches.retain(|s, _| silent.contains(s));
        for id in silent {
            let Some(server) = self.servers.get_mut(&id) else { continue };
            let Some(c) = &mut self.choosing else { return };
            let (names, matter) =
                (c.settled.iter().map(|n| n.name.as_str()), Task::ProbeServer(&server.row.id));
            let watch = c.watches.entry(id).or_default();
            match watch.handled_recently(&terms, now) {
                true => server.lost_until = server.lost_until.max(now + limits::fleet::TURN),
                // Nobody says so any more.
                false => drop(c.hearsay.remove(&id)),
            }
            let due = watch.due_at(&terms, names, &c.me, matter, now).is_some_and(|at| at <= now);
            // Where sessions stand it is called in any case, for their sake.
            let called = server.links.iter().any(|l| !self.links[l].up) || !server.standing.is_empty();
            let looks = limits::fleet::looks(self.looks, now);
            if !due || called || now < server.call_at || looks < 1.0 || self.links.len() >= self.most_links {
                continue;
            }
            watch.record_result(&terms, now, now);
            self.looks = (looks - 1.0, now);
            let what = ServerReport::Found { server: server.row.id.clone(), what: Finding::Silent };
            self.connect(id, "its turn");
            self.tell_others(what);
        }
    }

    /// Another node found something; whether that is all there is to do about it.
    pub(crate) fn found_by_turns(&mut self, id: ServerId, what: Finding) -> bool {
        let (now, silent) = (self.now, self.is_silent(id));
        let most = limits::fleet::hearsay(self.servers.len());
        let ready = |s: &&mut Server| s.row.state == ServerState::Ready;
        let Some(server) = self.servers.get_mut(&id).filter(ready) else { return true };
        let Some(c) = &mut self.choosing else { return false };
        let Some(terms) = c.terms.turns else { return false };
        // Whose sessions are at stake looks for itself; so does who is connected.
        let idle = server.standing.is_empty() && server.links.is_empty();
        match what {
            Finding::Silent | Finding::Refused => {
                if !silent && (!idle || c.hearsay.len() >= most) {
                    return false;
                }
                c.watches.entry(id).or_default().record_result(&terms, now, now);
                if !silent {
                    debug!(server = server.row.id, "a server does not answer, by what others say");
                    c.hearsay.insert(id);
                    server.lost_until = now + limits::fleet::TURN;
                }
            }
            Finding::Restarted if silent && server.standing.is_empty() => self.answers_again(id),
            Finding::Restarted => return !silent && idle,
        }
        true
    }

    /// A server that was silent answers, by a call of this node's own, by others or by the list: set-ups may go there.
    pub(crate) fn answers_again(&mut self, id: ServerId) {
        let Some(c) = self.choosing.as_mut().filter(|c| c.terms.turns.is_some()) else { return };
        let Some(server) = self.servers.get_mut(&id) else { return };
        let silent = c.hearsay.remove(&id) || server.calls > 0 || server.reach == Reachability::Lost;
        c.watches.remove(&id);
        if silent {
            (server.calls, server.call_at, server.lost_until) = (0, 0, 0);
            // It may be another process, which the list tells later: what was lost counts as started now, and not as of
            // when it fell silent. That it is in reach is told next.
            server.reach = Reachability::Lost;
            self.events.push_back(Event::Reachability { server: id, reachability: Reachability::Lost });
        }
    }

    /// A call got through: where somebody looked, the others need not.
    pub(crate) fn found_alive(&mut self, id: ServerId) {
        let now = self.now;
        let Some(c) = &self.choosing else { return };
        let Some(terms) = c.terms.turns else { return };
        let watched = c.watches.get(&id).is_some_and(|w| w.handled_recently(&terms, now));
        self.answers_again(id);
        let server = self.servers.get(&id).filter(|_| watched).map(|s| s.row.id.clone());
        server
            .into_iter()
            .for_each(|server| self.tell_others(ServerReport::Found { server, what: Finding::Restarted }));
    }
}
