//! Settings of subsets and turns: the form `subset` in the file that also holds the form `membership`.
//!
//! ```text
//! (membership ...)
//! (subset
//!   (working                          ; if missing, the node works with all servers alike
//!     (least 20) (held-by 2)          ; minimum servers of a node, minimum nodes of a server
//!     (enough 75%) (rate 2) (burst 4) (hold 5s))   ; how it widens when servers are unusable
//!   (turns (window 4s) (slots 6))     ; if missing, each node probes on its own
//!   (nodes "kochi-" (zone "kochi"))   ; nodes by name prefix; the longest matching prefix applies
//!   (nodes "kochi-7" (zone "kochi") (capacity 3)))
//! ```
//!
//! All nodes should have the same settings. Nodes with different settings compute different subsets, which has no other
//! consequence.

use crate::{Nanos, Node, turns, widen, working};
use micadyke_config::units::Unit;
use micadyke_config::{Diagnostic, Form, read_file};

/// Maximum number of node groups.
const MAX_NODE_GROUPS: usize = 4096;

/// Zone and capacity of the nodes with a common name prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeGroup {
    /// The name prefix.
    pub name_prefix: String,
    /// Their zone.
    pub zone: String,
    /// The traffic of each node relative to the mean of all nodes.
    pub capacity: f64,
}

/// The settings of subsets and turns.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SubsetSettings {
    /// How a working subset is drawn and widened; `None`: the node works with all servers alike.
    pub working: Option<(working::DrawSettings, widen::WidenSettings)>,
    /// The windows and slots of turns; `None`: each node probes on its own.
    pub turns: Option<turns::TurnSettings>,
    /// Groups of nodes. Other nodes have a capacity of 1 and a zone without name.
    pub nodes: Vec<NodeGroup>,
}

impl SubsetSettings {
    /// The node with this name: its zone and capacity are those of the group with the longest matching prefix.
    ///
    /// ```
    /// use micadyke_subset::settings::read;
    /// let text = r#"(subset (nodes "a-" (zone "a")) (nodes "a-7" (zone "a") (capacity 3)))"#;
    /// let settings = read(text, "n.sexp").unwrap().unwrap();
    /// let [usual, busy, other] = ["a-1", "a-7", "b"].map(|n| settings.node(n));
    /// assert_eq!((usual.zone.as_str(), usual.capacity, busy.capacity, other.zone.as_str()), ("a", 1.0, 3.0, ""));
    /// ```
    pub fn node(&self, name: &str) -> Node {
        let group = self
            .nodes
            .iter()
            .filter(|k| name.starts_with(&k.name_prefix))
            .max_by_key(|k| k.name_prefix.len());
        let (zone, capacity) = group.map_or((String::new(), 1.0), |k| (k.zone.clone(), k.capacity));
        Node { name: name.to_owned(), zone, capacity }
    }
}

/// Reads the form `subset` of a file, or returns `None` if there is none. Other forms are ignored.
///
/// # Errors
///
/// All errors with their positions.
///
/// ```
/// use micadyke_subset::settings::read;
/// assert_eq!(read("(membership)", "n3.sexp"), Ok(None));
/// let settings = read("(membership) (subset (turns (slots 4)))", "n3.sexp").unwrap().unwrap();
/// assert_eq!((settings.working, settings.turns.map(|t| t.slots)), (None, Some(4)));
/// assert!(read("(subset (turns (window 9ms)))", "n3.sexp").is_err());
/// ```
pub fn read(text: &str, file: &str) -> Result<Option<SubsetSettings>, Vec<Diagnostic>> {
    read_file(text, file, "the settings are incomplete", |nodes, faults| {
        let forms: Vec<Form> = nodes.iter().filter_map(|n| Form::of(n, faults)).collect();
        let mut ours = forms.iter().filter(|f| f.word == "subset");
        let Some(form) = ours.next() else { return Some(None) };
        if let Some(more) = ours.next() {
            more.fault("at most one form 'subset' is allowed");
        }
        form.allow(&["working", "turns"], &["nodes"]);
        let number = |f: &Form, name, least, most, or| f.get(name, Unit::Number, (least, most), Some(or));
        let working = form.part("working").map(|f| {
            f.allow(&["least", "held-by", "enough", "rate", "burst", "hold"], &[]);
            let (draw, widen) = (working::DrawSettings::default(), widen::WidenSettings::default());
            let draw = working::DrawSettings {
                min_servers: f.count("least", 1, 4096, Some(draw.min_servers as u64)) as usize,
                min_holders: f.count("held-by", 1, 4096, Some(draw.min_holders as u64)) as usize,
            };
            let widen = widen::WidenSettings {
                min_usable: f.get("enough", Unit::Share, (0.01, 1.0), Some(widen.min_usable)),
                servers_per_second: number(&f, "rate", 0.01, 1_000.0, widen.servers_per_second),
                burst: number(&f, "burst", 1.0, 1_000.0, widen.burst),
                release_delay: f.get("hold", Unit::Time, (0.0, 3_600e9), Some(widen.release_delay as f64))
                    as Nanos,
            };
            let checked = draw.check().and(widen.check());
            checked.err().into_iter().for_each(|e| f.fault(format!("{e}. {}", e.advice())));
            (draw, widen)
        });
        let turns = form.part("turns").map(|f| {
            f.allow(&["window", "slots"], &[]);
            let default = turns::TurnSettings::default();
            let settings = turns::TurnSettings {
                window: f.get("window", Unit::Time, (1e6, 60e9), Some(default.window as f64)) as Nanos,
                slots: f.count("slots", 1, 32, Some(u64::from(default.slots))) as u32,
            };
            // A slot must last until a result has reached most nodes, or all nodes act in every window.
            if settings.check().is_err() || settings.window / u64::from(settings.slots.max(1)) < MIN_SLOT {
                f.fault("turns: a slot lasts less than 100 ms, too short for a result to reach most nodes");
            }
            settings
        });
        let groups = form.parts().filter(|f| f.word == "nodes").map(|f| {
            f.allow(&["zone", "capacity"], &[]);
            let names = match f.arguments() {
                [one] => one.text().unwrap_or_default(),
                _ => "",
            };
            if names.is_empty() {
                f.fault("'nodes' takes one name prefix, before its parts");
            }
            let (zone, capacity) = (f.word_of("zone", None), number(&f, "capacity", 0.01, 100.0, 1.0));
            NodeGroup { name_prefix: names.to_owned(), zone: zone.to_owned(), capacity }
        });
        let nodes: Vec<NodeGroup> = groups.collect();
        if nodes.len() > MAX_NODE_GROUPS {
            form.fault(format!("{} parts 'nodes'; at most {MAX_NODE_GROUPS} are allowed", nodes.len()));
        }
        Some(Some(SubsetSettings { working, turns, nodes }))
    })
}

/// Minimum duration of a slot.
const MIN_SLOT: Nanos = 100_000_000;
