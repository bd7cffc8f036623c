//! Scenarios as S-expressions.

use micadyke_config::sexp::Place;
use micadyke_config::units::Unit;
use micadyke_config::{Diagnostic, Form, read_file};
use std::time::Duration;

/// A kind of trouble, with what it needs to be told.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    /// A front's process is ended and another one started after `down`.
    FrontRestart {
        /// Which front.
        front: u32,
        /// For so long there is none.
        down: Duration,
    },
    /// A front stands still; a process of its own is stopped and let go, and keeps its sockets open meanwhile.
    FrontStall {
        /// Which front.
        front: u32,
    },
    /// A front is told to stop, and another one started after `down`.
    FrontStop {
        /// Which front.
        front: u32,
        /// For so long there is none.
        down: Duration,
    },
    /// Boxes are replaced in batches: listed as draining, ended, started cold.
    RollingDeploy {
        /// Share of the boxes.
        part: f64,
        /// Boxes at a time.
        batch: u32,
        /// From the listing to the end of the process.
        drain: Duration,
        /// From there to the start of the next.
        down: Duration,
    },
    /// A box is listed as draining, for a while, and back.
    Drain {
        /// Which box.
        id: u32,
    },
    /// A box's process ends without notice and starts again, cold.
    BoxCrash {
        /// Which box.
        id: u32,
        /// For so long it is down.
        down: Duration,
    },
    /// No news of the list arrives.
    ListOut,
    /// News of the list comes so much later.
    ListBehind {
        /// So much later.
        by: Duration,
    },
    /// A rack's uplink carries this part of the usual.
    WeakUplink {
        /// Which rack.
        rack: u32,
        /// Part that is left.
        part: f64,
    },
    /// A box's link gives this part of the usual.
    WeakLink {
        /// Which box.
        id: u32,
        /// Part that is left.
        part: f64,
    },
    /// A box answers nothing and delivers nothing new.
    Freeze {
        /// Which box.
        id: u32,
    },
    /// A box takes so many times as long for set-ups.
    Slow {
        /// Which box.
        id: u32,
        /// So many times.
        factor: f64,
    },
    /// A box grows slower, and crashes at the end.
    Ageing {
        /// Which box.
        id: u32,
        /// At the end, so many times as long.
        factor: f64,
    },
    /// Answers of a box are lost.
    LoseAnswers {
        /// Which box.
        id: u32,
        /// Part of them.
        part: f64,
    },
    /// A box resets connections in place of answers.
    Resets {
        /// Which box.
        id: u32,
        /// Part of them.
        part: f64,
    },
    /// A box answers so much later.
    LateAnswers {
        /// Which box.
        id: u32,
        /// So much later.
        by: Duration,
    },
    /// All notes come later, and some not at all.
    LateNotes {
        /// So much later.
        by: Duration,
        /// Part that stays out.
        lost: f64,
    },
    /// More viewers come.
    Burst {
        /// So many times the usual.
        factor: f64,
    },
    /// More viewers come, for one title.
    Crowd {
        /// Which title, from 0, the most wanted.
        title: u32,
        /// Viewers a second, above the usual.
        rate: f64,
    },
    /// Viewers leave before their answer.
    Withdrawn {
        /// Part of them.
        part: f64,
    },
    /// Between a front and a box nothing passes, and neither end is told.
    HalfOpen {
        /// Which front.
        front: u32,
        /// Which box.
        id: u32,
    },
    /// The issuer of seats is stopped and let go: it takes what comes and answers nothing.
    IssuerStall,
    /// The issuer of seats is down, and comes back with its books or without.
    IssuerDown {
        /// Its books are lost.
        books_lost: bool,
    },
    /// Messages and answers of the issuer are lost, doubled and late.
    IssuerLossy {
        /// Part that is lost, of each; as many are doubled.
        part: f64,
        /// At most so late.
        by: Duration,
    },
    /// Another program takes part of a box's link, on and off.
    OtherProgram {
        /// Which box.
        id: u32,
        /// Rate, kB a second.
        rate: f64,
    },
}

/// A trouble and when.
#[derive(Debug, Clone, PartialEq)]
pub struct Trouble {
    /// From the start.
    pub at: Duration,
    /// For so long, where that means anything.
    pub length: Duration,
    /// What.
    pub kind: Kind,
}

/// Who comes.
#[derive(Debug, Clone, PartialEq)]
pub struct Viewers {
    /// New viewers a second.
    pub rate: f64,
    /// How long a session is wanted: at least, at most.
    pub watch: (Duration, Duration),
    /// Part of those refused or cut off that come again.
    pub returns: f64,
    /// After how long: at least, at most.
    pub return_after: (Duration, Duration),
    /// Part that can use the lower half of the ladder only.
    pub small: f64,
    /// Exponent of the titles' popularity.
    pub zipf: f64,
    /// Part of them on the route of each index (of the routes that play).
    pub mix: Vec<f64>,
}

/// What a rehearsal plays.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// The fronts' settings, relative to the scenario's file.
    pub settings: String,
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Viewers come for so long.
    pub length: Duration,
    /// Number of fronts.
    pub fronts: u32,
    /// Number of boxes, each in a cell of its own.
    pub boxes: u32,
    /// Number of titles.
    pub titles: u32,
    /// Cells in a row that hold each title.
    pub copies: u32,
    /// News of the list reaches a front's file after so long.
    pub list_lag: Duration,
    /// A set-up takes a box so long.
    pub set_up: Duration,
    /// A box ends sessions whose event stream is not open for so long.
    pub reap: Duration,
    /// Seats of each class with tokens for each title, and how long a lease holds.
    pub issuer: Option<(u32, Duration)>,
    /// Viewers.
    pub viewers: Viewers,
    /// Troubles.
    pub troubles: Vec<Trouble>,
    /// Fronts are processes of their own: killed, stopped and let go as such.
    pub processes: bool,
    /// Numbers, from 1, of the rules that it must put to the test.
    pub must_try: Vec<usize>,
}

const MINUTE: f64 = 60e9;

fn time(form: &Form, name: &str, or: Option<f64>) -> Duration {
    Duration::from_nanos(form.get(name, Unit::Time, (0.0, 10.0 * MINUTE), or) as u64)
}

fn span(form: &Form, name: &str, or: (f64, f64)) -> (Duration, Duration) {
    let Some(part) = form.part(name) else {
        return (Duration::from_nanos(or.0 as u64), Duration::from_nanos(or.1 as u64));
    };
    let one = |i: usize| {
        let text = part.arguments().get(i).and_then(|n| n.text()).unwrap_or("");
        match micadyke_config::units::quantity(text, Unit::Time) {
            Ok(v) => Duration::from_nanos(v as u64),
            Err(e) => {
                part.fault(format!("{name}: {e}"));
                Duration::ZERO
            }
        }
    };
    let (a, b) = (one(0), one(1));
    if a > b {
        part.fault(format!("{name}: the first time is longer than the second"));
    }
    (a, b)
}

/// Reads and checks a scenario.
pub fn read_scenario(text: &str, file: &str) -> Result<Scenario, Vec<Diagnostic>> {
    read_file(text, file, "no scenario", |nodes, faults| match nodes {
        [node] => Form::of(node, faults).and_then(scenario),
        _ => {
            faults.add(Place { line: 1, column: 1 }, "one form (scenario \"name\" ...) is due");
            None
        }
    })
}

fn scenario(f: Form) -> Option<Scenario> {
    if f.word != "scenario" {
        f.fault(format!("'{}' is no scenario", f.word));
        return None;
    }
    f.allow(
        &[
            "settings",
            "seed",
            "length",
            "fronts",
            "boxes",
            "titles",
            "copies",
            "list-lag",
            "set-up",
            "reap",
            "viewers",
            "issuer",
            "must-try",
            "processes",
        ],
        &["trouble"],
    );
    let name = f.arguments().first().and_then(|n| n.text()).unwrap_or("").to_owned();
    let Some(v) = f.part("viewers") else {
        f.fault("'scenario' lacks its 'viewers'");
        return None;
    };
    v.allow(&["rate", "watch", "returns", "return-after", "small", "zipf", "mix"], &[]);
    let mix = v.part("mix").map_or(vec![1.0], |m| {
        m.arguments().iter().map(|n| n.text().and_then(|t| t.parse().ok()).unwrap_or(0.0)).collect()
    });
    let viewers = Viewers {
        rate: v.get("rate", Unit::Number, (0.0, 10_000.0), None),
        watch: span(&v, "watch", (2e9, 6e9)),
        returns: v.get("returns", Unit::Share, (0.0, 1.0), Some(0.9)),
        return_after: span(&v, "return-after", (3e8, 9e8)),
        small: v.get("small", Unit::Share, (0.0, 1.0), Some(0.25)),
        zipf: v.get("zipf", Unit::Number, (0.0, 3.0), Some(0.8)),
        mix,
    };
    let (fronts, boxes) = (f.count("fronts", 1, 64, Some(3)) as u32, f.count("boxes", 1, 256, None) as u32);
    let racks = u64::from(boxes);
    let troubles =
        f.parts().filter(|p| p.word == "trouble").filter_map(|p| trouble(p, fronts, boxes, racks)).collect();
    Some(Scenario {
        name,
        settings: f.word_of("settings", None).to_owned(),
        seed: f.count("seed", 0, u64::MAX, Some(1)),
        length: time(&f, "length", None),
        fronts,
        boxes,
        titles: f.count("titles", 1, 10_000, Some(8)) as u32,
        copies: f.count("copies", 1, u64::from(boxes), Some(3.min(u64::from(boxes)))) as u32,
        list_lag: time(&f, "list-lag", Some(3e8)),
        set_up: time(&f, "set-up", Some(2e6)),
        reap: time(&f, "reap", Some(2e9)),
        issuer: f.part("issuer").map(|i| {
            i.allow(&["seats", "ttl"], &[]);
            (i.count("seats", 0, 1_000_000, None) as u32, time(&i, "ttl", None))
        }),
        viewers,
        troubles,
        processes: f.choice("processes", &["no", "yes"], Some(0)) == 1,
        must_try: f.part("must-try").map_or_else(Vec::new, |m| {
            let one = |text: Option<&str>| text.and_then(|t| t.parse().ok()).filter(|n| (1..=6).contains(n));
            let rules = m.arguments().iter().map(|n| one(n.text())).collect::<Option<Vec<usize>>>();
            rules.filter(|r| !r.is_empty()).unwrap_or_else(|| {
                m.fault("must-try: numbers of rules are due, 1 to 6");
                Vec::new()
            })
        }),
    })
}

fn trouble(f: Form, fronts: u32, boxes: u32, racks: u64) -> Option<Trouble> {
    const KINDS: [&str; 20] = [
        "front-restart",
        "front-stall",
        "front-stop",
        "rolling-deploy",
        "drain",
        "box-crash",
        "list-out",
        "list-behind",
        "weak-uplink",
        "weak-link",
        "freeze",
        "slow",
        "ageing",
        "lose-answers",
        "resets",
        "late-answers",
        "late-notes",
        "burst",
        "crowd",
        "withdrawn",
    ];
    let word = f.arguments().first().and_then(|n| n.text()).unwrap_or("");
    let front = || f.count("front", 0, u64::from(fronts) - 1, None) as u32;
    let id = || f.count("box", 1, u64::from(boxes), None) as u32;
    let part = || f.get("part", Unit::Share, (0.0, 1.0), None);
    let by = || time(&f, "by", None);
    let down = |or: f64| time(&f, "down", Some(or));
    let (own, kind): (&[&str], Kind) = match word {
        "front-restart" => (&["front", "down"], Kind::FrontRestart { front: front(), down: down(5e8) }),
        "front-stall" => (&["front"], Kind::FrontStall { front: front() }),
        "front-stop" => (&["front", "down"], Kind::FrontStop { front: front(), down: down(5e8) }),
        "rolling-deploy" => (
            &["part", "batch", "drain", "down"],
            Kind::RollingDeploy {
                part: part(),
                batch: f.count("batch", 1, u64::from(boxes), Some(1)) as u32,
                drain: time(&f, "drain", Some(1e9)),
                down: down(3e8),
            },
        ),
        "drain" => (&["box"], Kind::Drain { id: id() }),
        "box-crash" => (&["box", "down"], Kind::BoxCrash { id: id(), down: down(5e8) }),
        "list-out" => (&[], Kind::ListOut),
        "list-behind" => (&["by"], Kind::ListBehind { by: by() }),
        "weak-uplink" => (
            &["rack", "part"],
            Kind::WeakUplink { rack: f.count("rack", 0, racks - 1, None) as u32, part: part() },
        ),
        "weak-link" => (&["box", "part"], Kind::WeakLink { id: id(), part: part() }),
        "freeze" => (&["box"], Kind::Freeze { id: id() }),
        "slow" => (
            &["box", "factor"],
            Kind::Slow { id: id(), factor: f.get("factor", Unit::Number, (1.0, 1e5), None) },
        ),
        "ageing" => (
            &["box", "factor"],
            Kind::Ageing { id: id(), factor: f.get("factor", Unit::Number, (1.0, 1e5), None) },
        ),
        "lose-answers" => (&["box", "part"], Kind::LoseAnswers { id: id(), part: part() }),
        "resets" => (&["box", "part"], Kind::Resets { id: id(), part: part() }),
        "late-answers" => (&["box", "by"], Kind::LateAnswers { id: id(), by: by() }),
        "late-notes" => (
            &["by", "lost"],
            Kind::LateNotes { by: by(), lost: f.get("lost", Unit::Share, (0.0, 1.0), Some(0.0)) },
        ),
        "issuer-down" => {
            (&["books"], Kind::IssuerDown { books_lost: f.choice("books", &["kept", "lost"], Some(0)) == 1 })
        }
        "half-open" => (&["front", "box"], Kind::HalfOpen { front: front(), id: id() }),
        "issuer-stall" => (&[], Kind::IssuerStall),
        "issuer-lossy" => (&["part", "by"], Kind::IssuerLossy { part: part(), by: by() }),
        "burst" => (&["factor"], Kind::Burst { factor: f.get("factor", Unit::Number, (0.0, 100.0), None) }),
        "crowd" => (
            &["title", "rate"],
            Kind::Crowd {
                title: f.count("title", 0, 10_000, Some(0)) as u32,
                rate: f.get("rate", Unit::Number, (0.0, 10_000.0), None),
            },
        ),
        "withdrawn" => (&["part"], Kind::Withdrawn { part: part() }),
        "other-program" => (
            &["box", "rate"],
            Kind::OtherProgram { id: id(), rate: f.get("rate", Unit::Rate, (0.0, 1e9), None) },
        ),
        _ => {
            f.fault(format!(
                "'{word}' is no trouble; known: {}, other-program, half-open, issuer-down, issuer-stall, issuer-lossy",
                KINDS.join(", ")
            ));
            return None;
        }
    };
    let allowed: Vec<&str> = ["at", "length"].iter().chain(own).copied().collect();
    f.allow(&allowed, &[]);
    Some(Trouble { at: time(&f, "at", None), length: time(&f, "length", Some(1e9)), kind })
}
