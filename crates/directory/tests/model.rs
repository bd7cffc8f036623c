//! The argument for whole answers, model-checked at small size: an asker, an owner that answers, a member whose session is
//! asked for. Words are lost, doubled and late in any order; views give members up, wrongly too, and take them back; a
//! member leaves once its work is over. The points of `docs/design/directory.md` that a rule stands for are named beside it.

use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// Ticks that are played.
const TICKS: u8 = 3;
/// A word of a member's book counts for so many ticks.
const BOUND: u8 = 1;
/// Beats under way at a time. Each may come twice, and as late as the play lasts.
const UNDER_WAY: usize = 1;

/// What is taken out of the rules, to see the check fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    /// A beat accounts for a book whatever its digest (point 1).
    Digest,
    /// A beat is as old as its arrival, not as the time that it tells back (point 2).
    Echo,
    /// Books are counted though asker and owner see different members (point 5).
    SameView,
    /// Who is given up while the question is out is no part of the whole (point 5).
    GivenUp,
}

/// A beat of the member: whether its book held the session, and the owner's time that it had heard.
type Beat = (bool, Option<u8>);

/// A question that is out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Question {
    at: u8,
    /// The asker saw the member when it asked.
    member_seen: bool,
    /// Given up by the asker since.
    owner_given_up: bool,
    member_given_up: bool,
    member_left: bool,
}

/// What the owner found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Found {
    same_view: bool,
    member_covered: bool,
    session: bool,
}

/// The answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Answer {
    question: Question,
    whole: bool,
    session: bool,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Fleet {
    time: u8,
    /// When the member's session started.
    session: Option<u8>,
    left: bool,
    /// The line of the session is on its way to the owner.
    line: bool,
    /// The owner's copy of the member's book holds it.
    copy: bool,
    /// Since when the member's book is accounted for at the owner.
    covered: Option<u8>,
    /// The last of the owner's times that the member heard.
    heard: Option<u8>,
    beats: BTreeSet<Beat>,
    asker_lost_owner: bool,
    asker_lost_member: bool,
    owner_lost_member: bool,
    question: Option<Question>,
    found: Option<Found>,
    answer: Option<Answer>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Action {
    Tick,
    Start,
    Leave,
    SendLine,
    LineArrives,
    LineIsLost,
    /// A beat of the owner that was sent at this time.
    OwnersBeatArrives(u8),
    MemberBeats,
    /// It stays under way: a copy may come later.
    BeatArrives(Beat),
    BeatIsLost(Beat),
    AskerLosesOwner,
    AskerLosesMember,
    AskerSeesMember,
    OwnerLosesMember,
    OwnerSeesMember,
    Ask,
    OwnerAnswers,
    AnswerArrives,
    /// The asker waits no longer.
    WaitEnds,
}

struct Rules(Without);

impl Rules {
    fn has(&self, rule: Without) -> bool {
        self.0 != rule
    }

    fn beat_arrives(&self, fleet: &mut Fleet, (held, echo): Beat) {
        if fleet.owner_lost_member || (held != fleet.copy && self.has(Without::Digest)) {
            return;
        }
        let since = if self.has(Without::Echo) { echo } else { Some(fleet.time) };
        fleet.covered = fleet.covered.max(since);
    }

    fn owner_answers(&self, fleet: &Fleet, question: &Question) -> Found {
        let covered = fleet.covered.is_some_and(|since| fleet.time <= since + BOUND);
        // The view travels with the question as its digest. Bits in the order of another view's names mean anything.
        let same_view = question.member_seen != fleet.owner_lost_member;
        let misread = !same_view && !self.has(Without::SameView);
        Found { same_view, member_covered: covered || misread, session: fleet.copy }
    }

    fn judge(&self, question: Question, found: Option<Found>) -> Answer {
        let answered = found.is_some_and(|found| found.same_view || !self.has(Without::SameView));
        let excused = |given_up: bool| given_up && !self.has(Without::GivenUp);
        let owner = answered || excused(question.owner_given_up);
        let member_covered = answered && found.is_some_and(|found| found.member_covered);
        let due = question.member_seen && !question.member_left;
        let member = !due || member_covered || excused(question.member_given_up);
        let session = member_covered && found.is_some_and(|found| found.session);
        Answer { question, whole: owner && member, session }
    }
}

impl Model for Rules {
    type State = Fleet;
    type Action = Action;

    fn init_states(&self) -> Vec<Fleet> {
        vec![Fleet::default()]
    }

    fn actions(&self, fleet: &Fleet, actions: &mut Vec<Action>) {
        let mut may = |possible: bool, action: Action| actions.extend(possible.then_some(action));
        let asked = fleet.question.is_some();
        may(fleet.time < TICKS, Action::Tick);
        may(fleet.session.is_none() && !fleet.left, Action::Start);
        may(fleet.session.is_none() && !fleet.left, Action::Leave);
        may(fleet.session.is_some() && !fleet.line, Action::SendLine);
        may(fleet.line, Action::LineArrives);
        may(fleet.line, Action::LineIsLost);
        may(fleet.beats.len() < UNDER_WAY && !fleet.left, Action::MemberBeats);
        (0..=fleet.time).for_each(|sent_at| may(!fleet.left, Action::OwnersBeatArrives(sent_at)));
        for beat in &fleet.beats {
            may(true, Action::BeatArrives(*beat));
            may(true, Action::BeatIsLost(*beat));
        }
        may(!fleet.asker_lost_owner, Action::AskerLosesOwner);
        may(!fleet.asker_lost_member, Action::AskerLosesMember);
        may(fleet.asker_lost_member && !asked, Action::AskerSeesMember);
        may(!fleet.owner_lost_member, Action::OwnerLosesMember);
        may(fleet.owner_lost_member, Action::OwnerSeesMember);
        may(!asked && fleet.answer.is_none() && !fleet.asker_lost_owner, Action::Ask);
        may(asked && fleet.found.is_none(), Action::OwnerAnswers);
        may(asked && fleet.found.is_some(), Action::AnswerArrives);
        may(asked, Action::WaitEnds);
    }

    fn next_state(&self, last: &Fleet, action: Action) -> Option<Fleet> {
        let mut fleet = last.clone();
        match action {
            Action::Tick => fleet.time += 1,
            Action::Start => fleet.session = Some(fleet.time),
            Action::Leave => {
                fleet.left = true;
                fleet.question.iter_mut().for_each(|question| question.member_left = true);
            }
            Action::SendLine => fleet.line = true,
            Action::LineArrives => {
                fleet.line = false;
                fleet.copy |= !fleet.owner_lost_member;
            }
            Action::LineIsLost => fleet.line = false,
            Action::OwnersBeatArrives(sent_at) => fleet.heard = fleet.heard.max(Some(sent_at)),
            Action::MemberBeats => drop(fleet.beats.insert((fleet.session.is_some(), fleet.heard))),
            Action::BeatArrives(beat) => self.beat_arrives(&mut fleet, beat),
            Action::BeatIsLost(beat) => drop(fleet.beats.remove(&beat)),
            Action::AskerLosesOwner => {
                fleet.asker_lost_owner = true;
                fleet.question.iter_mut().for_each(|question| question.owner_given_up = true);
            }
            Action::AskerLosesMember => {
                fleet.asker_lost_member = true;
                fleet.question.iter_mut().for_each(|question| question.member_given_up = true);
            }
            Action::AskerSeesMember => fleet.asker_lost_member = false,
            Action::OwnerLosesMember => {
                fleet.owner_lost_member = true;
                // What a start has told goes with it (point 4).
                (fleet.copy, fleet.covered) = (false, None);
            }
            Action::OwnerSeesMember => fleet.owner_lost_member = false,
            Action::Ask => {
                fleet.question = Some(Question {
                    at: fleet.time,
                    member_seen: !fleet.asker_lost_member && !fleet.left,
                    owner_given_up: false,
                    member_given_up: false,
                    member_left: false,
                });
            }
            Action::OwnerAnswers => {
                fleet.found = last.question.as_ref().map(|question| self.owner_answers(last, question));
            }
            Action::AnswerArrives | Action::WaitEnds => {
                let found = fleet.found.take().filter(|_| action == Action::AnswerArrives);
                let question = fleet.question.take()?;
                fleet.answer = Some(self.judge(question, found));
            }
        }
        (fleet != *last).then_some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NOTHING_MISSING, |_, fleet: &Fleet| {
                fleet.answer.is_none_or(|answer| {
                    let question = answer.question;
                    let stood = fleet.session.is_some_and(|since| since + BOUND < question.at);
                    let owed = stood && question.member_seen && !question.member_left;
                    !answer.whole || !owed || answer.session
                })
            }),
            Property::sometimes("a whole answer tells the session", |_, fleet: &Fleet| {
                fleet.answer.is_some_and(|answer| answer.whole && answer.session)
            }),
            Property::sometimes("an answer is whole without one who left", |_, fleet: &Fleet| {
                fleet.answer.is_some_and(|answer| answer.whole && answer.question.member_left)
            }),
        ]
    }
}

const NOTHING_MISSING: &str = "a whole answer lacks nothing older than the bound";

#[test]
fn a_whole_answer_lacks_nothing_older_than_the_bound() {
    let checker = Rules(Without::Nothing).checker().threads(2).spawn_bfs().join();
    eprintln!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn with_a_rule_out_a_whole_answer_lacks_what_it_owes() {
    for without in [Without::Digest, Without::Echo, Without::SameView, Without::GivenUp] {
        let checker = Rules(without).checker().threads(2).target_state_count(5_000_000).spawn_bfs().join();
        eprintln!("{without:?}: {} states", checker.unique_state_count());
        assert!(checker.discovery(NOTHING_MISSING).is_some(), "{without:?}");
    }
}
