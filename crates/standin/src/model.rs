//! The boxes' side without I/O: links and racks' uplinks shared by all that they carry, streams, warm-up, falling
//! over, and the figures that boxes tell.

use micadyke_config::{BoxRow, Config};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Nanoseconds of the world's clock.
pub type Nanos = u64;

/// Terms that hold for all boxes.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    /// Rates of the ladder, kB a second.
    pub ladder: Vec<f64>,
    /// A started box is warm after this.
    pub warm_after: Nanos,
    /// Its capacity at the start, as a share.
    pub cold_from: f64,
    /// Sent more than this multiple of its pace, it falls over.
    pub fall_multiple: f64,
    /// When that goes on for so long.
    pub fall_window: Nanos,
    /// It turns set-ups away while so much of its link is asked; 0: never.
    pub full_from: f64,
    /// A session whose event stream is not open for so long is ended: its front is gone.
    pub reap_after: Nanos,
}

/// A session at a box.
#[derive(Debug, Clone, PartialEq)]
pub struct Held {
    /// The title.
    pub title: String,
    /// It publishes.
    pub publishes: bool,
    /// Its rung.
    pub rung: usize,
    /// Its rates over those of the ladder.
    pub scale: f64,
    /// Number of its ICE session; part of the entity tag.
    pub ice: u64,
    /// ICE user name fragment of the client.
    pub ufrag: String,
    /// Open event streams.
    pub streams: u32,
    /// Since when none is open, or since when nothing of a play was asked for.
    pub alone_since: Nanos,
    /// It is a play over HTTP.
    pub play: Option<HttpPlay>,
}

/// A play over HTTP: who set it up, and what it goes by.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpPlay {
    /// The front, as its requests' `Via` names it.
    pub via: String,
    /// The player's id (CMCD `sid`).
    pub sid: String,
    /// Number of the attempt that set it up (CMCD `sn`).
    pub number: u64,
    /// It is over when nothing was asked for so much longer than a session of WHEP may be alone.
    pub silence: Nanos,
}

/// One box.
#[derive(Debug, Clone, PartialEq)]
pub struct Machine {
    /// Its rack.
    pub rack: u32,
    /// What its link gives, kB a second.
    pub link: f64,
    /// Streams it runs at most.
    pub places: u32,
    /// When its process started; 0: long ago.
    pub started: Nanos,
    /// Its process runs.
    pub up: bool,
    /// It was pushed over and stays down.
    pub fallen: bool,
    /// It drains: new sessions are turned away.
    pub draining: bool,
    /// Part of the link that is there (1: all).
    pub link_part: f64,
    /// What another program takes of the link, kB a second.
    pub other: f64,
    /// Sessions by number.
    pub held: BTreeMap<u64, Held>,
    /// Set-ups of late.
    setups: VecDeque<Nanos>,
}

/// What became of a set-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SetUp {
    /// It stands, under this number.
    Taken(u64),
    /// Turned away unseen.
    Full,
    /// The box does not hold the title.
    Unknown,
    /// The title is published already.
    Conflict,
    /// The box fell over.
    Fell,
}

/// All boxes and racks.
#[derive(Debug)]
pub struct World {
    /// Terms.
    pub terms: Terms,
    /// Boxes by number.
    pub boxes: BTreeMap<u32, Machine>,
    /// What each rack's uplink gives, kB a second; 0: without bound.
    pub uplinks: Vec<f64>,
    /// Part of each uplink that is there.
    pub uplink_parts: Vec<f64>,
    /// Boxes that hold each title; a title that is missing is held by none.
    pub holders: HashMap<String, Vec<u32>>,
    /// Rates of titles over the ladder's, where they are not 1.
    pub scales: HashMap<String, f64>,
    next: u64,
}

impl World {
    /// Boxes without sessions.
    pub fn new(terms: Terms, uplinks: Vec<f64>) -> Self {
        let uplink_parts = vec![1.0; uplinks.len()];
        World {
            terms,
            boxes: BTreeMap::new(),
            uplinks,
            uplink_parts,
            holders: HashMap::new(),
            scales: HashMap::new(),
            next: 0,
        }
    }

    /// The boxes of a list as the fronts' settings describe them, holding the settings' titles.
    pub fn of(config: &Config, rows: &[BoxRow], reap_after: Nanos) -> Self {
        let s = &config.settings;
        let terms = Terms {
            ladder: s.ladder.iter().map(|r| r.rate).collect(),
            warm_after: s.cold_for,
            cold_from: s.cold_from,
            fall_multiple: s.fall_multiple,
            fall_window: s.fall_window,
            full_from: s.full_from,
            reap_after,
        };
        let mut world = World::new(terms, vec![s.uplink; s.racks as usize]);
        for r in rows {
            world.add(r.id, r.cell % s.racks, s.link_per_weight * r.weight, s.streams_by_kind[r.kind]);
        }
        for (name, t) in &config.titles {
            let holds = |r: &&BoxRow| (r.cell + s.cells - t.base) % s.cells < t.spread;
            world.holders.insert(name.clone(), rows.iter().filter(holds).map(|r| r.id).collect());
        }
        world
    }

    /// Adds a box that has run for long.
    pub fn add(&mut self, id: u32, rack: u32, link: f64, places: u32) {
        let machine = Machine {
            rack,
            link,
            places,
            started: 0,
            up: true,
            fallen: false,
            draining: false,
            link_part: 1.0,
            other: 0.0,
            held: BTreeMap::new(),
            setups: VecDeque::new(),
        };
        self.boxes.insert(id, machine);
    }

    /// The share of its capacity that a box has at a time.
    pub fn warmth(&self, id: u32, now: Nanos) -> f64 {
        let (t, m) = (&self.terms, &self.boxes[&id]);
        if m.started == 0 || t.warm_after == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(m.started) as f64 / t.warm_after as f64;
        (t.cold_from + (1.0 - t.cold_from) * age).min(1.0)
    }

    /// A set-up reaches a box.
    pub fn set_up(&mut self, id: u32, now: Nanos, title: &str, publishes: bool) -> SetUp {
        let warmth = self.warmth(id, now);
        let (asked, _) = self.use_of(id, now);
        let holds = self.holders.get(title).is_some_and(|h| h.contains(&id));
        let taken = self.holders.contains_key(title);
        let scale = self.scales.get(title).copied().unwrap_or(1.0);
        let t = &self.terms;
        let Some(m) = self.boxes.get_mut(&id) else { return SetUp::Unknown };
        m.setups.push_back(now);
        m.setups.retain(|&s| s + t.fall_window > now);
        let cold = m.started > 0 && now < m.started + t.warm_after;
        if cold && t.fall_multiple > 0.0 {
            let pace = f64::from(m.places) / t.warm_after as f64 * warmth;
            if m.setups.len() as f64 > (pace * t.fall_multiple * t.fall_window as f64).max(1.0) {
                (m.fallen, m.up) = (true, false);
                return SetUp::Fell;
            }
        }
        if m.draining || m.held.len() >= m.places as usize || (t.full_from > 0.0 && asked >= t.full_from) {
            return SetUp::Full;
        }
        match publishes {
            true if taken => return SetUp::Conflict,
            false if !holds => return SetUp::Unknown,
            _ => {}
        }
        self.next += 1;
        let held = Held {
            title: title.into(),
            publishes,
            rung: 0,
            scale,
            ice: 1,
            ufrag: String::new(),
            streams: 0,
            alone_since: now,
            play: None,
        };
        m.held.insert(self.next, held);
        if publishes {
            self.holders.insert(title.into(), vec![id]);
        }
        SetUp::Taken(self.next)
    }

    /// A session ends at a box; when it published, so do those that play it.
    pub fn end(&mut self, id: u32, session: u64) -> Vec<u64> {
        let Some(m) = self.boxes.get_mut(&id) else { return Vec::new() };
        let Some(held) = m.held.remove(&session) else { return Vec::new() };
        let mut gone = vec![session];
        if held.publishes {
            self.holders.remove(&held.title);
            gone.extend(m.held.iter().filter(|(_, h)| h.title == held.title).map(|(n, _)| *n));
            m.held.retain(|_, h| h.title != held.title);
        }
        gone
    }

    /// A box's process ends: all its sessions are gone, and what was published on it.
    pub fn stop(&mut self, id: u32) {
        let Some(m) = self.boxes.get_mut(&id) else { return };
        m.up = false;
        let published: Vec<String> =
            m.held.values().filter(|h| h.publishes).map(|h| h.title.clone()).collect();
        m.held.clear();
        published.iter().for_each(|t| {
            self.holders.remove(t);
        });
    }

    /// A box's process starts, cold; one that fell over stays down.
    pub fn start(&mut self, id: u32, now: Nanos) -> bool {
        let Some(m) = self.boxes.get_mut(&id) else { return false };
        if m.fallen {
            return false;
        }
        (m.up, m.draining, m.started) = (true, false, now.max(1));
        m.setups.clear();
        true
    }

    /// Rate asked of a box's link, kB a second.
    pub fn asked(&self, m: &Machine) -> f64 {
        let rate = |h: &Held| if h.publishes { 0.0 } else { self.terms.ladder[h.rung] * h.scale };
        m.held.values().map(rate).sum::<f64>() + m.other
    }

    /// What is asked of a box's link and of its rack's uplink, over what they give.
    pub fn use_of(&self, id: u32, now: Nanos) -> (f64, f64) {
        let Some(m) = self.boxes.get(&id) else { return (0.0, 0.0) };
        let gives = m.link * m.link_part * self.warmth(id, now);
        let link = self.asked(m) / gives.max(1e-9);
        let rack = m.rack as usize;
        let uplink = self.uplinks.get(rack).copied().unwrap_or(0.0)
            * self.uplink_parts.get(rack).copied().unwrap_or(1.0);
        if uplink <= 0.0 {
            return (link, 0.0);
        }
        // What a box's own link does not let through does not reach the uplink.
        let reach = |b: &Machine| self.asked(b).min(b.link * b.link_part);
        let all: f64 = self.boxes.values().filter(|b| b.rack == m.rack).map(reach).sum();
        (link, all / uplink)
    }

    /// The share of its rate that each session at a box gets.
    pub fn delivered(&self, id: u32, now: Nanos) -> f64 {
        let (link, uplink) = self.use_of(id, now);
        (1.0 / link.max(1e-9)).min(1.0 / uplink.max(1e-9)).min(1.0)
    }
}
