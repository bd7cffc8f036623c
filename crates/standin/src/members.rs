//! Members in virtual time on a network that loses, delays, doubles and cuts, drawn from a seed.

use micadyke_membership::frame::FrameCodec;
use micadyke_membership::server_report::ServerReport;
use micadyke_membership::share::{BudgetShare, ShareSettings};
use micadyke_membership::{
    Change, Feature, Input, MS, Member, Message, Nanos, Output, SECOND, Settings, View,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hasher};
use std::net::SocketAddr;

/// The fleet's name.
pub const FLEET: &str = "test";
/// Its key.
pub const KEY_TEXT: &[u8] = b"sixteen bytes and more";

/// Where process `n` takes datagrams.
pub fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8 + 1], 7946))
}

/// Its name.
pub fn name(n: usize) -> String {
    format!("n{n}")
}

/// The fleet's seal.
pub fn seal() -> FrameCodec {
    FrameCodec::new(FLEET, KEY_TEXT).expect("a key that is long enough")
}

/// A process.
pub struct Process {
    /// Its view.
    pub view: View,
    /// Where it takes datagrams.
    pub at: SocketAddr,
    stopped: bool,
    socket: Vec<(SocketAddr, Vec<u8>)>,
    wake: Nanos,
    part: Option<BudgetShare>,
}

enum Ev {
    Arrives(SocketAddr, SocketAddr, Vec<u8>),
    Wakes(usize),
    Refused(usize, String, Nanos),
}

/// A fleet, its network and its time.
pub struct World {
    /// The time.
    pub now: Nanos,
    /// What chance is drawn from.
    pub seed: u64,
    /// The period of those that start.
    pub period: Nanos,
    /// The clock by which starts are counted, beside `now`.
    pub clock: u64,
    /// What runs.
    pub processes: BTreeMap<usize, Process>,
    at: BTreeMap<SocketAddr, usize>,
    /// What each view told, and when.
    pub told: Vec<(Nanos, usize, Change)>,
    /// Letters that were handed up to each, and when.
    pub letters: Vec<(Nanos, usize, Message)>,
    /// Bytes that each sent.
    pub bytes: BTreeMap<usize, u64>,
    random: StdRng,
    events: BTreeMap<(Nanos, u64), Ev>,
    number: u64,
    /// Directed pairs that are cut.
    pub cut: BTreeSet<(SocketAddr, SocketAddr)>,
    /// Addresses whose machines say nothing any more.
    pub dark: BTreeSet<SocketAddr>,
    /// Which side of a partition each address is on.
    pub side: BTreeMap<SocketAddr, usize>,
    /// Datagrams that are lost, as a share.
    pub loss: f64,
    /// Datagrams that come twice, as a share.
    pub doubled: f64,
    /// One way takes so long, and up to so much longer.
    pub way: (Nanos, Nanos),
    /// Seeds of those that start.
    pub seeds: Vec<SocketAddr>,
    /// The configured number of members.
    pub expected: u32,
    /// Datagrams that wait at a process that stands still; 0: its whole machine does.
    pub socket: usize,
    /// Parts of a common budget, where they are on.
    pub shares: Option<ShareSettings>,
    /// The most that all parts came to at any time.
    pub most: f64,
    /// What the views of those that start lack.
    pub without: Option<Feature>,
    /// All that views said so far: when, whose, each byte.
    trace: DefaultHasher,
}

/// What a process sees that is not so.
fn untrue(p: &Process, truth: &BTreeSet<(String, u64)>) -> Option<String> {
    let living = p.view.members().filter(|m| m.1).map(|m| m.0);
    let seen: BTreeSet<(String, u64)> =
        living.chain([p.view.me()]).map(|m| (m.name.clone(), m.start)).collect();
    let (more, less) = (seen.difference(truth).count(), truth.difference(&seen).count());
    let name = &p.view.me().name;
    (more + less > 0).then(|| format!("{name} sees {more} that are not there, and {less} not that are"))
}

impl World {
    /// An empty fleet.
    pub fn new(seed: u64, expected: usize) -> Self {
        World {
            now: SECOND,
            seed,
            period: 500 * MS,
            clock: 1_800_000_000_000,
            processes: BTreeMap::new(),
            at: BTreeMap::new(),
            told: Vec::new(),
            letters: Vec::new(),
            bytes: BTreeMap::new(),
            random: StdRng::seed_from_u64(seed),
            events: BTreeMap::new(),
            number: 0,
            cut: BTreeSet::new(),
            dark: BTreeSet::new(),
            side: BTreeMap::new(),
            loss: 0.0,
            doubled: 0.0,
            way: (MS, MS),
            seeds: (0..3).map(addr).collect(),
            expected: expected as u32,
            socket: 400,
            shares: None,
            most: 0.0,
            without: None,
            trace: DefaultHasher::new(),
        }
    }

    /// A fleet of `n` that has settled.
    pub fn settled(seed: u64, n: usize) -> Self {
        World::settled_without(seed, n, None)
    }

    /// The same of views that lack a feature.
    pub fn settled_without(seed: u64, n: usize, without: Option<Feature>) -> Self {
        let mut w = World::new(seed, n);
        w.without = without;
        (0..n).for_each(|i| w.start(i));
        w.until_settled(60);
        w.told.clear();
        w
    }

    /// A draw under this number.
    pub fn lot(&mut self, below: usize) -> usize {
        self.random.random_range(0..below)
    }

    fn plan(&mut self, at: Nanos, ev: Ev) {
        self.number += 1;
        self.events.insert((at, self.number), ev);
    }

    /// Starts process `n`.
    pub fn start(&mut self, n: usize) {
        self.start_as(n, &name(n), addr(n));
    }

    /// Starts a process under another name or address.
    pub fn start_as(&mut self, n: usize, name: &str, at: SocketAddr) {
        let mut settings = Settings::new(FLEET, name, at);
        (settings.seeds, settings.expected, settings.period) =
            (self.seeds.clone(), self.expected, self.period);
        settings.shares = self.shares;
        self.number += 1;
        let start = self.clock + self.now / MS;
        let view = View::new(settings, seal(), start, self.seed ^ self.number, self.now);
        let view = view.without(self.without);
        self.at.insert(at, n);
        self.dark.remove(&at);
        self.processes.insert(
            n,
            Process { view, at, stopped: false, socket: Vec::new(), wake: Nanos::MAX, part: None },
        );
        self.feed(n, None);
    }

    /// Has a member tell the others something.
    pub fn tell(&mut self, n: usize, news: &ServerReport) {
        let (mut out, now) = (Vec::new(), self.now);
        self.processes.get_mut(&n).expect("it runs").view.handle(now, Input::PublishReport(news), &mut out);
        self.carry_out(n, out);
    }

    /// Has a member send a letter.
    pub fn send(&mut self, n: usize, letter: &Message) {
        let (mut out, now) = (Vec::new(), self.now);
        self.processes.get_mut(&n).expect("it runs").view.handle(now, Input::SendMessage(letter), &mut out);
        self.carry_out(n, out);
    }

    /// Kills a process.
    pub fn kill(&mut self, n: usize) {
        if let Some(p) = self.processes.remove(&n) {
            self.at.remove(&p.at);
        }
    }

    /// Kills a process with its machine: nothing refuses calls there until another is started.
    pub fn vanish(&mut self, n: usize) {
        self.dark.extend(self.processes.get(&n).map(|p| p.at));
        self.kill(n);
    }

    /// Has a member take its leave, and end.
    pub fn leave(&mut self, n: usize) {
        let (mut out, now) = (Vec::new(), self.now);
        self.processes.get_mut(&n).expect("it runs").view.handle(now, Input::Leave, &mut out);
        self.carry_out(n, out);
        self.kill(n);
    }

    /// Stops a process.
    pub fn stop(&mut self, n: usize) {
        self.processes.get_mut(&n).expect("it runs").stopped = true;
    }

    /// Lets a stopped process go on: what lies in its socket comes first.
    pub fn go_on(&mut self, n: usize) {
        let p = self.processes.get_mut(&n).expect("it runs");
        p.stopped = false;
        let waiting = std::mem::take(&mut p.socket);
        waiting.into_iter().for_each(|(from, bytes)| self.feed(n, Some((from, bytes))));
        self.feed(n, None);
    }

    /// Cuts the fleet by `side`; 0 for all heals it.
    pub fn partition(&mut self, side: impl Fn(usize) -> usize) {
        self.side = (0..2600).map(|n| (addr(n), side(n))).collect();
    }

    fn feed(&mut self, n: usize, datagram: Option<(SocketAddr, Vec<u8>)>) {
        let Some(p) = self.processes.get_mut(&n) else { return };
        let mut out = Vec::new();
        match &datagram {
            Some((from, bytes)) => p.view.handle(self.now, Input::Datagram { from: *from, bytes }, &mut out),
            None => p.view.handle(self.now, Input::Timer, &mut out),
        }
        self.carry_out(n, out);
    }

    fn carry_out(&mut self, n: usize, out: Vec<Output>) {
        let Some(from) = self.processes.get(&n).map(|p| p.at) else { return };
        for output in out {
            self.trace.write(format!("{} {n} {output:?}", self.now).as_bytes());
            match output {
                Output::ProbeAddress { name, to } => {
                    // A machine that lives says so where no process listens; one that is cut off says nothing.
                    let parted = self.side.get(&from) != self.side.get(&to);
                    if !parted && !self.at.contains_key(&to) && !self.dark.contains(&to) {
                        let called = self.now;
                        self.plan(self.now + 2 * self.way.0, Ev::Refused(n, name, called));
                    }
                }
                Output::Changed(Change::ShareChanged(part)) => {
                    self.processes.get_mut(&n).into_iter().for_each(|p| p.part = Some(part));
                }
                Output::Message(letter) => self.letters.push((self.now, n, letter)),
                Output::Changed(change) => self.told.push((self.now, n, change)),
                Output::Send { to, bytes } => {
                    *self.bytes.entry(n).or_default() += bytes.len() as u64;
                    self.post(from, to, bytes);
                }
            }
        }
        let p = self.processes.get_mut(&n).expect("it runs");
        let at = p.view.wake_at().max(self.now);
        if at != p.wake && at < Nanos::MAX {
            p.wake = at;
            self.plan(at, Ev::Wakes(n));
        }
    }

    /// Puts a datagram on the network.
    pub fn post(&mut self, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        let parted = self.side.get(&from) != self.side.get(&to);
        if parted || self.cut.contains(&(from, to)) {
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(self.doubled));
        for _ in 0..copies {
            if !self.random.random_bool(self.loss) {
                let way = self.way.0 + self.random.random_range(0..=self.way.1);
                self.plan(self.now + way, Ev::Arrives(from, to, bytes.clone()));
            }
        }
    }

    fn happen(&mut self, ev: Ev) {
        match ev {
            Ev::Arrives(from, to, bytes) => {
                let Some(&n) = self.at.get(&to) else { return };
                let Some(p) = self.processes.get_mut(&n) else { return };
                match p.stopped {
                    false => self.feed(n, Some((from, bytes))),
                    true if p.socket.len() < self.socket => p.socket.push((from, bytes)),
                    true => {}
                }
            }
            Ev::Refused(n, name, called) => {
                let Some(p) = self.processes.get_mut(&n).filter(|p| !p.stopped) else { return };
                let mut out = Vec::new();
                p.view.handle(
                    self.now,
                    Input::ConnectionRefused { name: &name, probed_at: called },
                    &mut out,
                );
                self.carry_out(n, out);
            }
            Ev::Wakes(n) => {
                let Some(p) = self.processes.get_mut(&n) else { return };
                if p.wake <= self.now {
                    p.wake = Nanos::MAX;
                    if !p.stopped {
                        self.feed(n, None);
                    }
                }
            }
        }
    }

    /// Lets so much time pass.
    pub fn run(&mut self, span: Nanos) {
        let until = self.now + span;
        while let Some(first) = self.events.first_entry().filter(|e| e.key().0 <= until) {
            self.now = self.now.max(first.key().0);
            let ev = first.remove();
            self.happen(ev);
            if self.shares.is_some() {
                self.most = self.most.max(self.parts().values().sum());
            }
        }
        self.now = until;
    }

    /// What each process may use now: what it was last told, if that is not over.
    pub fn parts(&self) -> BTreeMap<usize, f64> {
        let terms = self.shares.expect("shares are on");
        let own = terms.guaranteed_per_mille as f64 / 1000.0 / f64::from(terms.fleet_size);
        let part = |p: &Process| p.part.filter(|p| self.now < p.lease_ends_at).map_or(own, |p| p.total());
        self.processes.iter().map(|(n, p)| (*n, part(p))).collect()
    }

    /// Name and start of all that live, by the truth.
    pub fn truth(&self) -> BTreeSet<(String, u64)> {
        self.processes.values().map(|p| (p.view.me().name.clone(), p.view.me().start)).collect()
    }

    /// What keeps the fleet from being settled: by the processes' own word, and by what they say of each other.
    pub fn unsettled(&self) -> Option<String> {
        let digests: BTreeSet<u64> = self.processes.values().map(|p| p.view.digest()).collect();
        if digests.len() > 1 {
            return Some(format!("{} digests", digests.len()));
        }
        let run = || self.processes.values().filter(|p| !p.stopped);
        // Where all say the same, one stands for all until they say that they are settled; then each is looked at.
        let truth = self.truth();
        run().take(1).find_map(|p| untrue(p, &truth)).or_else(|| {
            let unsettled =
                |p: &Process| Some(format!("{}: {}", p.view.me().name, p.view.check_settled().err()?));
            run().find_map(unsettled).or_else(|| run().find_map(|p| untrue(p, &truth)))
        })
    }

    /// Runs until all agree; the time that it took.
    pub fn until_settled(&mut self, seconds: u64) -> Nanos {
        let start = self.now;
        loop {
            self.run(100 * MS);
            match self.unsettled() {
                None => return self.now - start,
                Some(why) if self.now > start + seconds * SECOND => {
                    for (n, p) in &self.processes {
                        let seen: Vec<String> = p
                            .view
                            .members()
                            .map(|m| format!("{}:{}.{}:{}", m.0.name, m.0.start, m.0.turn, m.1))
                            .collect();
                        eprintln!("{n} {:?} {:?} sees {seen:?}", p.view.me(), p.view.check_settled());
                    }
                    panic!("seed {}: {why}", self.seed)
                }
                Some(_) => {}
            }
        }
    }

    /// Digest of all that was said in this world, and of the first page of each view as it now stands: the same for the
    /// same seed as long as nothing behaves differently.
    pub fn digest(&mut self) -> u64 {
        let asker = Member::new("asker", addr(2500), 0);
        let ask = micadyke_membership::status::encode_request(&seal(), &asker, 0).expect("it fits");
        let all: Vec<usize> = self.processes.keys().copied().collect();
        all.into_iter().for_each(|n| self.feed(n, Some((asker.addr, ask.clone()))));
        self.trace.finish()
    }

    /// Who was given up by whom.
    pub fn given_up(&self) -> Vec<(usize, String)> {
        let downs = self.told.iter().filter_map(|(_, n, c)| match c {
            Change::Down(m) => Some((*n, m.name.clone())),
            _ => None,
        });
        downs.collect()
    }

    /// A process as it now calls itself.
    pub fn member(&self, n: usize) -> &Member {
        self.processes[&n].view.me()
    }
}
