//! DASH manifests (ISO/IEC 23009-1): `quick-xml` reads the XML as far as their tags; elements that are offered no more
//! are cut out, references are led elsewhere, and all between passes as it is.

use crate::reference::resolve;
use crate::{
    Fault, MAX_ATTRIBUTES, MAX_BYTES, MAX_DEPTH, MAX_LINE, MAX_PARTS, MAX_RENDITIONS, Rewritten, Rules,
    chosen, fault,
};
use quick_xml::errors::{IllFormedError, SyntaxError};
use quick_xml::escape::{escape, unescape};
use quick_xml::events::{BytesStart, Event};
use quick_xml::{Error, Reader};
use std::borrow::Cow;
use std::ops::Range;

/// Media type of manifests (ISO/IEC 23009-1 annex C).
pub const MEDIA_TYPE: &str = "application/dash+xml";

/// A tag as it stands in the text.
#[derive(Debug)]
struct Tag<'a> {
    /// All of it.
    at: Range<usize>,
    /// Its name without prefix; of a closing tag none.
    name: &'a str,
    /// Names, and places of the values within their quotes.
    attributes: Vec<(&'a str, Range<usize>)>,
    opens: bool,
    closes: bool,
}

impl Tag<'_> {
    /// An attribute; one with a prefix only where the element's own is not there.
    fn get(&self, name: &str) -> Option<Range<usize>> {
        let with = |of: fn(&str) -> &str| self.attributes.iter().find(|a| of(a.0) == name);
        with(|n| n).or_else(|| with(local)).map(|a| a.1.clone())
    }
}

fn local(name: &str) -> &str {
    name.rsplit(':').next().unwrap_or(name)
}

/// What `quick-xml` leaves to its caller: that names are names.
fn named(name: &str) -> bool {
    let sound = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':') || b >= 0x80;
    !name.is_empty() && name.bytes().all(sound)
}

/// Tags, and texts, entities and comments between them, at most.
const MAX_EVENTS: usize = 3 * MAX_PARTS;

struct Tags<'a> {
    text: &'a str,
    reader: Reader<&'a [u8]>,
    events: usize,
}

impl<'a> Tags<'a> {
    fn of(text: &'a str) -> Self {
        let mut reader = Reader::from_str(text);
        // A bare '&' is no XML, yet common, and passes as all does that is not read.
        reader.config_mut().allow_dangling_amp = true;
        Tags { text, reader, events: 0 }
    }

    fn line(&self, at: usize) -> usize {
        1 + self.text.as_bytes()[..at.min(self.text.len())].iter().filter(|b| **b == b'\n').count()
    }

    fn fail<T>(&self, at: usize, what: &'static str) -> Result<T, Fault> {
        fault(self.line(at), what)
    }

    /// The next tag; comments, instructions and character data are passed over.
    fn next(&mut self) -> Result<Option<Tag<'a>>, Fault> {
        loop {
            let begin = self.reader.buffer_position() as usize;
            self.events += 1;
            if self.events > MAX_EVENTS {
                return self.fail(begin, "the manifest has too many parts");
            }
            let event = self.reader.read_event();
            let at = begin..self.reader.buffer_position() as usize;
            let tag = match event {
                Ok(Event::Start(start)) => self.opening(at, &start, false)?,
                Ok(Event::Empty(start)) => self.opening(at, &start, true)?,
                Ok(Event::End(_)) => Tag { at, name: "", attributes: Vec::new(), opens: false, closes: true },
                Ok(Event::DocType(_)) => return self.fail(begin, "document types are not taken"),
                Ok(Event::Eof) => return Ok(None),
                Ok(_) => continue,
                Err(e) => return self.fail(begin, told(&e)),
            };
            if tag.at.len() > MAX_LINE {
                return self.fail(begin, "the tag is too long");
            }
            return Ok(Some(tag));
        }
    }

    fn opening(&self, at: Range<usize>, start: &BytesStart<'_>, closes: bool) -> Result<Tag<'a>, Fault> {
        let begin = at.start + 1;
        let full = &self.text[begin..begin + start.name().as_ref().len()];
        if !named(full) {
            return self.fail(at.start, "a tag has no sound name");
        }
        let mut attributes = Vec::new();
        // Its own check for doubles allocates for each tag; so few are compared faster.
        for attribute in start.attributes().with_checks(false) {
            let Ok(attribute) = attribute else {
                return self.fail(at.start, "an attribute is malformed");
            };
            // Keys and values are parts of the tag's own text.
            let place = |part: &str| {
                let from = begin + (part.as_ptr().addr() - start.as_ptr().addr());
                from..from + part.len()
            };
            let (name, value) = (place(attribute.key.as_ref()), place(&attribute.value));
            let apart = self.text.as_bytes()[name.start - 1].is_ascii_whitespace();
            if !apart || !named(&self.text[name.clone()]) {
                return self.fail(at.start, "an attribute is malformed");
            }
            if self.text[value.clone()].contains('<') {
                return self.fail(at.start, "an attribute holds a '<'");
            }
            if attributes.len() == MAX_ATTRIBUTES {
                return self.fail(at.start, "the tag has too many attributes");
            }
            let name = &self.text[name];
            if attributes.iter().any(|a: &(&str, _)| a.0 == name) {
                return self.fail(at.start, "an attribute is there twice");
            }
            attributes.push((name, value));
        }
        Ok(Tag { at, name: local(full), attributes, opens: true, closes })
    }
}

fn told(error: &Error) -> &'static str {
    match error {
        Error::IllFormed(IllFormedError::MismatchedEndTag { .. } | IllFormedError::UnmatchedEndTag(_)) => {
            "a closing tag does not fit"
        }
        Error::Syntax(SyntaxError::UnclosedComment) => "a comment has no end",
        Error::Syntax(SyntaxError::UnclosedCData) => "character data have no end",
        Error::Syntax(SyntaxError::UnclosedPI | SyntaxError::UnclosedXmlDecl) => "an instruction has no end",
        Error::Syntax(SyntaxError::UnclosedDoctype) => "document types are not taken",
        _ => "a tag is malformed",
    }
}

/// A representation: its element's place, its rate, and whether it is video.
struct Representation {
    at: Range<usize>,
    rate: u64,
    video: bool,
}

struct Open<'a> {
    name: &'a str,
    begin: usize,
    /// End of its opening tag.
    inside: usize,
    kind: Option<bool>,
    rate: u64,
}

/// The text of a reference; `None`: it holds markup, or an entity that not every reader knows.
fn plain(text: &str) -> Option<Cow<'_, str>> {
    unescape(text).ok().filter(|_| !text.contains('<'))
}

/// Reads a manifest and writes it anew by the rules. `base`: what references within it are resolved against from now on,
/// written as its first `BaseURL`.
pub fn rewrite(text: &str, base: &str, rules: &Rules<'_>) -> Result<Rewritten, Fault> {
    if text.len() > MAX_BYTES {
        return fault(1, "the manifest is too long");
    }
    let (mark, text) = text.split_at(text.len() - text.trim_start_matches('\u{feff}').len());
    let mut reader = Tags::of(text);
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
            for (_, at) in tag.attributes.iter().filter(|a| attributes.contains(&local(a.0))) {
                let Some(reference) = plain(&text[at.clone()]) else {
                    return reader.fail(at.start, "the reference is malformed");
                };
                if reference.starts_with('/') {
                    let Some(target) = resolve(rules.own, &reference) else {
                        return reader.fail(at.start, "the reference is malformed");
                    };
                    edits.push((at.clone(), escape((rules.lead)(&target)).into_owned()));
                }
            }
            if tag.attributes.iter().any(|a| local(a.0) == "href") {
                return reader.fail(tag.at.start, "elements that lie elsewhere are not taken");
            }
            open.push(Open {
                name: tag.name,
                begin: tag.at.start,
                inside: tag.at.end,
                kind: kind.or(inherited),
                rate,
            });
        }
        if tag.closes {
            let Some(element) = open.pop() else {
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
                let Some(reference) = plain(text[at.clone()].trim()) else {
                    return reader.fail(at.start, "the reference is malformed");
                };
                let first = element.name == "BaseURL" && open.len() == 1;
                based |= first;
                let absolute = reference.starts_with('/') || reference.contains("://");
                if first || absolute || element.name != "BaseURL" {
                    let Some(target) = resolve(rules.own, &reference) else {
                        return reader.fail(at.start, "the reference is malformed");
                    };
                    edits.push((at, escape((rules.lead)(&target)).into_owned()));
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
    let (mut out, mut at) = (String::with_capacity(mark.len() + text.len() + 256), 0);
    out.push_str(mark);
    for (place, new) in edits {
        out.push_str(&text[at..place.start]);
        out.push_str(&new);
        at = place.end;
    }
    out.push_str(&text[at..]);
    Ok(Rewritten { text: out, offered: found.iter().map(|r| r.rate).collect(), kept, live })
}
