//! Working subsets and probe turns across the cores of several nodes in virtual time: which servers are preferred, who probes a
//! silent server, and that no rule depends on either.

mod world;

use micadyke_node::Input;
use micadyke_recovery::phases::MembershipEvent as Fact;
use micadyke_standin::platform::{Seen, Treat};
use micadyke_subset::settings::{SubsetSettings, read as terms};
use micadyke_subset::working;
use std::collections::BTreeSet;
use world::*;

/// Interval of set-ups, which go to the nodes in rotation.
const ASK: u64 = 20 * MS;
/// Delay of reports between nodes.
const NEWS: u64 = 60 * MS;

fn read(text: &str) -> SubsetSettings {
    terms(text, "n.sexp").expect("sound settings").unwrap_or_default()
}

/// Nodes that receive each other's reports, each with its own copy of the same servers.
struct Nodes {
    worlds: Vec<World>,
    viewers: Vec<u64>,
    id: u64,
}

impl Nodes {
    /// `names` are in the view; this many of them run here, the others are gone.
    fn new(names: usize, here: usize, servers: usize, terms: Option<&SubsetSettings>) -> Self {
        let worlds = (0..here).map(|n| {
            let mut config = config(servers, 256);
            config.seed ^= n as u64;
            (config.deployment.settings.fronts, config.deployment.settings.cold_for) =
                (names as u32, 20 * SECOND);
            let mut w = World::with(config, servers, None);
            w.servers.values_mut().for_each(|s| s.usual = Treat::Serve(300 * MS));
            w.node.enable_peers();
            if let Some(terms) = terms {
                w.node.coordinate(&name(n), terms.clone());
            }
            w
        });
        let mut worlds: Vec<World> = worlds.collect();
        for w in &mut worlds {
            see(w, names);
        }
        worlds.iter_mut().for_each(|w| w.run(3 * SECOND));
        let viewers = worlds.iter_mut().map(World::viewer).collect();
        Nodes { worlds, viewers, id: 0 }
    }

    /// Advances time. `each` set-ups per step go to each node; reports are forwarded where `talks`.
    fn run(&mut self, span: u64, each: usize, talks: bool) {
        let mut told: Vec<usize> = self.worlds.iter().map(|w| w.reports.len()).collect();
        for turn in 0..span / ASK {
            for (w, v) in self.worlds.iter_mut().zip(&self.viewers) {
                for _ in 0..each {
                    self.id += 1;
                    w.ask(*v, self.id, "free", 4000);
                }
                w.run(ASK);
            }
            if turn % (NEWS / ASK) != 0 || !talks {
                continue;
            }
            let news: Vec<_> = self.worlds.iter().map(|w| w.reports.clone()).collect();
            for (from, all) in news.iter().enumerate() {
                for one in &all[told[from]..] {
                    let others = self.worlds.iter_mut().enumerate().filter(|w| w.0 != from);
                    others.for_each(|(_, w)| w.feed(Input::ServerReport(one)));
                }
                told[from] = all.len();
            }
        }
    }

    fn each(&mut self, what: impl Fn(&mut World)) {
        self.worlds.iter_mut().for_each(what);
    }

    /// When this server was probed after this time, by node.
    fn calls(&self, server: usize, since: u64) -> Vec<(u64, usize)> {
        let of = |(n, w): (usize, &World)| {
            let calls = w.calls.iter().filter(|c| c.0 >= since && c.1 == server_addr(server));
            calls.map(|c| (c.0, n)).collect::<Vec<_>>()
        };
        let mut calls: Vec<(u64, usize)> = self.worlds.iter().enumerate().flat_map(of).collect();
        calls.sort();
        calls
    }

    /// Set-ups that reached this server after this time: when, and from which node.
    fn sends(&self, server: usize, since: u64) -> Vec<(u64, usize)> {
        let name = format!("s-{server}");
        let there = |s: &Seen| matches!(s, Seen::Sent { server, .. } if *server == name);
        let of = |(n, w): (usize, &World)| {
            let sent = w.record.iter().filter(|r| r.0 >= since && there(&r.1));
            sent.map(|r| (r.0, n)).collect::<Vec<_>>()
        };
        let mut sent: Vec<(u64, usize)> = self.worlds.iter().enumerate().flat_map(of).collect();
        sent.sort();
        sent
    }

    fn kept(&self) {
        self.worlds.iter().for_each(|w| assert_eq!(w.broken_rules(), Vec::<String>::new()));
    }
}

fn name(n: usize) -> String {
    format!("n{n:02}")
}

/// A node's view gets the first so many names and settles.
fn see(w: &mut World, names: usize) {
    (0..names).for_each(|n| w.feed(Input::Membership(&Fact::Alive(name(n), 1))));
    w.feed(Input::Membership(&Fact::ViewSettled(true)));
}

fn inside(w: &World) -> BTreeSet<u32> {
    w.node.preferred_servers().into_iter().map(|s| s.0).collect()
}

#[test]
fn without_its_settings_and_where_all_are_preferred_nothing_changes() {
    let play = |text: Option<&str>, names: usize| {
        let mut n = Nodes::new(names, 1, 6, text.map(read).as_ref());
        n.run(2 * SECOND, 1, false);
        n.worlds[0].servers.values_mut().take(2).for_each(|s| s.next.extend([Treat::Status(453); 3]));
        n.worlds[0].reset(server_addr(3));
        n.worlds[0].bus(2, false, &row(4, "up", START / MS + 1000));
        n.run(2 * SECOND, 2, false);
        let w = &n.worlds[0];
        (format!("{:?}", w.record), format!("{:?}", w.calls), w.node.counts(), w.node.table_sizes())
    };
    // All traffic with its times; the settings of the module are the same.
    for names in [1, 8] {
        let plain = play(None, names);
        assert!(plain.0.len() > 10_000, "set-ups were played");
        assert!(plain == play(Some("(subset)"), names), "{names} nodes");
    }
    // A single node uses all servers.
    assert!(play(None, 1) == play(Some("(subset (working (least 2)))"), 1));
    assert!(
        play(None, 8) != play(Some("(subset (working (least 2)))"), 8),
        "the comparison sees a preference"
    );
}

#[test]
fn subsets_follow_the_settled_view_and_the_list_and_widen_when_short() {
    let text = "(subset (working (least 4) (held-by 1) (rate 1) (burst 2) (hold 2s)))";
    let mut n = Nodes::new(8, 8, 24, Some(&read(text)));
    // The result of the package for the same names.
    let nodes: Vec<_> = (0..8).map(|n| read(text).node(&name(n))).collect();
    let server = |s| micadyke_subset::Server { id: format!("s-{s}"), zone: "z".into(), weight: 1.0 };
    let servers: Vec<_> = (0..24).map(server).collect();
    let plan =
        micadyke_subset::plan(&nodes, &servers, &working::DrawSettings { min_servers: 4, min_holders: 1 });
    for (k, w) in n.worlds.iter().enumerate() {
        assert_eq!(inside(w).len(), plan.working_subset(&name(k)).expect("known").len(), "{k}");
    }
    let first = inside(&n.worlds[0]);
    assert!(first.len() < 12);
    // Set-ups go to these servers only.
    let since = n.worlds[0].now;
    n.run(2 * SECOND, 1, false);
    // Server numbers are assigned in the order of ids.
    let mut ids: Vec<String> = (0..24).map(|s| format!("s-{s}")).collect();
    ids.sort();
    let number = |s: usize| ids.binary_search(&format!("s-{s}")).expect("listed") as u32 + 1;
    let used: BTreeSet<u32> =
        (0..24).filter(|s| n.sends(*s, since).iter().any(|x| x.1 == 0)).map(number).collect();
    assert!(used.is_subset(&first) && !used.is_empty(), "{used:?} {first:?}");
    // An unsettled view changes nothing, a settled one does.
    let w = &mut n.worlds[0];
    (1..8).for_each(|k| w.feed(Input::Membership(&Fact::Gone(name(k)))));
    w.feed(Input::Membership(&Fact::ViewSettled(false)));
    w.run(5 * SECOND);
    assert_eq!(inside(w), first);
    w.feed(Input::Membership(&Fact::ViewSettled(true)));
    w.run(5 * SECOND);
    assert_eq!(inside(w).len(), 24, "alone it uses all");
    // All of a subset drains, vanishes, is cold or is full: it widens at its rate and shrinks again.
    for how in 0..4 {
        let mut n = Nodes::new(8, 1, 24, Some(&read(text)));
        let w = &mut n.worlds[0];
        let (first, v) = (inside(w), n.viewers[0]);
        let of = |s: &u32| ids[*s as usize - 1][2..].parse().expect("a number");
        for (k, s) in first.iter().map(of).enumerate() {
            match how {
                0 => w.drain(2 + k as u64, s),
                1 => w.vanished.extend([server_addr(s)]),
                2 => w.bus(2 + k as u64, false, &row(s, "up", w.now / MS)),
                _ => {
                    w.servers.get_mut(&server_addr(s)).into_iter().for_each(|s| s.usual = Treat::Status(453))
                }
            }
        }
        let mut sizes = vec![0];
        for k in 0..30 {
            (0..30).for_each(|j| {
                w.ask(v, 1000 + k * 30 + j, "free", 4000);
                w.run(10 * MS);
            });
            sizes.push(inside(w).difference(&first).count());
        }
        let most = sizes.iter().max().copied().unwrap_or(0);
        assert!(most >= 2, "{how}: {sizes:?}");
        // Two at once, one per second: no more than that in 0.3 s, with the recomputation that a list causes.
        assert!(sizes.windows(4).all(|s| s[3] <= s[0] + 4), "{how}: {sizes:?}");
        let served = (1000..1900).filter(|id| w.answer(*id).is_some_and(|a| a.1)).count();
        assert!(served > 850, "{how}: {served} of 900");
        n.kept();
    }
}

#[test]
fn one_looks_at_a_silent_server_is_stood_in_for_and_its_return_is_told() {
    // Nodes in the view, nodes running here, whether turns are enabled, calls in 16 s, seconds until all find it reachable.
    for (names, here, on, calls, known) in
        [(6, 6, true, 3..=8, 5), (6, 6, false, 12..=200, 5), (6, 2, true, 3..=8, 9), (1, 1, true, 3..=5, 5)]
    {
        let text = if on { "(subset (turns))" } else { "(subset)" };
        let mut n = Nodes::new(names, here, 3, Some(&read(text)));
        n.run(2 * SECOND, 1, true);
        n.each(|w| w.vanished.extend([server_addr(0)]));
        // The sessions there are over, and each node has detected it by itself.
        n.run(8 * SECOND, 1, true);
        let from = n.worlds[0].now;
        n.run(16 * SECOND, 1, true);
        let seen = n.calls(0, from);
        assert!(calls.contains(&seen.len()), "{names} {here} {on}: {} calls: {seen:?}", seen.len());
        let back = n.worlds[0].now;
        n.each(|w| w.back(server_addr(0)));
        n.run(known * SECOND, 1, true);
        let used: BTreeSet<usize> = n.sends(0, back).into_iter().map(|s| s.1).collect();
        assert_eq!(used.len(), here, "{names} {here} {on}: {used:?}");
        n.kept();
    }
}

#[test]
fn one_that_lies_keeps_set_ups_from_half_of_the_servers_at_most_and_for_a_while() {
    use micadyke_membership::server_report::{Finding, ServerReport};
    let mut n = Nodes::new(6, 1, 6, Some(&read("(subset (turns))")));
    let lies: Vec<ServerReport> =
        (0..6).map(|s| ServerReport::Found { server: format!("s-{s}"), what: Finding::Silent }).collect();
    let since = n.worlds[0].now;
    for _ in 0..10 {
        lies.iter().for_each(|l| n.worlds[0].feed(Input::ServerReport(l)));
        n.run(SECOND, 1, false);
    }
    let used = (0..6).filter(|s| !n.sends(*s, since).is_empty()).count();
    assert!((3..6).contains(&used), "{used} of 6");
    let over = n.worlds[0].now;
    n.run(30 * SECOND, 1, false);
    assert!((0..6).all(|s| !n.sends(s, over).is_empty()), "lies are forgotten");
    n.kept();
}

/// The maximum set-ups beyond its budget that a cold server got in one window (rule 4). The window is shortened by the time of
/// a connection attempt: set-ups count from their decision, and the first ones wait for the connection.
fn worst_window(n: &Nodes, server: usize, since: u64) -> f64 {
    let s = config(1, 256).deployment.settings;
    let places = f64::from(s.streams_by_kind[0]);
    let budget = places / (20 * SECOND) as f64 * s.cold_from * s.fall_multiple * s.fall_window as f64;
    let sends: Vec<u64> = n.sends(server, since).into_iter().map(|x| x.0).collect();
    let in_window =
        |at: &u64| sends.iter().filter(|t| (*at..at + s.fall_window - 10 * MS).contains(t)).count();
    sends.iter().map(in_window).max().unwrap_or(0) as f64 / budget
}

#[test]
fn a_cold_budget_is_all_fronts_and_not_one_for_each_subset() {
    // Ten nodes and two servers, each preferred by some nodes; both restart under heavy load.
    let play = |text: &str, how: &str| {
        let mut n = Nodes::new(10, 10, 2, Some(&read(text)));
        let at = n.worlds[0].now;
        n.each(|w| (0..2).for_each(|s| w.bus(2 + s as u64, false, &row(s, "up", at / MS))));
        if how == "a whole budget for each subset" {
            // As if only the nodes of one subset, about half, sent there.
            n.each(|w| {
                w.feed(Input::ColdBudgetShare { guaranteed: 1.0 / 2.0, leased: 0.0, lease_duration: 0 })
            });
        }
        n.run(4 * SECOND, 1, true);
        worst_window(&n, 0, at).max(worst_window(&n, 1, at))
    };
    for text in [
        "(subset)",
        "(subset (working (least 1) (held-by 1)))",
        "(subset (working (least 1) (held-by 1)) (turns))",
    ] {
        let kept = play(text, "");
        assert!(kept > 0.1 && kept <= 1.0, "{kept} of the budget with {text}");
    }
    let broken = play("(subset (working (least 1) (held-by 1)))", "a whole budget for each subset");
    assert!(broken > 1.0, "the check sees {broken}");
}

#[test]
fn what_was_silent_comes_back_cold_whoever_found_it() {
    let mut n = Nodes::new(6, 6, 3, Some(&read("(subset (turns))")));
    n.run(SECOND, 1, true);
    n.each(|w| w.vanished.extend([server_addr(0)]));
    // Longer than a server is cold, so the knowledge of its failure is outdated.
    n.run(40 * SECOND, 1, true);
    let back = n.worlds[0].now;
    n.each(|w| w.back(server_addr(0)));
    n.run(8 * SECOND, 4, true);
    let worst = worst_window(&n, 0, back);
    assert!(worst > 0.1 && worst <= 1.0, "{worst} of the budget");
    n.kept();
}
