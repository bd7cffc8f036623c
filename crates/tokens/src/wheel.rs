//! A hierarchical timer wheel (Varghese and Lauck, 1987): inserting takes constant time, however many wait.
//!
//! Six levels of 64 slots; a tick is a millisecond, so the wheel spans two years. Nothing is ever cancelled: whoever
//! pops an entry that has become void drops it. Entries come out no earlier than they are due and within a tick.

use crate::Nanos;

const TICK: Nanos = 1_000_000;
const BITS: u32 = 6;
const SLOTS: usize = 1 << BITS;
const LEVELS: usize = 6;
/// Entries that an empty slot keeps room for at most.
const KEPT: usize = 1 << 14;

/// A timer wheel.
#[derive(Clone)]
pub struct Wheel<T> {
    /// The tick up to which all has come out.
    now: u64,
    slots: Vec<Vec<(u64, T)>>,
    /// For each level, which slots hold anything.
    held: [u64; LEVELS],
    due: Vec<(u64, T)>,
    len: usize,
    /// No step is due before this tick. A look that finds nothing, the most frequent one with few entries, is then one
    /// comparison instead of a search through the levels.
    soonest: u64,
    /// A slot is emptied by swapping it with this, so that neither gives its memory back: with few entries in a slot
    /// that cost more than all else.
    emptied: Vec<(u64, T)>,
}

impl<T: std::fmt::Debug> std::fmt::Debug for Wheel<T> {
    /// The entries that wait, without the empty slots.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let held = self.slots.iter().flatten().chain(&self.due);
        f.debug_list().entry(&self.now).entries(held).finish()
    }
}

impl<T> Wheel<T> {
    /// An empty wheel at a time.
    pub fn new(now: Nanos) -> Self {
        let slots = (0..LEVELS * SLOTS).map(|_| Vec::new()).collect();
        Wheel {
            now: now / TICK,
            slots,
            held: [0; LEVELS],
            due: Vec::new(),
            len: 0,
            soonest: u64::MAX,
            emptied: Vec::new(),
        }
    }

    /// How many entries wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Lets an entry come out at a time, rounded up to the next tick.
    pub fn insert(&mut self, at: Nanos, entry: T) {
        self.len += 1;
        self.put(at.div_ceil(TICK), entry);
    }

    fn put(&mut self, at: u64, entry: T) {
        if at <= self.now {
            return self.due.push((at, entry));
        }
        // The level of the highest digit in which the time differs from now.
        let level = ((63 - (at ^ self.now).leading_zeros()) / BITS) as usize;
        let (level, slot) = if level >= LEVELS {
            // Beyond the span: as far out as the wheel goes; it is put again when it comes down.
            (LEVELS - 1, ((self.now >> (BITS * 5)) as usize + SLOTS - 1) % SLOTS)
        } else {
            (level, (at >> (BITS * level as u32)) as usize % SLOTS)
        };
        self.held[level] |= 1 << slot;
        self.slots[level * SLOTS + slot].push((at, entry));
        self.soonest = self.soonest.min(self.step_at(level).unwrap_or(u64::MAX));
    }

    /// The earliest time at which something may come out; it may turn out to be a step of the wheel only.
    pub fn next(&self) -> Option<Nanos> {
        if !self.due.is_empty() {
            return Some(self.now * TICK);
        }
        (self.soonest != u64::MAX).then(|| self.soonest * TICK)
    }

    /// The tick at which the next slot of a level that holds anything is reached.
    fn step_at(&self, level: usize) -> Option<u64> {
        let shift = BITS * level as u32;
        let here = (self.now >> shift) as usize % SLOTS;
        let ahead = self.held[level].rotate_right((here as u32 + 1) & 63).trailing_zeros();
        (self.held[level] != 0).then(|| ((self.now >> shift) + 1 + u64::from(ahead)) << shift)
    }

    /// Moves to a time; all that is due by then is appended to `out`, in the order of its time.
    pub fn advance(&mut self, now: Nanos, out: &mut Vec<T>) {
        let to = now / TICK;
        if self.soonest > to && self.due.is_empty() {
            self.now = self.now.max(to);
            return;
        }
        let mut ready: Vec<(u64, T)> = std::mem::take(&mut self.due);
        let step = |w: &Self| (0..LEVELS).filter_map(|l| w.step_at(l)).min().unwrap_or(u64::MAX);
        loop {
            let next = step(self);
            if next > to {
                self.soonest = next;
                break;
            }
            self.now = next;
            // From the top down: what falls out of a higher slot belongs into a lower one, or is due.
            let top = (next.trailing_zeros() / BITS).min(LEVELS as u32 - 1) as usize;
            for level in (0..=top).rev() {
                let shift = BITS * level as u32;
                let slot = (next >> shift) as usize % SLOTS;
                if self.held[level] & (1 << slot) != 0 {
                    self.held[level] &= !(1 << slot);
                    let mut all = std::mem::take(&mut self.emptied);
                    std::mem::swap(&mut all, &mut self.slots[level * SLOTS + slot]);
                    for (at, entry) in all.drain(..) {
                        self.put(at, entry);
                    }
                    // Memory of a crowd is not kept for good.
                    all.shrink_to(KEPT);
                    self.emptied = all;
                }
            }
            ready.append(&mut self.due);
        }
        self.now = self.now.max(to);
        if ready.len() > 1 {
            ready.sort_by_key(|r| r.0);
        }
        self.len -= ready.len();
        out.extend(ready.into_iter().map(|r| r.1));
    }
}
