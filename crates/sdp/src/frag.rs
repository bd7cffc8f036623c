//! Fragments of a description for trickled candidates and ICE restarts (RFC 8840 section 9, RFC 9725
//! section 4.3).

use crate::offer::ice_text;
use crate::{MAX_BYTES, MAX_LINES, SyntaxError};

/// A fragment.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Fragment {
    /// ICE user name fragment.
    pub ufrag: Option<String>,
    /// ICE password.
    pub password: Option<String>,
    /// Candidates in order, with the `mid` of their section where one is named.
    pub candidates: Vec<(Option<String>, String)>,
    /// The client has no more candidates.
    pub end_of_candidates: bool,
}

impl Fragment {
    /// Reads a fragment.
    pub fn parse(text: &str) -> Result<Self, SyntaxError> {
        let bad = |line, what| Err(SyntaxError { line, what });
        if text.len() > MAX_BYTES {
            return bad(0, "the fragment is too long");
        }
        let (mut all, mut mid) = (Fragment::default(), None);
        for (i, line) in text.lines().enumerate() {
            let n = i + 1;
            if n > MAX_LINES {
                return bad(n, "too many lines");
            }
            let Some((kind, value)) = line.split_once('=') else {
                if line.is_empty() {
                    continue;
                }
                return bad(n, "a line is no type=value");
            };
            if value.bytes().any(|b| b == 0 || b == b'\r') {
                return bad(n, "a line holds a control character");
            }
            match kind {
                "m" => mid = None,
                "a" => {
                    let (name, value) = value.split_once(':').unwrap_or((value, ""));
                    match name {
                        "ice-ufrag" if ice_text(value, 4) => all.ufrag = Some(value.into()),
                        "ice-pwd" if ice_text(value, 22) => all.password = Some(value.into()),
                        "ice-ufrag" | "ice-pwd" => {
                            return bad(n, "ICE credentials of wrong length or characters");
                        }
                        "mid" if !value.is_empty() => mid = Some(value.to_owned()),
                        "candidate" if value.split(' ').count() >= 8 => {
                            all.candidates.push((mid.clone(), value.into()));
                        }
                        "candidate" => return bad(n, "a candidate has not its eight parts"),
                        "end-of-candidates" => all.end_of_candidates = true,
                        _ => {}
                    }
                }
                k if k.len() == 1 && k.as_bytes()[0].is_ascii_lowercase() => {}
                _ => return bad(n, "a line is no type=value"),
            }
        }
        if all.ufrag.is_some() != all.password.is_some() {
            return bad(1, "one of the two ICE credentials is missing");
        }
        if all.ufrag.is_none() && all.candidates.is_empty() && !all.end_of_candidates {
            return bad(1, "neither candidates nor ICE credentials");
        }
        Ok(all)
    }

    /// The fragment's text.
    pub fn encode(&self) -> String {
        let mut out = String::new();
        if let (Some(u), Some(p)) = (&self.ufrag, &self.password) {
            out.push_str(&format!("a=ice-ufrag:{u}\r\na=ice-pwd:{p}\r\n"));
        }
        let mut mid = None;
        for (m, c) in &self.candidates {
            if m != &mid {
                out.push_str("m=audio 9 UDP/TLS/RTP/SAVPF 0\r\n");
                m.iter().for_each(|m| out.push_str(&format!("a=mid:{m}\r\n")));
                mid.clone_from(m);
            }
            out.push_str(&format!("a=candidate:{c}\r\n"));
        }
        if self.end_of_candidates {
            out.push_str("a=end-of-candidates\r\n");
        }
        out
    }
}
