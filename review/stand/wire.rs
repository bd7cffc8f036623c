//! The platform's messages as its protocol page has them: binary ones of viewers, RTSP of servers. Only what the cases use.

use std::io::{self, Read};

pub const SETUP: u8 = 1;
pub const ANSWER: u8 = 9;
pub const RELEASE: u8 = 12;
pub const TEST: u8 = 52;
pub const TEST_RESULT: u8 = 53;

/// A binary message.
#[derive(Debug, Clone)]
pub struct Binary {
    pub kind: u8,
    pub session: u64,
    pub parameters: Vec<(u8, Vec<u8>)>,
}

impl Binary {
    pub fn new(kind: u8, session: u64) -> Self {
        Binary { kind, session, parameters: Vec::new() }
    }

    pub fn with(mut self, code: u8, value: impl Into<Vec<u8>>) -> Self {
        self.parameters.push((code, value.into()));
        self
    }

    pub fn get(&self, code: u8) -> Option<&[u8]> {
        self.parameters.iter().find(|p| p.0 == code).map(|p| p.1.as_slice())
    }

    pub fn cause(&self) -> Option<u8> {
        self.get(75).and_then(|v| v.first().copied())
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut rest = vec![self.kind];
        rest.extend_from_slice(&self.session.to_be_bytes());
        for (code, value) in &self.parameters {
            rest.push(*code);
            rest.extend_from_slice(&(value.len() as u16).to_be_bytes());
            rest.extend_from_slice(value);
        }
        let mut out = (rest.len() as u16).to_be_bytes().to_vec();
        out.extend_from_slice(&rest);
        out
    }

    /// Reads one message; an error where the stream ends or the message can't be read.
    pub fn read(from: &mut impl Read) -> io::Result<Self> {
        let broken = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_owned());
        let mut length = [0; 2];
        from.read_exact(&mut length)?;
        let mut body = vec![0; usize::from(u16::from_be_bytes(length))];
        from.read_exact(&mut body)?;
        if body.len() < 9 {
            return Err(broken("too short"));
        }
        let session = u64::from_be_bytes(body[1..9].try_into().map_err(|_| broken("no id"))?);
        let (mut parameters, mut rest) = (Vec::new(), &body[9..]);
        while !rest.is_empty() {
            if rest.len() < 3 {
                return Err(broken("a parameter is cut off"));
            }
            let size = usize::from(u16::from_be_bytes([rest[1], rest[2]]));
            let value = rest.get(3..3 + size).ok_or_else(|| broken("a parameter is too long"))?;
            parameters.push((rest[0], value.to_vec()));
            rest = &rest[3 + size..];
        }
        Ok(Binary { kind: body[0], session, parameters })
    }
}

/// The description that a viewer sends with its set-up, and the one that a server answers with.
pub fn offered(session: u64) -> String {
    format!("{session:016x}\r\nc=IN IP4 127.0.0.1\r\nm=video 31000 RTP/AVP 96\r\n")
}

pub fn given(session: u64, server: &str) -> String {
    format!("{session:016x}\r\no={server}\r\nc=IN IP4 127.0.0.1\r\nm=video 32000 RTP/AVP 96\r\n")
}

/// The cell whose servers hold a title: its first digit.
pub fn home(title: &str) -> &str {
    title.get(..1).unwrap_or("0")
}

/// A set-up of a viewer; `at`: the server where the session plays already.
pub fn set_up(session: u64, class: &str, title: &str, patience_ms: u64, at: Option<&str>) -> Binary {
    let at = at.map(|s| format!(";at:{s}")).unwrap_or_default();
    let figures = format!("home:{};copies:1;top:4;viewer:{session:016x}{at}", home(title));
    Binary::new(SETUP, session)
        .with(33, class)
        .with(36, patience_ms.to_string())
        .with(45, title)
        .with(48, figures)
        .with(63, "51000.0")
        .with(78, offered(session))
}

/// An RTSP message: first line, fields in lower case, content.
#[derive(Debug, Clone)]
#[allow(dead_code)]
pub struct Rtsp {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Rtsp {
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|f| f.0 == name).map(|f| f.1.as_str())
    }

    pub fn session(&self) -> u64 {
        self.field("session").and_then(|s| u64::from_str_radix(s, 16).ok()).unwrap_or(0)
    }

    /// Takes one message from the front of what was read; `None`: more is needed, an error: it can't be read.
    pub fn take(from: &mut Vec<u8>) -> Result<Option<Self>, String> {
        let Some(end) = from.windows(4).position(|w| w == b"\r\n\r\n") else {
            return if from.len() > 16384 { Err("a head without an end".into()) } else { Ok(None) };
        };
        let head = String::from_utf8(from[..end].to_vec()).map_err(|e| e.to_string())?;
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let field = |l: &str| l.split_once(':').map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()));
        let fields: Vec<(String, String)> = lines.filter_map(field).collect();
        let length = fields.iter().find(|f| f.0 == "content-length").and_then(|f| f.1.parse::<usize>().ok());
        let length = length.ok_or("no content length")?;
        if end + 4 + length > 16384 {
            return Err("longer than 16 KiB".into());
        }
        if from.len() < end + 4 + length {
            return Ok(None);
        }
        let body = from[end + 4..end + 4 + length].to_vec();
        from.drain(..end + 4 + length);
        Ok(Some(Rtsp { first, fields, body }))
    }
}

pub fn response(status: u16, cseq: u32, session: u64, body: &str) -> Vec<u8> {
    let reason = if status == 200 { "OK" } else { "Status" };
    let length = body.len();
    format!("RTSP/1.0 {status} {reason}\r\nCSeq: {cseq}\r\nSession: {session:016x}\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// A server's release of a session.
pub fn released(session: u64, cause: u8) -> Vec<u8> {
    format!(
        "TEARDOWN rtsp://media/{session:016x} RTSP/1.0\r\nCSeq: 2\r\nSession: {session:016x}\r\nReason: cause={cause}\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

/// A server's note of how full its link is.
pub fn note(session: u64, figure: f64) -> Vec<u8> {
    format!(
        "ANNOUNCE rtsp://media/{session:016x} RTSP/1.0\r\nCSeq: 9\r\nSession: {session:016x}\r\nX-Note: nic\r\nFigure: {figure:.4}\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}
