//! Standard header fields: links (RFC 8288), entity tags (RFC 9110), wait preferences (RFC 7240), load reports (ORCA).

/// One link of a `Link` field.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Link {
    /// The target as written.
    pub target: String,
    /// Parameters in order, names in lower case, values unquoted.
    pub params: Vec<(String, String)>,
}

impl Link {
    /// Creates a link with a relation type.
    pub fn new(target: impl Into<String>, rel: &str) -> Self {
        Link { target: target.into(), params: vec![("rel".into(), rel.into())] }
    }

    /// The first value of a parameter.
    pub fn param(&self, name: &str) -> Option<&str> {
        self.params.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Whether it has this relation type.
    pub fn is(&self, rel: &str) -> bool {
        self.param("rel").is_some_and(|r| r.split(' ').any(|r| r.eq_ignore_ascii_case(rel)))
    }

    /// The field's text.
    pub fn encode(&self) -> String {
        let mut out = format!("<{}>", self.target);
        for (name, value) in &self.params {
            out.push_str(&format!("; {name}=\"{}\"", value.replace('\\', "\\\\").replace('"', "\\\"")));
        }
        out
    }

    /// Parses the links of a field value, at most `limit`. Parsing stops at the first invalid link.
    pub fn parse(mut text: &str, limit: usize) -> Vec<Link> {
        let mut links = Vec::new();
        while links.len() < limit {
            text = text.trim_start_matches([' ', '\t', ',']);
            let Some((target, mut rest)) = text.strip_prefix('<').and_then(|t| t.split_once('>')) else {
                break;
            };
            let mut link = Link { target: target.into(), params: Vec::new() };
            loop {
                rest = rest.trim_start();
                let Some(after) = rest.strip_prefix(';') else { break };
                let after = after.trim_start();
                let end = after.find(['=', ';', ',']).unwrap_or(after.len());
                let name = after[..end].trim().to_ascii_lowercase();
                rest = &after[end..];
                let mut value = String::new();
                if let Some(v) = rest.strip_prefix('=') {
                    rest = v.trim_start();
                    if let Some(quoted) = rest.strip_prefix('"') {
                        let mut chars = quoted.char_indices();
                        let mut end = quoted.len();
                        while let Some((i, c)) = chars.next() {
                            match c {
                                '"' => {
                                    end = i + 1;
                                    break;
                                }
                                '\\' => value.extend(chars.next().map(|(_, c)| c)),
                                c => value.push(c),
                            }
                        }
                        rest = &quoted[end..];
                    } else {
                        let end = rest.find([';', ',']).unwrap_or(rest.len());
                        value = rest[..end].trim().into();
                        rest = &rest[end..];
                    }
                }
                if link.params.len() < 16 && !name.is_empty() {
                    link.params.push((name, value));
                }
            }
            links.push(link);
            text = rest;
        }
        links
    }
}

/// An `If-Match` field (RFC 9110 section 13.1.1).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IfMatch {
    /// Any current representation.
    Any,
    /// One of these strong tags, quotes included.
    Tags(Vec<String>),
}

impl IfMatch {
    /// Parses a field value; `None` if it is not a list of tags. Weak tags never match and are omitted.
    pub fn parse(text: &str) -> Option<Self> {
        let text = text.trim();
        if text == "*" {
            return Some(IfMatch::Any);
        }
        let mut tags = Vec::new();
        for part in text.split(',').map(str::trim).filter(|p| !p.is_empty()) {
            let (weak, tag) = part.strip_prefix("W/").map_or((false, part), |t| (true, t));
            let inner = tag.strip_prefix('"')?.strip_suffix('"')?;
            if inner.contains('"') || tags.len() >= 32 {
                return None;
            }
            if !weak {
                tags.push(tag.to_owned());
            }
        }
        Some(IfMatch::Tags(tags))
    }

    /// Whether the condition holds for the current tag.
    pub fn holds(&self, current: &str) -> bool {
        match self {
            IfMatch::Any => true,
            IfMatch::Tags(tags) => tags.iter().any(|t| t == current),
        }
    }
}

/// Seconds that a client is willing to wait, from `Prefer: wait=N` (RFC 7240 section 4.3).
pub fn prefer_wait(value: &str) -> Option<u64> {
    let wait = |p: &str| {
        let (name, value) = p.split_once('=')?;
        name.trim().eq_ignore_ascii_case("wait").then(|| value.trim().trim_matches('"').parse().ok())?
    };
    value.split([',', ';']).find_map(wait)
}

/// A load report: the `endpoint-load-metrics` field of the Open Request Cost Aggregation format, in its TEXT form
/// (`TEXT name=value, ...`). Values that are not numbers are omitted.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct LoadReport(pub Vec<(String, f64)>);

impl LoadReport {
    /// Name of the header field and of the event.
    pub const FIELD: &'static str = "endpoint-load-metrics";

    /// Parses a field value; `None` if it is not in the TEXT form.
    pub fn parse(text: &str) -> Option<Self> {
        let rest = text.trim().strip_prefix("TEXT")?;
        if !rest.starts_with([' ', '\t']) {
            return None;
        }
        let one = |p: &str| {
            let (name, value) = p.split_once('=')?;
            let value: f64 = value.trim().parse().ok()?;
            value.is_finite().then(|| (name.trim().to_owned(), value))
        };
        Some(LoadReport(rest.split(',').take(32).filter_map(one).collect()))
    }

    /// The value with this name.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.0.iter().find(|(n, _)| n == name).map(|(_, v)| *v)
    }

    /// The field's text.
    pub fn encode(&self) -> String {
        let figures: Vec<String> = self.0.iter().map(|(n, v)| format!("{n}={v}")).collect();
        format!("TEXT {}", figures.join(", "))
    }
}
