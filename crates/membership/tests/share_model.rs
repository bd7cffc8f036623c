//! Model check of budget shares: two epochs never hold leases at the same time, with lost, late and duplicated messages,
//! killed, restarted and stalled processes, and drifting clocks. The model runs the production code.

use micadyke_membership::share::{LeaseParticipant, ShareMessage, ShareSettings};
use stateright::{Checker, Model, Property, UniformChooser};
use std::collections::{BTreeMap, BTreeSet};

/// Units of each process's clock in one tick of true time: one exact clock, and one fast and one slow by the drift.
const RATES: [u64; 3] = [10, 11, 9];
const TERMS: ShareSettings =
    ShareSettings { fleet_size: 3, guaranteed_per_mille: 0, lease_duration: 20, max_drift_per_mille: 100 };

/// The rule that is switched off, so that the check must fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    /// Clock drift is ignored.
    Drift,
    /// A restarted process votes at once.
    Silence,
    /// A refused connection counts at once, regardless of promises before the process died.
    Past,
    /// Less than a majority of votes suffices.
    Majority,
}

struct Fleet {
    without: Without,
    ticks: u64,
    words: usize,
    leads: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    time: u64,
    processes: BTreeMap<u8, LeaseParticipant>,
    /// Messages in flight: receiver, sender and message. They may arrive in any order, late or never, and one of them twice.
    network: BTreeSet<(u8, u8, ShareMessage)>,
    starts: u64,
    leads: u32,
    doubled: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Act {
    Tick,
    Lead(u8, u8),
    Deliver(u8, u8, ShareMessage),
    /// Delivers a message that stays in flight.
    Double(u8, u8, ShareMessage),
    Kill(u8),
    Start(u8),
    Refused(u8, u8),
}

fn name(n: u8) -> String {
    n.to_string()
}

impl Fleet {
    fn terms(&self) -> ShareSettings {
        match self.without {
            Without::Drift => ShareSettings { max_drift_per_mille: 0, ..TERMS },
            Without::Majority => ShareSettings { fleet_size: 1, ..TERMS },
            _ => TERMS,
        }
    }

    fn clock(n: u8, time: u64) -> u64 {
        1000 + RATES[n as usize] * time
    }

    /// A process that was started long ago or just now.
    fn process(&self, n: u8, start: u64, time: u64) -> LeaseParticipant {
        let long_ago = start == 0 || self.without == Without::Silence;
        LeaseParticipant::new(self.terms(), &name(n), start, if long_ago { 0 } else { Self::clock(n, time) })
    }

    fn post(&self, world: &mut World, from: u8, words: Vec<(String, ShareMessage)>) {
        for (to, word) in words {
            let to = to.parse().expect("a number");
            // Messages of a process to itself arrive at once.
            if to == from {
                let now = Self::clock(from, world.time);
                let more = world.processes.get_mut(&from).map(|p| p.handle(now, &name(from), word));
                self.post(world, from, more.unwrap_or_default());
            } else if world.network.len() < self.words {
                world.network.insert((to, from, word));
            }
        }
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let processes = (0..3).map(|n| (n, self.process(n, 0, 0))).collect();
        vec![World { time: 0, processes, network: BTreeSet::new(), starts: 0, leads: 0, doubled: false }]
    }

    fn actions(&self, w: &World, acts: &mut Vec<Act>) {
        if w.time < self.ticks {
            acts.push(Act::Tick);
        }
        // Two leaders that see different members; the second one may die and restart.
        let leads = [(0, 0b011), (0, 0b111), (1, 0b110)];
        let may = |(n, _): &(u8, u8)| w.leads < self.leads && w.processes.contains_key(n);
        acts.extend(leads.into_iter().filter(may).map(|(n, mask)| Act::Lead(n, mask)));
        if w.starts == 0 && w.processes.len() == 3 {
            acts.extend([Act::Kill(1), Act::Kill(2)]);
        }
        for n in (0..3).filter(|n| !w.processes.contains_key(n)) {
            acts.push(Act::Start(n));
            let callers = w.processes.iter().filter(|p| p.1.round_started_at().is_some());
            acts.extend(callers.map(|p| Act::Refused(*p.0, n)));
        }
        acts.extend(w.network.iter().cloned().map(|(to, from, word)| Act::Deliver(to, from, word)));
        if !w.doubled {
            acts.extend(w.network.iter().cloned().map(|(to, from, word)| Act::Double(to, from, word)));
        }
    }

    fn next_state(&self, last: &World, act: Act) -> Option<World> {
        let mut w = last.clone();
        let clock = |n| Self::clock(n, last.time);
        match act {
            Act::Tick => w.time += 1,
            Act::Lead(n, mask) => {
                let members = (0..3).filter(|m| mask & (1 << m) > 0).map(name).collect();
                w.leads += 1;
                let words = w.processes.get_mut(&n)?.begin_round(clock(n), &members);
                self.post(&mut w, n, words);
            }
            Act::Double(to, from, word) => {
                w.doubled = true;
                let words = w.processes.get_mut(&to)?.handle(clock(to), &name(from), word);
                self.post(&mut w, to, words);
            }
            Act::Deliver(to, from, word) => {
                w.network.remove(&(to, from, word.clone()));
                let words = w.processes.get_mut(&to)?.handle(clock(to), &name(from), word);
                self.post(&mut w, to, words);
            }
            Act::Kill(n) => drop(w.processes.remove(&n)),
            Act::Start(n) => {
                w.starts += 1;
                let process = self.process(n, w.starts, w.time);
                w.processes.insert(n, process);
            }
            Act::Refused(by, of) => {
                let (now, p) = (clock(by), w.processes.get_mut(&by)?);
                if self.without == Without::Past {
                    // Refusals of a long time before.
                    (0..8).for_each(|i| {
                        drop(p.connection_refused(now, &name(of), now.saturating_sub(105) + 15 * i))
                    });
                }
                let words = p.connection_refused(now, &name(of), now);
                self.post(&mut w, by, words);
            }
        }
        (w != *last).then_some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("the parts of all sum to the whole at most", |_, w: &World| {
                let parts =
                    w.processes.iter().map(|(n, p)| p.current_share(Fleet::clock(*n, w.time)).total());
                parts.sum::<f64>() < 1.0 + 1e-9
            }),
            Property::sometimes("two hold what three held", |_, w: &World| {
                let held = w.processes.iter().map(|(n, p)| p.current_share(Fleet::clock(*n, w.time)).members);
                w.processes.len() == 2 && held.clone().all(|m| m == Some(2)) && held.count() == 2
            }),
        ]
    }
}

fn fleet(without: Without) -> Fleet {
    Fleet { without, ticks: 6, words: 4, leads: 4 }
}

const WHOLE: &str = "the parts of all sum to the whole at most";

/// Random walks from a seed. Returns whether one of them violated the property, and the number of visited states.
fn walks(without: Without, states: usize) -> (bool, usize) {
    let checker = fleet(without).checker().threads(1).target_state_count(states);
    let checker = checker.spawn_simulation(7, UniformChooser).join();
    (checker.discovery(WHOLE).is_some(), checker.state_count())
}

#[test]
fn two_epochs_never_hold_leases_at_once() {
    let states = std::env::var("MICADYKE_MODEL").ok().and_then(|n| n.parse().ok()).unwrap_or(150_000);
    let checker = fleet(Without::Nothing).checker().threads(2).target_state_count(states).spawn_bfs().join();
    assert!(checker.discovery(WHOLE).is_none());
    let (broken, seen) = walks(Without::Nothing, 10 * states);
    eprintln!("{} states, and {seen} by walks", checker.unique_state_count());
    assert!(!broken);
}

#[test]
fn two_members_can_get_the_whole_budget_of_three() {
    let checker = fleet(Without::Nothing).checker().threads(1).target_state_count(2_000_000);
    let checker = checker.spawn_simulation(7, UniformChooser).join();
    assert!(checker.discovery("two hold what three held").is_some());
}

#[test]
fn without_each_rule_two_epochs_hold_leases_at_once() {
    for without in [Without::Majority, Without::Silence, Without::Past, Without::Drift] {
        let (broken, seen) = walks(without, 20_000_000);
        eprintln!("{without:?}: {seen}");
        assert!(broken, "{without:?}");
    }
}
