//! The very state machines of the program, checked exhaustively by a model checker: two holders, one seat, an issuer,
//! and a network that loses, doubles and reorders. Clocks run apart by what the terms allow, the worst way round.

use micadyke_tokens::Nanos;
use micadyke_tokens::holder::{Holder, Output, Terms as HolderTerms, User};
use micadyke_tokens::ledger::{Ledger, Terms as LedgerTerms};
use micadyke_tokens::message::{Key, Reply, Request};
use micadyke_tokens::store::State as Kept;
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

const SECOND: Nanos = 1_000_000_000;
const DRIFT: f64 = 0.1;

/// What is taken out of the protocol, to see the checker fail.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Without {
    Nothing,
    Margin,
    Fence,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Sent {
    to_issuer: bool,
    holder: usize,
    life: u8,
    body: String,
}

#[derive(Debug, Clone)]
struct Process {
    holder: Holder,
    kept: Kept,
    life: u8,
    using: u8,
    asked: u8,
    /// A former process of this name that was cut off, not ended: it lives on beside this one.
    zombie: Option<Box<Process>>,
}

#[derive(Debug, Clone)]
struct World {
    t: u64,
    ledger: Ledger,
    fronts: Vec<Process>,
    /// Messages that may still arrive, any number of times, in any order.
    net: BTreeSet<Sent>,
    splits: u8,
}

impl World {
    fn key_text(&self) -> String {
        format!("{self:?}")
    }
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        self.key_text() == other.key_text()
    }
}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key_text().hash(state);
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Act {
    Time,
    Ask(usize),
    Leave(usize),
    Kill(usize),
    Split(usize),
    Deliver(usize),
}

struct Seats {
    without: Without,
    until: u64,
    kills: u8,
}

/// Holders' clocks run slow, the issuer's fast: the worst for a holder that must stop first.
fn holder_clock(t: u64) -> Nanos {
    (t as f64 * SECOND as f64 * (1.0 - DRIFT)) as Nanos
}

fn issuer_clock(t: u64) -> Nanos {
    (t as f64 * SECOND as f64 * (1.0 + DRIFT)) as Nanos
}

fn key() -> Key {
    Key { title: "t".into(), class: "c".into() }
}

impl Seats {
    fn terms(&self, i: usize) -> HolderTerms {
        let drift = if self.without == Without::Margin { 0.0 } else { DRIFT };
        HolderTerms {
            name: format!("f{i}"),
            drift,
            stop: 0,
            retry: 2 * SECOND,
            retry_most: 2 * SECOND,
            keep: 0,
            settle: 0,
            most_leases: 2,
            reserve: false,
            spread: 0.0,
        }
    }

    fn start(&self, i: usize, t: u64, kept: Kept, life: u8, net: &mut BTreeSet<Sent>) -> Process {
        let mut out = Vec::new();
        let held = kept.held.clone().into_iter().collect();
        // Without the fence a new process takes its predecessor's epoch for its own.
        let epoch = if self.without == Without::Fence { 0 } else { kept.epoch };
        let holder = Holder::new(self.terms(i), epoch, held, 1, holder_clock(t), &mut out);
        let mut p = Process { holder, kept, life, using: 0, asked: 0, zombie: None };
        p.carry_out(i, out, net);
        p
    }
}

impl Process {
    fn carry_out(&mut self, i: usize, out: Vec<Output>, net: &mut BTreeSet<Sent>) {
        for o in out {
            match o {
                Output::Record(r) => self.kept.apply(r),
                Output::Send(r) => {
                    let body = serde_json::to_string(&r).expect("JSON");
                    net.insert(Sent { to_issuer: true, holder: i, life: self.life, body });
                }
                Output::Granted(_) => self.using += 1,
                Output::Full(_) | Output::Extended(..) => {}
                Output::Lost(_) => self.using -= 1,
            }
        }
    }

    fn tick(&mut self, i: usize, t: u64, net: &mut BTreeSet<Sent>) {
        let mut out = Vec::new();
        self.holder.tick(holder_clock(t), &mut out);
        self.carry_out(i, out, net);
    }

    fn reply(&mut self, i: usize, t: u64, reply: &Reply, net: &mut BTreeSet<Sent>) {
        let mut out = Vec::new();
        self.holder.reply(holder_clock(t), reply, &mut out);
        self.carry_out(i, out, net);
    }
}

impl Model for Seats {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let terms =
            LedgerTerms { ttl: 4 * SECOND, seats: [("c".into(), 1)].into(), most_holders: 4, most_leases: 8 };
        let mut net = BTreeSet::new();
        let fronts = (0..2).map(|i| self.start(i, 0, Kept::default(), 0, &mut net)).collect();
        vec![World { t: 0, ledger: Ledger::new(terms, 0), fronts, net, splits: 0 }]
    }

    fn actions(&self, w: &World, actions: &mut Vec<Act>) {
        if w.t < self.until {
            actions.push(Act::Time);
        }
        for (i, f) in w.fronts.iter().enumerate() {
            if f.asked < 1 {
                actions.push(Act::Ask(i));
            }
            if f.using > 0 {
                actions.push(Act::Leave(i));
            }
            if i == 0 && f.life < self.kills {
                actions.push(Act::Kill(i));
            }
            if i == 0 && w.splits == 0 && self.kills > 0 {
                actions.push(Act::Split(i));
            }
        }
        actions.extend((0..w.net.len()).map(Act::Deliver));
    }

    fn next_state(&self, w: &World, action: Act) -> Option<World> {
        let mut w = w.clone();
        match action {
            Act::Time => {
                w.t += 1;
                w.ledger.tick(issuer_clock(w.t));
                for i in 0..w.fronts.len() {
                    w.fronts[i].tick(i, w.t, &mut w.net);
                    if let Some(mut z) = w.fronts[i].zombie.take() {
                        z.tick(i, w.t, &mut w.net);
                        w.fronts[i].zombie = Some(z);
                    }
                }
            }
            Act::Ask(i) => {
                let f = &mut w.fronts[i];
                f.asked += 1;
                let (user, mut out) = (User(u64::from(f.asked)), Vec::new());
                f.holder.acquire(holder_clock(w.t), key(), user, &mut out);
                f.carry_out(i, out, &mut w.net);
            }
            Act::Leave(i) => {
                let f = &mut w.fronts[i];
                let mut out = Vec::new();
                f.holder.release(holder_clock(w.t), User(u64::from(f.asked)), &mut out);
                f.using -= 1;
                f.carry_out(i, out, &mut w.net);
            }
            Act::Kill(i) => {
                let f = &w.fronts[i];
                let (kept, life) = (f.kept.clone(), f.life + 1);
                let fresh = self.start(i, w.t, kept, life, &mut w.net);
                w.fronts[i] = fresh;
            }
            Act::Split(i) => {
                w.splits += 1;
                let f = w.fronts[i].clone();
                let (kept, life) = (f.kept.clone(), f.life + 1);
                let mut fresh = self.start(i, w.t, kept, life, &mut w.net);
                fresh.zombie = Some(Box::new(f));
                w.fronts[i] = fresh;
            }
            Act::Deliver(n) => {
                let sent = w.net.iter().nth(n)?.clone();
                if sent.to_issuer {
                    let request: Request = serde_json::from_str(&sent.body).expect("a message");
                    let reply = w.ledger.handle(issuer_clock(w.t), &request);
                    let body = serde_json::to_string(&reply).expect("JSON");
                    w.net.insert(Sent { to_issuer: false, body, ..sent });
                } else {
                    let reply: Reply = serde_json::from_str(&sent.body).expect("an answer");
                    let f = &mut w.fronts[sent.holder];
                    if f.life == sent.life {
                        f.reply(sent.holder, w.t, &reply, &mut w.net);
                    } else if let Some(mut z) = f.zombie.take() {
                        if z.life == sent.life {
                            z.reply(sent.holder, w.t, &reply, &mut w.net);
                        }
                        w.fronts[sent.holder].zombie = Some(z);
                    }
                }
            }
        }
        // The network holds two messages of each holder at most: an older one is lost.
        for i in 0..w.fronts.len() {
            while w.net.iter().filter(|s| s.holder == i).count() > 2 {
                let oldest =
                    w.net.iter().filter(|s| s.holder == i).min_by_key(|s| (s.life, s.to_issuer)).cloned();
                w.net.remove(&oldest?);
            }
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("seats in use never over the limit", |_, w: &World| {
                let zombies: u8 = w.fronts.iter().filter_map(|f| f.zombie.as_ref()).map(|z| z.using).sum();
                w.fronts.iter().map(|f| f.using).sum::<u8>() + zombies <= 1
            }),
            Property::always("no seat counted twice", |_, w: &World| w.ledger.in_use(&key()) <= 1),
            Property::sometimes("a seat is used", |_, w: &World| w.fronts.iter().any(|f| f.using > 0)),
            Property::sometimes("it passes to the other holder", |_, w: &World| {
                w.fronts[1].using > 0 && w.fronts[0].asked > 0 && w.fronts[0].using == 0 && w.t > 2
            }),
        ]
    }
}

fn explored(without: Without, until: u64, kills: u8) -> impl Checker<Seats> {
    let mut builder = Seats { without, until, kills }.checker().threads(2);
    if without != Without::Nothing {
        builder = builder.finish_when(HasDiscoveries::AnyFailures);
    }
    let checker = builder.spawn_bfs().join();
    println!("{without:?}: {} states, {} unique", checker.state_count(), checker.unique_state_count());
    checker
}

#[test]
fn one_seat_two_holders_lost_doubled_and_reordered_messages() {
    explored(Without::Nothing, 5, 0).assert_properties();
}

#[test]
fn one_seat_with_a_killed_and_a_split_holder() {
    let checker = explored(Without::Nothing, 2, 1);
    assert!(checker.discovery("seats in use never over the limit").is_none());
    assert!(checker.discovery("no seat counted twice").is_none());
}

#[test]
fn without_the_margin_a_seat_is_used_twice() {
    let checker = explored(Without::Margin, 6, 0);
    assert!(checker.discovery("seats in use never over the limit").is_some());
}

/// A release of a former process comes late, when its successor has a seat: the exact history, step by step.
fn late_release(without: Without) -> u8 {
    let model = Seats { without, until: 0, kills: 9 };
    let mut w = model.init_states().remove(0);
    let step = |w: &World, act: Act| model.next_state(w, act).expect("a step");
    let deliver = |w: &World, to_issuer: bool, holder: usize, life: u8, part: &str| {
        let fits = |s: &&Sent| {
            s.to_issuer == to_issuer && s.holder == holder && s.life == life && s.body.contains(part)
        };
        let n = w.net.iter().position(|s| fits(&s));
        n.map_or_else(|| w.clone(), |n| step(w, Act::Deliver(n)))
    };
    w = step(&w, Act::Ask(0));
    w = deliver(&w, true, 0, 0, "grant");
    w = deliver(&w, false, 0, 0, "held");
    w = step(&w, Act::Leave(0));
    let release = w.net.iter().find(|s| s.body.contains("release")).cloned().expect("a release is sent");
    // Its log is lost with it; without the fence nothing else tells the new process from the old one.
    if without == Without::Fence {
        w.fronts[0].kept = Kept::default();
    }
    w = step(&w, Act::Kill(0));
    w = step(&w, Act::Ask(0));
    w = deliver(&w, true, 0, 1, "");
    w = deliver(&w, false, 0, 1, "");
    w = deliver(&w, true, 0, 1, "grant");
    w = deliver(&w, false, 0, 1, "\"seq\":2");
    w.net.insert(release);
    w = deliver(&w, true, 0, 0, "release");
    w = step(&w, Act::Ask(1));
    w = deliver(&w, true, 1, 0, "grant");
    w = deliver(&w, false, 1, 0, "held");
    w.fronts.iter().map(|f| f.using).sum()
}

#[test]
fn without_the_fence_a_seat_is_used_twice() {
    assert!(late_release(Without::Nothing) <= 1);
    assert_eq!(late_release(Without::Fence), 2, "the check can fail");
}
