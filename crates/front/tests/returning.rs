//! A front that comes back with more sessions than its boxes answer for at once, in made-up time.

mod bench;

use bench::{MS, SECOND, START, row};
use micadyke::interface::ServerState;
use micadyke_config::read_config;
use micadyke_front::{CallId, Front, Input, Output, StreamId};
use micadyke_http::client::CallError;
use micadyke_http::{Method, Request, Response};
use micadyke_recovery::phases::{Limits, RecoveryPhases};
use micadyke_recovery::record::{Record, Server, Session, StoredState};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

const SESSIONS: u32 = 2_000;
/// Boxes end a session that no event stream tells of after this.
const PATIENCE: u64 = 15 * SECOND;
/// Unix time of the front's start.
const UNIX: u64 = 1_800_000_000 * SECOND;

fn kept() -> StoredState {
    let boxes: Vec<_> = (1..=4).map(|id| row(id, ServerState::Ready)).collect();
    let server = |b: &micadyke_config::BoxRow| Server {
        id: b.id.to_string(),
        addr: b.address,
        ready: true,
        started_at: 0,
    };
    let mut kept = StoredState::default();
    let servers = boxes.iter().map(server).collect();
    kept.apply_record(Record::List { version: 0, offset: 0, at: UNIX - 5 * SECOND, servers });
    for n in 0..SESSIONS {
        let at = &boxes[(n % 4) as usize];
        kept.apply_record(Record::Session(Box::new(Session {
            name: u128::from(n) << 64 | 7,
            route: "/whep/".into(),
            class: "play".into(),
            title: "demo".into(),
            media: "0".into(),
            top: 2,
            rung: 1,
            server: at.id.into(),
            addr: at.address,
            resource: format!("/s/{n}"),
            etag: "\"1\"".into(),
            layer: format!("/s/{n}/layer"),
            events: format!("/s/{n}/events"),
        })));
    }
    kept
}

enum Work {
    Call(CallId, Request),
    Stream(StreamId),
}

/// Boxes that do `rate` things a second, one after the other; what is not done within its time-out is done for nobody.
/// How many sessions have their stream open again before the boxes end them, and how many calls were out at most.
fn back(rate: u64) -> (usize, usize) {
    let text =
        bench::SETTINGS.replace("(sessions 40)", "(sessions 5000)").replace("(streams 50)", "(streams 5000)");
    let config = Rc::new(read_config(&text, "s").unwrap_or_else(|e| panic!("{e:?}")));
    let mut front = Front::new(config, [7; 32], START).expect("sound settings");
    let limits = Limits { list: SECOND, view: SECOND, servers: SECOND, parts: SECOND };
    let kept = kept();
    front.comes_back(RecoveryPhases::new(limits, ("f", 1), &kept, UNIX, false, true, START), &kept, UNIX);
    let (mut queue, mut done) = (VecDeque::new(), 0);
    let (mut due, mut most) = (VecDeque::<(u64, CallId)>::new(), 0);
    let mut open = BTreeSet::<StreamId>::new();
    let rows = (1..=4).map(|id| row(id, ServerState::Ready)).collect();
    let mut inputs = VecDeque::from([Input::List { rows, epoch: UNIX - START }]);
    for now in (START..START + PATIENCE).step_by(MS as usize) {
        while front.deadline().is_some_and(|at| at <= now) {
            let mut out = Vec::new();
            front.handle(now, Input::Tick, &mut out);
            take(out, now, &mut queue, &mut due, &mut open);
        }
        while due.front().is_some_and(|d| d.0 <= now) {
            let (_, call) = due.pop_front().expect("one");
            inputs.push_back(Input::Reply { call, result: Err(CallError::Reset) });
        }
        while done * SECOND < (now - START) * rate {
            done += 1;
            match queue.pop_front() {
                // Whoever asked has given up: the work is done all the same.
                Some(Work::Call(call, _)) if !due.iter().any(|d| d.1 == call) => {}
                Some(Work::Call(call, request)) => {
                    due.retain(|d| d.1 != call);
                    let events = request.method == Method::Post && request.path().ends_with("/events");
                    let (status, at) =
                        if events { (201, format!("{}/1", request.path())) } else { (200, "/".into()) };
                    inputs.push_back(Input::Reply {
                        call,
                        result: Ok(Response::new(status).with("location", at)),
                    });
                }
                Some(Work::Stream(stream)) => {
                    open.insert(stream);
                    inputs.push_back(Input::StreamOpened { stream });
                }
                None => {}
            }
        }
        while let Some(input) = inputs.pop_front() {
            let mut out = Vec::new();
            front.handle(now, input, &mut out);
            take(out, now, &mut queue, &mut due, &mut open);
        }
        most = most.max(due.len());
    }
    (open.len(), most)
}

fn take(
    out: Vec<Output>, now: u64, queue: &mut VecDeque<Work>, due: &mut VecDeque<(u64, CallId)>,
    open: &mut BTreeSet<StreamId>,
) {
    for o in out {
        match o {
            Output::Call { call, request, timeout, .. } => {
                let at = now + timeout.map_or(SECOND, |t| t.as_nanos() as u64);
                due.push_back((at, call));
                queue.push_back(Work::Call(call, request));
            }
            Output::Listen { stream, .. } => queue.push_back(Work::Stream(stream)),
            Output::Unlisten { stream } => drop(open.remove(&stream)),
            _ => {}
        }
    }
}

#[test]
fn what_is_kept_is_back_as_fast_as_its_boxes_answer() {
    // Things that the boxes do in a second; two are due for each session, and a change of its layer.
    for rate in [450, 1_000, 20_000] {
        let (back, most) = back(rate);
        assert_eq!(back, SESSIONS as usize, "at {rate} a second, {most} calls out at most");
    }
}
