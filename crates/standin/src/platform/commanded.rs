//! A media server whose words a test writes itself: it reads set-ups and books them as ever (with [`Treat::Silent`] it says
//! nothing of its own), and the test carries the bytes of each word, cut and delayed as it likes.

use super::{Due, MediaServer, Record, Seen, Treat, released};
use micadyke_rtsp::Message;

/// What a server may say about a set-up that is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Word {
    /// The session stands, and plays for so many nanoseconds.
    Answer(u64),
    /// It is refused with this status.
    Refusal(u16),
    /// It is released before any answer.
    Release,
    /// A note, which ends nothing.
    Note,
}

impl MediaServer {
    /// The set-ups that are open here, each with the connection that it came by.
    pub fn open(&self) -> Vec<(u64, u64)> {
        self.out.iter().map(|(id, conn)| (*id, *conn)).collect()
    }

    /// From now on it says nothing of its own, or serves again.
    pub fn commanded(&mut self, yes: bool, life: u64) {
        self.usual = if yes { Treat::Silent } else { Treat::Serve(life) };
    }

    /// The bytes of a word.
    pub fn worded(&self, id: u64, word: Word) -> Vec<u8> {
        match word {
            Word::Answer(_) => Message::response(200, 1).session(id).content(&self.description(id)).encode(),
            Word::Refusal(status) => Message::response(status, 1).session(id).encode(),
            Word::Release => released(id, 41),
            Word::Note => Message::request("ANNOUNCE", &format!("rtsp://media/{id:016x}"), 9)
                .session(id)
                .with("X-Note", "nic")
                .with("Figure", "0.5")
                .encode(),
        }
    }

    /// The last byte of a word is being written. False: the set-up is not open any more, and nothing is to be written.
    pub fn said(&mut self, now: u64, id: u64, word: Word, record: &mut Record) -> bool {
        let Some(&conn) = self.out.get(&id) else { return false };
        let server = self.id.clone();
        let ended = |ran| Seen::Ended { id, server: server.clone(), ran };
        let seen = match word {
            Word::Note => return true,
            Word::Answer(life) => {
                self.standing.insert(id, conn);
                self.later(now + life, Due::End(id));
                Seen::Stood { id, server, description: self.description(id) }
            }
            Word::Refusal(status) => ended(!matches!(status, 453 | 454)),
            Word::Release => ended(true),
        };
        self.out.remove(&id);
        record.push((now, seen));
        true
    }

    /// What it gives for a session.
    pub(super) fn description(&self, id: u64) -> Vec<u8> {
        let mut description = format!("{} gives {id:016x}\r\n\0", self.id).into_bytes();
        description.resize(description.len() + self.padding, b'.');
        description
    }
}
