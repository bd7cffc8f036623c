//! Players over HTTP: a manifest by the front, then lists and segments, hints of what goes on, and an end that is told.

use crate::record::Record;
use crate::viewer::{Client, Miss, Outcome, Session, Wish};
use micadyke_cmcd::client::{Cmcd, REPORT};
use micadyke_cmcd::server::Cmsd;
use micadyke_http::{Method, Request, Response};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// What a player tells of itself when it asks for its first manifest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Teller {
    /// Its id for the play.
    pub sid: String,
    /// The most that it can use, kbit/s.
    pub most: Option<u64>,
}

/// A request with its hints.
pub fn get(path: &str, told: &Cmcd, bearer: Option<&str>) -> Request {
    let request = Request::new(Method::Get, path);
    let request = told.fields().into_iter().fold(request, |r, (name, value)| r.with(name, value));
    bearer.iter().fold(request, |r, b| r.with("authorization", format!("Bearer {b}")))
}

/// Asks a front for a title; the path is that of its first manifest. The session that comes back has the play's
/// resource as its location and the manifest as its answer.
pub async fn ask(
    front: u32, addr: SocketAddr, wish: &Wish, who: &Teller, record: &Rc<Record>,
) -> (Outcome, Option<Client>) {
    let until = Instant::now() + wish.patience;
    let mut client = match Client::open(front, addr, record, until).await {
        Ok(client) => client,
        Err(miss) => return (Outcome::Missed(miss), None),
    };
    let mut told = Cmcd::new().with("v", 2).with_text("sid", &who.sid).with_text("ot", "m").with_flag("su");
    if let Some(most) = who.most {
        told = told.with("tb", most);
    }
    let outcome = match client.call(&get(&wish.path, &told, wish.bearer.as_deref()), until).await {
        Err(miss) => Outcome::Missed(miss),
        Ok(r) => outcome(&r),
    };
    (outcome, Some(client))
}

/// What an answer to a request for a manifest means.
pub fn outcome(r: &Response) -> Outcome {
    let text = String::from_utf8_lossy(&r.body).into_owned();
    match r.status {
        200 => match resource(&text) {
            Some(location) => Outcome::Plays(Session { location, etag: None, answer: text }),
            None => Outcome::Missed(Miss::Malformed),
        },
        503 => {
            let wait = r.headers.get("retry-after").and_then(|v| v.parse().ok());
            Outcome::Refused(wait.map(Duration::from_secs))
        }
        status => Outcome::Failed(status),
    }
}

/// The play's resource at the front, which its references carry.
fn resource(text: &str) -> Option<String> {
    let at = text.find("/session/")?;
    Some(text.get(at..at + 41)?.to_owned())
}

/// The renditions that a manifest offers: kbit/s and folder, best last.
pub fn renditions(manifest: &str) -> Vec<(u64, String)> {
    let number =
        |text: &str| text.chars().take_while(char::is_ascii_digit).collect::<String>().parse().unwrap_or(0);
    let mut all = Vec::new();
    if manifest.contains("<MPD") {
        for part in manifest.split("<Representation ").skip(1) {
            let value = |name: &str| part.split_once(name).map(|p| p.1);
            if let (Some(id), Some(rate)) = (value("id=\""), value("bandwidth=\"")) {
                let id = id.split('"').next().unwrap_or_default();
                all.push((number(rate) / 1_000, id.to_owned()));
            }
        }
    } else {
        let mut rate = 0;
        for line in manifest.lines() {
            if let Some((_, r)) = line.split_once("#EXT-X-STREAM-INF:BANDWIDTH=") {
                rate = number(r);
            } else if !line.starts_with('#') && rate > 0 {
                let folder = line.rsplit('/').nth(1).unwrap_or_default();
                all.push((rate / 1_000, folder.to_owned()));
                rate = 0;
            }
        }
    }
    all.sort();
    all
}

/// A player that plays.
pub struct Player {
    front: u32,
    addr: SocketAddr,
    record: Rc<Record>,
    bearer: Option<String>,
    sid: String,
    base: String,
    renditions: Vec<(u64, String)>,
    /// What the front said that it should ask for at most, kbit/s.
    most: Option<u64>,
    next: u64,
    client: Option<Client>,
    /// Connection to the box that it was last led to.
    at_box: Option<(String, Client)>,
}

impl Player {
    /// A player with the manifest that it has got.
    pub fn new(
        (front, addr): (u32, SocketAddr), session: &Session, who: &Teller, bearer: Option<String>,
        record: &Rc<Record>,
    ) -> Self {
        Player {
            front,
            addr,
            record: record.clone(),
            bearer,
            sid: who.sid.clone(),
            base: session.location.clone(),
            renditions: renditions(&session.answer),
            most: who.most,
            next: 1,
            client: None,
            at_box: None,
        }
    }

    /// Asks its front, on the connection at hand or a new one.
    async fn call(&mut self, request: &Request, until: Instant) -> Result<Response, Miss> {
        let mut client = match self.client.take() {
            Some(client) => client,
            None => Client::open(self.front, self.addr, &self.record, until).await?,
        };
        let answer = client.call(request, until).await?;
        if answer.keep_alive {
            self.client = Some(client);
        }
        Ok(answer)
    }

    /// Gets the next segment, by its front and from its box; the rung's folder, or what stood in the way.
    pub async fn segment(&mut self, patience: Duration) -> Result<String, Miss> {
        let until = Instant::now() + patience;
        let fits = |r: &&(u64, String)| self.most.is_none_or(|m| r.0 <= m.saturating_add(m / 10));
        let chosen = self.renditions.iter().rev().find(fits).or(self.renditions.first()).cloned();
        let (rate, folder) = chosen.ok_or(Miss::Malformed)?;
        let told = Cmcd::new()
            .with("v", 2)
            .with("br", rate)
            .with("bl", 2_000)
            .with("mtp", 50_000)
            .with_text("ot", "v")
            .with_text("sid", &self.sid);
        let path = format!("{}/{folder}/{}.m4s", self.base, self.next);
        let lead = self.call(&get(&path, &told, self.bearer.as_deref()), until).await?;
        self.most = Cmsd::of(&lead.headers).max_bitrate().or(self.most);
        if lead.status != 307 {
            return Err(Miss::Malformed);
        }
        let to =
            lead.headers.get("location").and_then(|l| l.strip_prefix("http://")).ok_or(Miss::Malformed)?;
        let (host, path) = to.split_once('/').ok_or(Miss::Malformed)?;
        let mut client = match self.at_box.take().filter(|c| c.0 == host) {
            Some((_, client)) => client,
            None => {
                let addr = host.parse().map_err(|_| Miss::Malformed)?;
                // What passes there is on the box's record.
                Client::open(self.front, addr, &Record::off(), until).await?
            }
        };
        let media = client.call(&get(&format!("/{path}"), &told, None), until).await?;
        if media.status != 200 {
            return Err(Miss::Malformed);
        }
        self.at_box = Some((host.to_owned(), client));
        self.next += 1;
        Ok(folder)
    }

    /// Tells its front that it has ended.
    pub async fn end(mut self) -> Option<u16> {
        let until = Instant::now() + Duration::from_secs(2);
        let report =
            Cmcd::new().with("v", 2).with_text("e", "ps").with_text("sta", "e").with_text("sid", &self.sid);
        let request = Request::new(Method::Post, &*self.base).content(REPORT, report.encode());
        let bearer = self.bearer.clone();
        let request = bearer.iter().fold(request, |r, b| r.with("authorization", format!("Bearer {b}")));
        self.call(&request, until).await.ok().map(|r| r.status)
    }
}
