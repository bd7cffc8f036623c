//! Server-sent events (WHATWG HTML, section 9.2), incremental and bounded.

/// One event of a stream.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its type; empty means `message`.
    pub kind: String,
    /// Its data, lines joined by LF.
    pub data: String,
    /// The stream's last event id as it stands at this event; empty: none was given.
    pub id: String,
}

impl Event {
    /// Encodes the event.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = String::with_capacity(self.kind.len() + self.data.len() + 24);
        if !self.kind.is_empty() {
            out.push_str("event: ");
            out.push_str(self.kind.split(['\r', '\n']).next().unwrap_or(""));
            out.push('\n');
        }
        if !self.id.is_empty() {
            out.push_str("id: ");
            out.push_str(self.id.split(['\r', '\n', '\0']).next().unwrap_or(""));
            out.push('\n');
        }
        for line in self.data.split('\n') {
            out.push_str("data: ");
            out.push_str(line.trim_end_matches('\r'));
            out.push('\n');
        }
        out.push('\n');
        out.into_bytes()
    }
}

/// An event exceeds the limit of its stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLong;

/// Parses a stream of events.
#[derive(Debug)]
pub struct Parser {
    limit: usize,
    line: Vec<u8>,
    event: Event,
    has_data: bool,
    after_cr: bool,
    started: bool,
    last_id: String,
    comments: u64,
}

impl Parser {
    /// Creates a parser that accepts at most `limit` bytes per event.
    pub fn new(limit: usize) -> Self {
        let (line, event) = (Vec::new(), Event::default());
        Parser {
            limit,
            line,
            event,
            has_data: false,
            after_cr: false,
            started: false,
            last_id: String::new(),
            comments: 0,
        }
    }

    /// Parses received bytes; complete events are appended to `out`.
    pub fn feed(&mut self, bytes: &[u8], out: &mut Vec<Event>) -> Result<(), TooLong> {
        for &b in bytes {
            let lf_of_crlf = std::mem::take(&mut self.after_cr) && b == b'\n';
            if lf_of_crlf {
                continue;
            }
            if b == b'\n' || b == b'\r' {
                self.after_cr = b == b'\r';
                self.end_line(out);
                continue;
            }
            if self.line.len() + self.event.data.len() >= self.limit {
                return Err(TooLong);
            }
            self.line.push(b);
        }
        Ok(())
    }

    /// Number of comments received. Streams without events send comments to show that they are alive.
    pub fn comments(&self) -> u64 {
        self.comments
    }

    fn end_line(&mut self, out: &mut Vec<Event>) {
        let line = std::mem::take(&mut self.line);
        let mut text = String::from_utf8_lossy(&line).into_owned();
        if !std::mem::replace(&mut self.started, true)
            && let Some(rest) = text.strip_prefix('\u{feff}')
        {
            text = rest.to_owned();
        }
        if text.is_empty() {
            let event = Event { id: self.last_id.clone(), ..std::mem::take(&mut self.event) };
            if std::mem::take(&mut self.has_data) {
                out.push(event);
            }
            return;
        }
        let (field, value) = text.split_once(':').unwrap_or((&text, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => self.event.kind = value.to_owned(),
            "data" => {
                if std::mem::replace(&mut self.has_data, true) {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
            }
            "id" if !value.contains('\0') => self.last_id = value.to_owned(),
            "" => self.comments += 1,
            // `retry` is ignored: the caller decides when to reconnect.
            _ => {}
        }
    }
}
