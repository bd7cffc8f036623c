//! The stand-ins and the course of each case: `stand CASE --root DIR --dir DIR --record FILE --run COMMAND`, TROUBLE=0 for the
//! run without the disruption. Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod case1;
mod case2;
mod case3;
mod wire;
mod world;

use std::path::PathBuf;
use std::process::exit;

/// What a case is given.
pub struct With {
    /// The checkout, where the deploy file's command is started.
    pub root: PathBuf,
    /// A folder of its own.
    pub dir: PathBuf,
    /// The deploy file's command.
    pub run: String,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// Ends the case as one that could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    exit(2)
}

fn main() {
    let all: Vec<String> = std::env::args().collect();
    let option = |name: &str| {
        let at = all.iter().position(|a| a == name);
        at.and_then(|i| all.get(i + 1)).cloned().unwrap_or_else(|| cannot_run(&format!("{name} is missing")))
    };
    let with = With {
        root: option("--root").into(),
        dir: option("--dir").into(),
        run: option("--run"),
        trouble: std::env::var("TROUBLE").map_or(true, |t| t != "0"),
    };
    let record = world::Record::new(&PathBuf::from(option("--record")));
    record.note(format!("case {}, disruption: {}", all[1], with.trouble));
    let broken = match all[1].as_str() {
        "1" => case1::run(&with, &record),
        "2" => case2::run(&with, &record),
        "3" => case3::run(&with, &record),
        _ => cannot_run("no such case"),
    };
    for what in broken.iter().take(40) {
        record.note(format!("BROKEN: {what}"));
        println!("BROKEN: {what}");
    }
    let verdict = if broken.is_empty() { "the rule held" } else { "the rule was broken" };
    record.note(format!("{verdict}: {} breaches", broken.len()));
    println!("{verdict}: {} breaches", broken.len());
    exit(if broken.is_empty() { 0 } else { 1 });
}
