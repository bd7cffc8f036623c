//! DASH manifests (ISO/IEC 23009-1): the XML is read as far as their tags; elements that are offered no more are cut
//! out, references are led elsewhere, and all between passes as it is.

use crate::reference::resolve;
use crate::{
    Fault, MAX_ATTRIBUTES, MAX_BYTES, MAX_DEPTH, MAX_LINE, MAX_PARTS, MAX_RENDITIONS, Rewritten, Rules,
    chosen, fault,
};
use std::ops::Range;

/// Media type of manifests (ISO/IEC 23009-1 annex C).
pub const MEDIA_TYPE: &str = "application/dash+xml";

/// A tag as it stands in the text.
#[derive(Debug)]
struct Tag<'a> {
    /// All of it.
    at: Range<usize>,
    /// Its name without prefix.
    name: &'a str,
    full: &'a str,
    /// Names without prefix, and places of the values within their quotes.
    attributes: Vec<(&'a str, Range<usize>)>,
    opens: bool,
    closes: bool,
}

impl Tag<'_> {
    fn get(&self, name: &str) -> Option<Range<usize>> {
        self.attributes.iter().find(|a| a.0 == name).map(|a| a.1.clone())
    }
}

fn local(name: &str) -> &str {
    name.rsplit(':').next().unwrap_or(name)
}

struct Reader<'a> {
    text: &'a str,
    at: usize,
}

impl<'a> Reader<'a> {
    fn line(&self, at: usize) -> usize {
        1 + self.text.as_bytes()[..at.min(self.text.len())].iter().filter(|b| **b == b'\n').count()
    }

    fn fail<T>(&self, at: usize, what: &'static str) -> Result<T, Fault> {
        fault(self.line(at), what)
    }

    /// Past what begins here and ends with `end`.
    fn past(&mut self, end: &str, what: &'static str) -> Result<(), Fault> {
        match self.text[self.at..].find(end) {
            Some(i) => {
                self.at += i + end.len();
                Ok(())
            }
            None => self.fail(self.at, what),
        }
    }

    /// The next tag; comments, instructions and character data are passed over.
    fn next(&mut self) -> Result<Option<Tag<'a>>, Fault> {
        loop {
            let Some(i) = self.text[self.at..].find('<') else {
                self.at = self.text.len();
                return Ok(None);
            };
            self.at += i;
            let rest = &self.text[self.at..];
            if rest.starts_with("<!--") {
                self.at += 4;
                self.past("-->", "a comment has no end")?;
            } else if rest.starts_with("<![CDATA[") {
                self.past("]]>", "character data have no end")?;
            } else if rest.starts_with("<?") {
                self.past("?>", "an instruction has no end")?;
            } else if rest.starts_with("<!") {
                return self.fail(self.at, "document types are not taken");
            } else {
                return self.tag().map(Some);
            }
        }
    }

    fn tag(&mut self) -> Result<Tag<'a>, Fault> {
        let (text, begin) = (self.text, self.at);
        let bytes = text.as_bytes();
        let closes = bytes.get(begin + 1) == Some(&b'/');
        let mut at = begin + 1 + usize::from(closes);
        let named = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':') || b >= 0x80;
        let name_end =
            |from: usize| bytes[from..].iter().position(|b| !named(*b)).map_or(bytes.len(), |i| from + i);
        let end = name_end(at);
        let full = &text[at..end];
        if full.is_empty() {
            return self.fail(begin, "a tag has no name");
        }
        at = end;
        let mut attributes: Vec<(&str, Range<usize>)> = Vec::new();
        loop {
            if at - begin > MAX_LINE {
                return self.fail(begin, "the tag is too long");
            }
            let space = bytes[at..].iter().position(|b| !b.is_ascii_whitespace()).unwrap_or(0);
            at += space;
            match bytes.get(at) {
                Some(b'>') => {
                    self.at = at + 1;
                    let name = local(full);
                    return Ok(Tag { at: begin..at + 1, name, full, attributes, opens: !closes, closes });
                }
                Some(b'/') if bytes.get(at + 1) == Some(&b'>') && !closes => {
                    self.at = at + 2;
                    let name = local(full);
                    return Ok(Tag { at: begin..at + 2, name, full, attributes, opens: true, closes: true });
                }
                Some(b) if named(*b) && space > 0 && !closes => {}
                _ => return self.fail(begin, "a tag is malformed"),
            }
            let end = name_end(at);
            let name = local(&text[at..end]);
            let equals = bytes[end..].iter().position(|b| !b.is_ascii_whitespace()).map(|i| end + i);
            let quote = equals.filter(|i| bytes[*i] == b'=').and_then(|i| {
                bytes[i + 1..].iter().position(|b| !b.is_ascii_whitespace()).map(|j| i + 1 + j)
            });
            let Some(open) = quote.filter(|i| matches!(bytes[*i], b'"' | b'\'')) else {
                return self.fail(begin, "an attribute is malformed");
            };
            let Some(close) = bytes[open + 1..].iter().position(|b| *b == bytes[open]).map(|i| open + 1 + i)
            else {
                return self.fail(begin, "an attribute has no end");
            };
            if bytes[open + 1..close].contains(&b'<') {
                return self.fail(begin, "an attribute holds a '<'");
            }
            if attributes.len() == MAX_ATTRIBUTES {
                return self.fail(begin, "the tag has too many attributes");
            }
            attributes.push((name, open + 1..close));
            at = close + 1;
        }
    }
}

/// A representation: its element's place, its rate, and whether it is video.
struct Representation {
    at: Range<usize>,
    rate: u64,
    video: bool,
}

struct Open<'a> {
    full: &'a str,
    name: &'a str,
    begin: usize,
    /// End of its opening tag.
    inside: usize,
    kind: Option<bool>,
    rate: u64,
}

/// Text as XML has it; characters that the format itself uses are escaped.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
        .replace('\'', "&apos;")
}

/// The opposite, for the five entities that every reader knows.
fn plain(text: &str) -> String {
    let text = text.replace("&lt;", "<").replace("&gt;", ">").replace("&quot;", "\"").replace("&apos;", "'");
    text.replace("&amp;", "&")
}

/// Reads a manifest and writes it anew by the rules. `base`: what references within it are resolved against from now on,
/// written as its first `BaseURL`.
pub fn rewrite(text: &str, base: &str, rules: &Rules<'_>) -> Result<Rewritten, Fault> {
    if text.len() > MAX_BYTES {
        return fault(1, "the manifest is too long");
    }
    let mut reader = Reader { text, at: 0 };
    let mut open: Vec<Open<'_>> = Vec::new();
    let mut found: Vec<Representation> = Vec::new();
    // What is put in the place of what, from the beginning on.
    let mut edits: Vec<(Range<usize>, String)> = Vec::new();
    let (mut parts, mut live, mut root, mut based) = (0, false, None, false);
    while let Some(tag) = reader.next()? {
        parts += 1;
        if parts > MAX_PARTS {
            return reader.fail(tag.at.start, "the manifest has too many elements");
        }
        if tag.opens {
            if open.is_empty() {
                if root.is_some() || tag.name != "MPD" {
                    return reader.fail(tag.at.start, "a manifest is one MPD element");
                }
                root = Some(tag.at.end);
                live = tag.get("type").is_some_and(|v| &text[v] == "dynamic");
            }
            if open.len() == MAX_DEPTH {
                return reader.fail(tag.at.start, "elements lie too deep");
            }
            let value = |name: &str| tag.get(name).map(|v| &text[v]);
            let kind = value("contentType").or(value("mimeType"));
            let kind = kind.map(|k| k == "video" || k.starts_with("video/"));
            let inherited = open.last().and_then(|o| o.kind);
            let rate = value("bandwidth").and_then(|v| v.parse().ok()).unwrap_or(0);
            if tag.name == "Representation" && rate == 0 {
                return reader.fail(tag.at.start, "a representation without its bandwidth");
            }
            // References that lead from the root are led anew; others rest on the base before them.
            let attributes: &[&str] = match tag.name {
                "SegmentTemplate" => &["media", "initialization", "index", "bitstreamSwitching"],
                "SegmentURL" => &["media", "index"],
                "Initialization" | "RepresentationIndex" | "BitstreamSwitching" => &["sourceURL"],
                _ => &[],
            };
            for at in attributes.iter().filter_map(|a| tag.get(a)) {
                let reference = plain(&text[at.clone()]);
                if reference.starts_with('/') {
                    let target = resolve(rules.own, &reference);
                    let Some(target) = target else {
                        return reader.fail(at.start, "the reference is malformed");
                    };
                    edits.push((at, escape(&(rules.lead)(&target))));
                }
            }
            if tag.attributes.iter().any(|a| a.0 == "href") {
                return reader.fail(tag.at.start, "elements that lie elsewhere are not taken");
            }
            open.push(Open {
                full: tag.full,
                name: tag.name,
                begin: tag.at.start,
                inside: tag.at.end,
                kind: kind.or(inherited),
                rate,
            });
        }
        if tag.closes {
            let Some(element) = open.pop().filter(|o| o.full == tag.full) else {
                return reader.fail(tag.at.start, "a closing tag does not fit");
            };
            if element.name == "Representation" {
                if found.len() == MAX_RENDITIONS {
                    return reader.fail(tag.at.start, "the manifest offers too many renditions");
                }
                let at = element.begin..tag.at.end;
                found.push(Representation { at, rate: element.rate, video: element.kind == Some(true) });
            }
            if matches!(element.name, "BaseURL" | "Location" | "PatchLocation") && !tag.opens {
                let at = element.inside..tag.at.start;
                let reference = plain(text[at.clone()].trim());
                let first = element.name == "BaseURL" && open.len() == 1;
                based |= first;
                let absolute = reference.starts_with('/') || reference.contains("://");
                if first || absolute || element.name != "BaseURL" {
                    let Some(target) = resolve(rules.own, &reference) else {
                        return reader.fail(at.start, "the reference is malformed");
                    };
                    edits.push((at, escape(&(rules.lead)(&target))));
                }
            }
        }
    }
    let Some(root) = root.filter(|_| open.is_empty()) else {
        return fault(reader.line(text.len()), "the manifest ends too soon");
    };
    if !based {
        edits.push((root..root, format!("<BaseURL>{}</BaseURL>", escape(base))));
    }
    // Sound is never cut: it is a small part of the rate, and a title without it is none.
    let video: Vec<u64> = found.iter().filter(|r| r.video).map(|r| r.rate).collect();
    let keep = chosen(rules, &video);
    let mut left = keep.iter();
    let kept: Vec<bool> =
        found.iter().map(|r| if r.video { left.next().copied().unwrap_or(true) } else { true }).collect();
    let cut: Vec<Range<usize>> =
        found.iter().zip(&kept).filter(|(_, k)| !**k).map(|(r, _)| r.at.clone()).collect();
    edits.retain(|(at, _)| !cut.iter().any(|c| c.start <= at.start && at.end <= c.end));
    edits.extend(cut.into_iter().map(|c| (c, String::new())));
    edits.sort_by_key(|e| e.0.start);
    let (mut out, mut at) = (String::with_capacity(text.len() + 256), 0);
    for (place, new) in edits {
        out.push_str(&text[at..place.start]);
        out.push_str(&new);
        at = place.end;
    }
    out.push_str(&text[at..]);
    Ok(Rewritten { text: out, offered: found.iter().map(|r| r.rate).collect(), kept, live })
}
