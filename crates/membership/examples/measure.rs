//! What the view costs and how soon it knows, in virtual time: `cargo run --release -p micadyke-membership --example measure
//! -- 60 300 2400`. No part of CI.

use micadyke_membership::{Change, MS, SECOND};
use micadyke_standin::members::*;

fn seconds(nanos: u64) -> f64 {
    nanos as f64 / SECOND as f64
}

/// When each living member took the first of `gone` for down: the median over members, and the worst.
fn detection(w: &World, from: u64, gone: &str) -> (f64, f64) {
    let mut at: Vec<f64> = w
        .told
        .iter()
        .filter(|t| matches!(&t.2, Change::Down(m) if m.name == gone))
        .map(|t| seconds(t.0 - from))
        .collect();
    at.sort_by(f64::total_cmp);
    (at.get(at.len() / 2).copied().unwrap_or(f64::NAN), at.last().copied().unwrap_or(f64::NAN))
}

fn main() {
    println!(
        "members | join s | one killed: median, worst, settled s | 7 in 10 killed: settled s | back: settled s | cut 6 s: settled s | bytes/s a member | false downs an hour a member at 0, 5, 20% loss, and with one in ten slow"
    );
    for n in std::env::args().skip(1).filter_map(|a| a.parse::<usize>().ok()) {
        let mut w = World::new(n as u64, n);
        for i in 0..n {
            w.start(i);
            w.run(SECOND / n as u64);
        }
        let join = w.until_settled(300);
        w.run(10 * SECOND);
        w.bytes.clear();
        w.run(20 * SECOND);
        let bytes = w.bytes.values().sum::<u64>() as f64 / n as f64 / 20.0;
        let gone = n / 2;
        w.told.clear();
        let from = w.now;
        w.kill(gone);
        let one = w.until_settled(300);
        let (median, worst) = detection(&w, from, &name(gone));
        (0..n).filter(|i| i % 10 < 7 && *i != gone).for_each(|i| w.kill(i));
        let many = w.until_settled(300);
        (0..n).filter(|i| i % 10 < 7 || *i == gone).for_each(|i| w.start(i));
        let back = w.until_settled(300);
        w.partition(|i| i % 3);
        w.run(6 * SECOND);
        w.partition(|_| 0);
        let healed = w.until_settled(300);
        let mut wrong = Vec::new();
        for (loss, slow) in [(0.0, false), (0.05, false), (0.2, false), (0.0, true)] {
            w.told.clear();
            w.loss = loss;
            let span = 60;
            for second in 0..span {
                // A slow member has no turn for 0.9 of each second.
                let slowed: Vec<usize> = (0..n).filter(|i| slow && i % 10 == second % 10).collect();
                slowed.iter().for_each(|i| w.stop(*i));
                w.run(900 * MS);
                slowed.iter().for_each(|i| w.go_on(*i));
                w.run(100 * MS);
            }
            w.loss = 0.0;
            wrong.push(format!("{:.1}", w.given_up().len() as f64 / n as f64 * 3600.0 / span as f64));
            w.until_settled(300);
        }
        println!(
            "{n} | {:.1} | {median:.1}, {worst:.1}, {:.1} | {:.1} | {:.1} | {:.1} | {bytes:.0} | {}",
            seconds(join),
            seconds(one),
            seconds(many),
            seconds(back),
            seconds(healed),
            wrong.join(", ")
        );
    }
}
