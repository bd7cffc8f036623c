//! A front that keeps its book of sessions is killed while they play, and started again: which of them are back before
//! their boxes end them, when each was, and what the front did meanwhile.

use crate::load::{end_all, hold};
use crate::{SETTINGS, front_child, write_list};
use micadyke_config::read_config;
use micadyke_standin::media_box::{Fleet, Habits};
use micadyke_standin::model::World;
use micadyke_standin::record::Record;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};
use tokio::task::LocalSet;

type Failure = Box<dyn std::error::Error>;

/// From one look at the boxes to the next.
const LOOK: Duration = Duration::from_millis(20);
/// Viewers at a time.
const VIEWERS: usize = 16;

/// What the boxes hold at a time.
#[derive(Debug, Clone, Copy)]
struct Look {
    at: Instant,
    /// Sessions.
    held: usize,
    /// Those of them whose event stream is open.
    open: usize,
}

/// A front's process; a measurement that fails leaves none behind.
struct Process(std::process::Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait());
    }
}

/// Boxes on a thread of their own, looked at all the time.
struct Boxes {
    addrs: Vec<SocketAddr>,
    looks: Arc<Mutex<Vec<Look>>>,
    over: Arc<AtomicBool>,
}

impl Boxes {
    fn start(boxes: u32, patience: Duration) -> Result<Self, Failure> {
        let (tell, told) = mpsc::channel();
        let (looks, over) = (Arc::<Mutex<Vec<Look>>>::default(), Arc::<AtomicBool>::default());
        let (seen, ends) = (looks.clone(), over.clone());
        std::thread::Builder::new().name("boxes".into()).spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            LocalSet::new().block_on(&runtime.expect("a runtime"), async move {
                let config = read_config(SETTINGS, "settings").unwrap_or_else(|e| panic!("{e:?}"));
                let mut rows = crate::rows(&vec![crate::peers::ANYWHERE; boxes as usize]);
                let world = World::of(&config, &rows, patience.as_nanos() as u64);
                let fleet = Fleet::new(world, Habits::default(), Record::off(), 5);
                fleet.open_all(&mut rows).await.expect("boxes");
                let _ = tell.send(rows.iter().map(|r| r.address).collect());
                let mut look = tokio::time::interval(LOOK);
                while !ends.load(Ordering::Relaxed) {
                    look.tick().await;
                    let (held, open) = fleet.world(|w| {
                        let all = || w.boxes.values().flat_map(|b| b.held.values());
                        (all().count(), all().filter(|h| h.streams > 0).count())
                    });
                    if let Ok(mut seen) = seen.lock() {
                        seen.push(Look { at: Instant::now(), held, open });
                    }
                }
            });
        })?;
        Ok(Boxes { addrs: told.recv()?, looks, over })
    }

    fn last(&self) -> Option<Look> {
        self.looks.lock().ok()?.last().copied()
    }

    /// Waits, for `most` at the longest, until the boxes hold this.
    fn until(&self, most: Duration, what: impl Fn(Look) -> bool) -> bool {
        let until = Instant::now() + most;
        while Instant::now() < until {
            if self.last().is_some_and(&what) {
                return true;
            }
            std::thread::sleep(LOOK);
        }
        false
    }
}

/// What came back, beside what played.
pub fn measure(dir: &Path, sessions: usize, boxes: u32, patience: Duration) -> Result<(), Failure> {
    let there = Boxes::start(boxes, patience)?;
    write_list(dir, &crate::rows(&there.addrs))?;
    let store = dir.join("front.store");
    let (front, addr) = front_child(dir, "127.0.0.1:0".parse()?, Some(&store))?;
    let mut front = Process(front);
    let serving = Instant::now();
    while hold(addr, 1).is_err() {
        if serving.elapsed() > Duration::from_secs(30) {
            return Err("it never serves".into());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    // One of them is the session that told that it serves.
    let sessions = sessions + 1;
    let began = Instant::now();
    let share = move |v: usize| (sessions - 1) / VIEWERS + usize::from(v < (sessions - 1) % VIEWERS);
    let viewers = |v: usize| std::thread::spawn(move || hold(addr, share(v)).map_err(|e| e.to_string()));
    let viewers: Vec<_> = (0..VIEWERS).map(viewers).collect();
    let mut all = Vec::new();
    for v in viewers {
        all.extend(v.join().map_err(|_| "a viewer broke down")??);
    }
    println!("{} sessions set up in {:.1} s", all.len(), began.elapsed().as_secs_f64());
    if !there.until(Duration::from_secs(60), |l| (l.held, l.open) == (sessions, sessions)) {
        return Err(format!("not all of them play: {:?}", there.last()).into());
    }
    // What the disk takes from one sync to the next may be lost.
    std::thread::sleep(Duration::from_millis(500));
    front.0.kill()?;
    front.0.wait()?;
    let killed = Instant::now();
    let ms = |at: Instant| at.duration_since(killed).as_millis();
    front.0 = front_child(dir, addr, Some(&store))?.0;
    println!("listens {} ms after the kill", ms(Instant::now()));
    let mut serves = None;
    while serves.is_none() && killed.elapsed() < Duration::from_secs(60) {
        serves = hold(addr, 1).ok().map(|_| Instant::now());
        std::thread::sleep(Duration::from_millis(2));
    }
    println!("serves {} ms after the kill", ms(serves.ok_or("it never serves")?));
    there.until(patience + Duration::from_secs(5), |l| l.open > sessions);
    // One more tells that it serves again.
    let back = there.last().map_or(0, |l| l.open).saturating_sub(1);
    let looks = there.looks.lock().map_or_else(|_| Vec::new(), |l| l.clone());
    let after: Vec<Look> = looks.into_iter().filter(|l| l.at >= killed).collect();
    let most = after.iter().map(|l| l.open).max().unwrap_or(0);
    let last = after.iter().find(|l| l.open == most).map_or(killed, |l| l.at);
    println!("ms after the kill: sessions at boxes, event streams open");
    let (mut told, mut next) = (None, 0);
    for l in &after {
        if ms(l.at) >= next && told != Some((l.held, l.open)) {
            println!("  {:>6} {:>6} {:>6}", ms(l.at), l.held, l.open);
            (told, next) = (Some((l.held, l.open)), ms(l.at) + 200);
        }
    }
    let ended = end_all(addr, &all)?;
    // Those two sessions have no viewer that ends them.
    there.until(Duration::from_secs(5), |l| l.held <= 2);
    let left = there.last().map_or(0, |l| l.held).saturating_sub(2);
    println!(
        "{sessions} played, {back} back, the last {} ms after the kill; {ended} ended by their viewers, {left} left",
        ms(last)
    );
    there.over.store(true, Ordering::Relaxed);
    match (back, left) {
        (back, 0) if back == sessions => Ok(()),
        _ => Err("not all came back".into()),
    }
}
