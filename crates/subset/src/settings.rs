//! Settings of subsets and turns: a checked S-expression beside membership's, in the same file.
//!
//! ```text
//! (membership ...)
//! (subset
//!   (working                          ; off where not given: the node works with all servers alike
//!     (least 20) (held-by 2)          ; servers of a node, nodes of a server, at least
//!     (enough 75%) (rate 2) (burst 4) (hold 5s))   ; how it widens when short
//!   (turns (window 4s) (slots 6))     ; off where not given: each node looks by itself
//!   (nodes "kochi-" (zone "kochi"))   ; names that begin so, the longest beginning first
//!   (nodes "kochi-7" (zone "kochi") (capacity 3)))
//! ```
//!
//! The same at all nodes but for what is meant to differ; where it differs by mistake, subsets do as well, and no more.

use crate::{Nanos, Node, turns, widen, working};
use micadyke_config::units::Unit;
use micadyke_config::{Diagnostic, Form, read_file};

/// Beginnings of names at most.
const MOST: usize = 4096;

/// What is known of nodes whose names begin alike.
#[derive(Debug, Clone, PartialEq)]
pub struct Kin {
    /// How the names begin.
    pub names: String,
    /// Their zone.
    pub zone: String,
    /// The traffic of each beside the others', 1 on the mean.
    pub capacity: f64,
}

/// What a node is told of subsets and turns.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Terms {
    /// How a working subset is drawn and widened; none: the node works with all alike.
    pub working: Option<(working::Terms, widen::Terms)>,
    /// How turns are cut; none: each node looks by itself.
    pub turns: Option<turns::Terms>,
    /// What is known of nodes; of others, that their traffic is 1 and their zone has no name.
    pub nodes: Vec<Kin>,
}

impl Terms {
    /// A node by its name in the view.
    ///
    /// ```
    /// use micadyke_subset::settings::read;
    /// let text = r#"(subset (nodes "a-" (zone "a")) (nodes "a-7" (zone "a") (capacity 3)))"#;
    /// let terms = read(text, "n.sexp").unwrap().unwrap();
    /// let [usual, busy, other] = ["a-1", "a-7", "b"].map(|n| terms.node(n));
    /// assert_eq!((usual.zone.as_str(), usual.capacity, busy.capacity, other.zone.as_str()), ("a", 1.0, 3.0, ""));
    /// ```
    pub fn node(&self, name: &str) -> Node {
        let kin = self.nodes.iter().filter(|k| name.starts_with(&k.names)).max_by_key(|k| k.names.len());
        let (zone, capacity) = kin.map_or((String::new(), 1.0), |k| (k.zone.clone(), k.capacity));
        Node { name: name.to_owned(), zone, capacity }
    }
}

/// Reads the form `subset` of a file, where there is one; other forms are others'.
///
/// # Errors
///
/// Each fault with its place.
///
/// ```
/// use micadyke_subset::settings::read;
/// assert_eq!(read("(membership)", "n3.sexp"), Ok(None));
/// let terms = read("(membership) (subset (turns (slots 4)))", "n3.sexp").unwrap().unwrap();
/// assert_eq!((terms.working, terms.turns.map(|t| t.slots)), (None, Some(4)));
/// assert!(read("(subset (turns (window 9ms)))", "n3.sexp").is_err());
/// ```
pub fn read(text: &str, file: &str) -> Result<Option<Terms>, Vec<Diagnostic>> {
    read_file(text, file, "the settings are incomplete", |nodes, faults| {
        let forms: Vec<Form> = nodes.iter().filter_map(|n| Form::of(n, faults)).collect();
        let mut ours = forms.iter().filter(|f| f.word == "subset");
        let Some(form) = ours.next() else { return Some(None) };
        if let Some(more) = ours.next() {
            more.fault("one form 'subset' is due at most");
        }
        form.allow(&["working", "turns"], &["nodes"]);
        let number = |f: &Form, name, least, most, or| f.get(name, Unit::Number, (least, most), Some(or));
        let working = form.part("working").map(|f| {
            f.allow(&["least", "held-by", "enough", "rate", "burst", "hold"], &[]);
            let (draw, more) = (working::Terms::default(), widen::Terms::default());
            let draw = working::Terms {
                least: f.count("least", 1, 4096, Some(draw.least as u64)) as usize,
                held_by: f.count("held-by", 1, 4096, Some(draw.held_by as u64)) as usize,
            };
            let more = widen::Terms {
                enough: f.get("enough", Unit::Share, (0.01, 1.0), Some(more.enough)),
                rate: number(&f, "rate", 0.01, 1_000.0, more.rate),
                burst: number(&f, "burst", 1.0, 1_000.0, more.burst),
                hold: f.get("hold", Unit::Time, (0.0, 3_600e9), Some(more.hold as f64)) as Nanos,
            };
            let sound = draw.check().and(more.check());
            sound.err().into_iter().for_each(|e| f.fault(format!("{e}. {}", e.advice())));
            (draw, more)
        });
        let turns = form.part("turns").map(|f| {
            f.allow(&["window", "slots"], &[]);
            let usual = turns::Terms::default();
            let terms = turns::Terms {
                window: f.get("window", Unit::Time, (1e6, 60e9), Some(usual.window as f64)) as Nanos,
                slots: f.count("slots", 1, 32, Some(u64::from(usual.slots))) as u32,
            };
            // A slot is as long as news takes to most nodes: shorter ones have all of them look.
            if terms.check().is_err() || terms.window / u64::from(terms.slots.max(1)) < SLOT {
                f.fault("turns: a slot lasts less than 100 ms, and news does not reach most nodes in it");
            }
            terms
        });
        let kin = form.parts().filter(|f| f.word == "nodes").map(|f| {
            f.allow(&["zone", "capacity"], &[]);
            let names = match f.arguments() {
                [one] => one.text().unwrap_or_default(),
                _ => "",
            };
            if names.is_empty() {
                f.fault("'nodes' takes one beginning of names, before its parts");
            }
            let (zone, capacity) = (f.word_of("zone", None), number(&f, "capacity", 0.01, 100.0, 1.0));
            Kin { names: names.to_owned(), zone: zone.to_owned(), capacity }
        });
        let nodes: Vec<Kin> = kin.collect();
        if nodes.len() > MOST {
            form.fault(format!("{} parts 'nodes'; {MOST} at most", nodes.len()));
        }
        Some(Some(Terms { working, turns, nodes }))
    })
}

/// The shortest slot.
const SLOT: Nanos = 100_000_000;
