//! Answers, and how much they are worth.

use crate::{Key, Nanos};
use serde::{Deserialize, Serialize};

/// Sessions of a key at a server, as a node's book had them; so it is carried as well.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The node.
    pub node: String,
    /// Its start.
    pub start: u64,
    /// The change of its book that made it so.
    pub seq: u64,
    /// The server; empty where the key is one.
    pub at: String,
    /// How many sessions.
    pub count: u32,
    /// When its node last vouched for it, at most: so long before the answer, in milliseconds. On its way: before the owner's.
    pub age_ms: u64,
}

/// Why a question was over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// Each living member's book is accounted for.
    Covered,
    /// All that were asked have answered, and some books are not accounted for.
    AllAnswered,
    /// What was missing was not worth the wait.
    NotWorth,
    /// The asker's patience was over.
    Patience,
    /// Those that had not answered were given up by the view; their books, or others', are not accounted for.
    Gone,
}

impl std::fmt::Display for Why {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Why::Covered => "each living member's book is accounted for",
            Why::AllAnswered => "all that were asked have answered",
            Why::NotWorth => "what was missing was not worth the wait",
            Why::Patience => "the asker's patience was over",
            Why::Gone => "who had not answered was given up",
        })
    }
}

/// How an answer came about.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// What was asked.
    pub key: Key,
    /// Who was asked.
    pub asked: Vec<String>,
    /// Who answered.
    pub answered: Vec<String>,
    /// Who had too much to do.
    pub busy: Vec<String>,
    /// Who was asked, or lived when it was, and was given up by the view meanwhile, or left. Who was given up may be cut off
    /// and play on: where its book is not accounted for, the answer is partial.
    pub given_up: Vec<String>,
    /// Members that lived in the asker's view when it was asked and have not left since, itself included.
    pub members: usize,
    /// Members whose books are accounted for.
    pub covered: usize,
    /// The oldest word of a member's book that counts in it, in milliseconds.
    pub oldest_ms: u64,
    /// Lines were left out: there are more than an answer holds.
    pub cut: bool,
    /// When it was asked.
    pub asked_at: Nanos,
    /// When it was to be over.
    pub deadline: Nanos,
    /// When it was over.
    pub ended_at: Nanos,
    /// Why then.
    pub ended: Why,
}

impl Why {
    /// The word for it that programs read.
    ///
    /// ```
    /// assert_eq!(micadyke_directory::Why::NotWorth.word(), "not-worth");
    /// ```
    pub fn word(self) -> &'static str {
        match self {
            Why::Covered => "covered",
            Why::AllAnswered => "all-answered",
            Why::NotWorth => "not-worth",
            Why::Patience => "patience",
            Why::Gone => "given-up",
        }
    }
}

impl Report {
    /// The part of the living members whose books are accounted for, 0 to 1.
    ///
    /// ```
    /// use micadyke_deadline::FixedDeadline;
    /// use micadyke_directory::{Directory, Input, Key, MS, Output, SECOND, Seen, Settings};
    ///
    /// let mut d = Directory::new(Settings::new("n1", 1), Box::new(FixedDeadline(50 * MS)), 0);
    /// let (up, mut out) = (Seen::Up { name: "n2".into(), start: 1, zone: String::new() }, Vec::new());
    /// d.handle(0, Input::View(up), &mut out);
    /// d.handle(SECOND, Input::Wake, &mut out);
    /// d.ask(SECOND, Key::Title("news".into()), 2 * SECOND, &mut out)?;
    /// d.handle(2 * SECOND, Input::Wake, &mut out);
    /// // n2 never answered: half of the two books are accounted for.
    /// let answer = out.iter().find_map(|o| if let Output::Answered { answer, .. } = o { Some(answer) } else { None });
    /// let report = answer.unwrap().report();
    /// assert_eq!((report.weight(), report.missing(), report.ended.word()), (0.5, vec!["n2"], "not-worth"));
    /// # Ok::<(), micadyke_directory::Error>(())
    /// ```
    pub fn weight(&self) -> f64 {
        self.covered as f64 / self.members.max(1) as f64
    }

    /// Who was asked and neither answered, nor was busy, nor was given up.
    ///
    /// ```
    /// # use micadyke_deadline::FixedDeadline;
    /// # use micadyke_directory::*;
    /// let mut d = Directory::new(Settings::new("n1", 1), Box::new(FixedDeadline(50 * MS)), 0);
    /// let (up, mut out) = (Seen::Up { name: "n2".into(), start: 1, zone: String::new() }, Vec::new());
    /// d.handle(0, Input::View(up), &mut out);
    /// d.handle(SECOND, Input::Started(&Session::new("news", "v1", "s3")), &mut out);
    /// d.ask(SECOND, Key::Title("news".into()), 2 * SECOND, &mut out)?;
    /// // n2 does not answer.
    /// d.handle(2 * SECOND, Input::Wake, &mut out);
    /// let partial = out.iter().find_map(|o| match o {
    ///     Output::Answered { answer: Answer::Partial(partial), .. } => Some(partial),
    ///     _ => None,
    /// });
    /// let partial = partial.expect("the book of n2 is not accounted for");
    /// assert_eq!(partial.report().missing(), ["n2"]);
    /// # Ok::<(), Error>(())
    /// ```
    pub fn missing(&self) -> Vec<&str> {
        let heard = [&self.answered, &self.busy, &self.given_up];
        let silent = self.asked.iter().filter(|a| !heard.iter().any(|h| h.contains(a)));
        silent.map(String::as_str).collect()
    }
}

/// An answer in which the book of each member is accounted for that lived when it was asked. Nothing but the directory makes one.
#[derive(Debug, Clone, PartialEq)]
pub struct Whole {
    entries: Vec<Entry>,
    report: Report,
}

/// An answer in which books are missing, or lines. It says at least what it says; what it does not say may be.
#[derive(Debug, Clone, PartialEq)]
pub struct Partial {
    entries: Vec<Entry>,
    report: Report,
}

/// An answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// Each living member's book is accounted for.
    Whole(Whole),
    /// Some are not.
    Partial(Partial),
}

impl Whole {
    /// Where it plays, as of the age of each.
    ///
    /// ```
    /// # use micadyke_deadline::FixedDeadline;
    /// # use micadyke_directory::*;
    /// let mut alone = Directory::new(Settings::new("n1", 1), Box::new(FixedDeadline(50 * MS)), 0);
    /// let mut out = Vec::new();
    /// alone.handle(0, Input::Started(&Session::new("news", "v1", "s3")), &mut out);
    /// alone.ask(MS, Key::Title("news".into()), SECOND, &mut out)?;
    /// let Some(Output::Answered { answer: Answer::Whole(whole), .. }) = out.pop() else { panic!("nobody else lives") };
    /// assert_eq!((whole.entries()[0].node.as_str(), whole.entries()[0].at.as_str()), ("n1", "s3"));
    /// # Ok::<(), Error>(())
    /// ```
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// How many sessions there are.
    ///
    /// ```
    /// # use micadyke_deadline::FixedDeadline;
    /// # use micadyke_directory::*;
    /// let mut alone = Directory::new(Settings::new("n1", 1), Box::new(FixedDeadline(50 * MS)), 0);
    /// let mut out = Vec::new();
    /// alone.handle(0, Input::Started(&Session::new("news", "v1", "s3")), &mut out);
    /// alone.ask(MS, Key::Title("news".into()), SECOND, &mut out)?;
    /// let Some(Output::Answered { answer: Answer::Whole(whole), .. }) = out.pop() else { panic!("nobody else lives") };
    /// assert_eq!(whole.sum(), 1);
    /// # Ok::<(), Error>(())
    /// ```
    pub fn sum(&self) -> u64 {
        sum(&self.entries)
    }

    /// How it came about.
    ///
    /// ```
    /// # use micadyke_deadline::FixedDeadline;
    /// # use micadyke_directory::*;
    /// let mut alone = Directory::new(Settings::new("n1", 1), Box::new(FixedDeadline(50 * MS)), 0);
    /// let mut out = Vec::new();
    /// alone.handle(0, Input::Started(&Session::new("news", "v1", "s3")), &mut out);
    /// alone.ask(MS, Key::Title("news".into()), SECOND, &mut out)?;
    /// let Some(Output::Answered { answer: Answer::Whole(whole), .. }) = out.pop() else { panic!("nobody else lives") };
    /// assert_eq!((whole.report().weight(), whole.report().ended), (1.0, Why::Covered));
    /// # Ok::<(), Error>(())
    /// ```
    pub fn report(&self) -> &Report {
        &self.report
    }
}

impl Partial {
    /// Where it plays at least.
    ///
    /// ```
    /// # use micadyke_deadline::FixedDeadline;
    /// # use micadyke_directory::*;
    /// let mut d = Directory::new(Settings::new("n1", 1), Box::new(FixedDeadline(50 * MS)), 0);
    /// let (up, mut out) = (Seen::Up { name: "n2".into(), start: 1, zone: String::new() }, Vec::new());
    /// d.handle(0, Input::View(up), &mut out);
    /// d.handle(SECOND, Input::Started(&Session::new("news", "v1", "s3")), &mut out);
    /// d.ask(SECOND, Key::Title("news".into()), 2 * SECOND, &mut out)?;
    /// // n2 does not answer.
    /// d.handle(2 * SECOND, Input::Wake, &mut out);
    /// let partial = out.iter().find_map(|o| match o {
    ///     Output::Answered { answer: Answer::Partial(partial), .. } => Some(partial),
    ///     _ => None,
    /// });
    /// let partial = partial.expect("the book of n2 is not accounted for");
    /// assert_eq!(partial.at_least().len(), 1);
    /// # Ok::<(), Error>(())
    /// ```
    pub fn at_least(&self) -> &[Entry] {
        &self.entries
    }

    /// How many sessions there are at least.
    ///
    /// ```
    /// # use micadyke_deadline::FixedDeadline;
    /// # use micadyke_directory::*;
    /// let mut d = Directory::new(Settings::new("n1", 1), Box::new(FixedDeadline(50 * MS)), 0);
    /// let (up, mut out) = (Seen::Up { name: "n2".into(), start: 1, zone: String::new() }, Vec::new());
    /// d.handle(0, Input::View(up), &mut out);
    /// d.handle(SECOND, Input::Started(&Session::new("news", "v1", "s3")), &mut out);
    /// d.ask(SECOND, Key::Title("news".into()), 2 * SECOND, &mut out)?;
    /// // n2 does not answer.
    /// d.handle(2 * SECOND, Input::Wake, &mut out);
    /// let partial = out.iter().find_map(|o| match o {
    ///     Output::Answered { answer: Answer::Partial(partial), .. } => Some(partial),
    ///     _ => None,
    /// });
    /// let partial = partial.expect("the book of n2 is not accounted for");
    /// assert_eq!(partial.sum_at_least(), 1);
    /// # Ok::<(), Error>(())
    /// ```
    pub fn sum_at_least(&self) -> u64 {
        sum(&self.entries)
    }

    /// How it came about.
    ///
    /// ```
    /// # use micadyke_deadline::FixedDeadline;
    /// # use micadyke_directory::*;
    /// let mut d = Directory::new(Settings::new("n1", 1), Box::new(FixedDeadline(50 * MS)), 0);
    /// let (up, mut out) = (Seen::Up { name: "n2".into(), start: 1, zone: String::new() }, Vec::new());
    /// d.handle(0, Input::View(up), &mut out);
    /// d.handle(SECOND, Input::Started(&Session::new("news", "v1", "s3")), &mut out);
    /// d.ask(SECOND, Key::Title("news".into()), 2 * SECOND, &mut out)?;
    /// // n2 does not answer.
    /// d.handle(2 * SECOND, Input::Wake, &mut out);
    /// let partial = out.iter().find_map(|o| match o {
    ///     Output::Answered { answer: Answer::Partial(partial), .. } => Some(partial),
    ///     _ => None,
    /// });
    /// let partial = partial.expect("the book of n2 is not accounted for");
    /// assert_eq!((partial.report().covered, partial.report().members), (1, 2));
    /// # Ok::<(), Error>(())
    /// ```
    pub fn report(&self) -> &Report {
        &self.report
    }
}

fn sum(entries: &[Entry]) -> u64 {
    entries.iter().map(|e| u64::from(e.count)).sum()
}

impl Answer {
    /// The one place in which an answer becomes whole, or does not.
    pub(crate) fn judge(entries: Vec<Entry>, report: Report) -> Self {
        if report.covered == report.members && !report.cut && report.members > 0 {
            Answer::Whole(Whole { entries, report })
        } else {
            Answer::Partial(Partial { entries, report })
        }
    }

    /// How it came about.
    ///
    /// ```
    /// # use micadyke_deadline::FixedDeadline;
    /// # use micadyke_directory::*;
    /// let mut alone = Directory::new(Settings::new("n1", 1), Box::new(FixedDeadline(50 * MS)), 0);
    /// let mut out = Vec::new();
    /// alone.handle(0, Input::Started(&Session::new("news", "v1", "s3")), &mut out);
    /// alone.ask(MS, Key::Title("news".into()), SECOND, &mut out)?;
    /// let Some(Output::Answered { answer: Answer::Whole(whole), .. }) = out.pop() else { panic!("nobody else lives") };
    /// let answer = Answer::Whole(whole);
    /// assert_eq!(answer.report().asked, ["n1"]);
    /// # Ok::<(), Error>(())
    /// ```
    pub fn report(&self) -> &Report {
        match self {
            Answer::Whole(whole) => whole.report(),
            Answer::Partial(partial) => partial.report(),
        }
    }
}
