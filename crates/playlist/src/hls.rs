//! HLS playlists (RFC 8216, and the tags of its successor draft that carry references). By hand: what reads them in the
//! registry builds a model and writes that, without the lines that it does not know (docs/design/dependencies.md).

use crate::reference::{Target, resolve};
use crate::{
    Fault, MAX_ATTRIBUTES, MAX_BYTES, MAX_LINE, MAX_PARTS, MAX_RENDITIONS, Rewritten, Rules, chosen, fault,
};
use std::ops::Range;

/// Media type of playlists (RFC 8216 section 4).
pub const MEDIA_TYPE: &str = "application/vnd.apple.mpegurl";

/// Whether a media type is one of those that playlists go by.
pub fn is_playlist(media_type: &str) -> bool {
    let known = [MEDIA_TYPE, "audio/mpegurl", "application/x-mpegurl", "audio/x-mpegurl"];
    known.contains(&media_type.to_ascii_lowercase().as_str())
}

/// Tags with a `URI` attribute, and whether that leads to another playlist.
const REFERRING: [(&str, bool); 9] = [
    ("EXT-X-MEDIA", true),
    ("EXT-X-I-FRAME-STREAM-INF", true),
    ("EXT-X-RENDITION-REPORT", true),
    ("EXT-X-KEY", false),
    ("EXT-X-SESSION-KEY", false),
    ("EXT-X-SESSION-DATA", false),
    ("EXT-X-MAP", false),
    ("EXT-X-PART", false),
    ("EXT-X-PRELOAD-HINT", false),
];
const VARIANT: &str = "EXT-X-STREAM-INF";
const I_FRAMES: &str = "EXT-X-I-FRAME-STREAM-INF";

/// A name with the place of its value in the line; a quoted value's place is within the quotes.
type Attribute<'a> = (&'a str, Range<usize>);

/// The attributes of a tag (RFC 8216 section 4.2); `from`: where they begin in the line.
fn attributes(line: &str, from: usize) -> Result<Vec<Attribute<'_>>, &'static str> {
    let (mut all, mut at) = (Vec::new(), from);
    while at < line.len() {
        let equals = line[at..].find('=').map(|i| at + i).ok_or("an attribute without a value")?;
        let name = line[at..equals].trim();
        let sound = |b: u8| b.is_ascii_uppercase() || b.is_ascii_digit() || b == b'-';
        if name.is_empty() || !name.bytes().all(sound) {
            return Err("an attribute's name is malformed");
        }
        let value = if line[equals + 1..].starts_with('"') {
            let begin = equals + 2;
            let end = line[begin..].find('"').map(|i| begin + i).ok_or("a quoted value has no end")?;
            at = end + 1;
            begin..end
        } else {
            let begin = equals + 1;
            at = line[begin..].find(',').map_or(line.len(), |i| begin + i);
            begin..at
        };
        if all.len() == MAX_ATTRIBUTES {
            return Err("too many attributes");
        }
        all.push((name, value));
        match line.as_bytes().get(at) {
            None => {}
            Some(b',') => at += 1,
            Some(_) => return Err("a comma is due between attributes"),
        }
    }
    Ok(all)
}

fn bandwidth(line: &str, all: &[Attribute<'_>]) -> Option<u64> {
    let value = all.iter().find(|a| a.0 == "BANDWIDTH").map(|a| &line[a.1.clone()])?;
    value.trim().parse().ok().filter(|n| *n > 0)
}

struct Line<'a> {
    text: &'a str,
    /// Place of a reference in it.
    reference: Option<Range<usize>>,
    /// The rendition that it belongs to: its tag, or its reference.
    rendition: Option<usize>,
}

/// Reads a playlist and writes it anew by the rules.
pub fn rewrite(text: &str, rules: &Rules<'_>) -> Result<Rewritten, Fault> {
    if text.len() > MAX_BYTES {
        return fault(1, "the playlist is too long");
    }
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let (mut lines, mut offered): (Vec<Line<'_>>, Vec<u64>) = Default::default();
    let (mut multivariant, mut media, mut ended) = (false, false, false);
    // The rendition whose reference is due.
    let mut due: Option<(usize, usize)> = None;
    for (i, line) in text.lines().enumerate() {
        let n = i + 1;
        if lines.len() == MAX_PARTS {
            return fault(n, "the playlist has too many lines");
        }
        if line.len() > MAX_LINE {
            return fault(n, "the line is too long");
        }
        if line.bytes().any(|b| b < 0x20 && b != b'\t') {
            return fault(n, "the line holds a control character");
        }
        if i == 0 && line.trim_end() != "#EXTM3U" {
            return fault(1, "a playlist begins with #EXTM3U");
        }
        let mut this = Line { text: line, reference: None, rendition: None };
        if let Some(tag) = line.strip_prefix("#EXT") {
            let name = &line[1..tag.find(':').map_or(line.len(), |at| 4 + at)];
            let from = (1 + name.len() + 1).min(line.len());
            let referring = REFERRING.iter().find(|r| r.0 == name);
            if name == "EXT-X-DEFINE" {
                return fault(n, "variables are not understood");
            }
            let counts = [
                "EXTINF",
                "EXT-X-TARGETDURATION",
                "EXT-X-MEDIA-SEQUENCE",
                "EXT-X-ENDLIST",
                "EXT-X-MAP",
                "EXT-X-PART",
            ];
            media |= counts.contains(&name);
            multivariant |= [VARIANT, I_FRAMES, "EXT-X-MEDIA"].contains(&name);
            ended |= name == "EXT-X-ENDLIST";
            if name == VARIANT || referring.is_some() {
                let all = attributes(line, from).map_err(|what| Fault { line: n, what })?;
                this.reference = all.iter().find(|a| a.0 == "URI").map(|a| a.1.clone());
                if name == VARIANT || name == I_FRAMES {
                    let Some(rate) = bandwidth(line, &all) else {
                        return fault(n, "a rendition without its BANDWIDTH");
                    };
                    if offered.len() == MAX_RENDITIONS {
                        return fault(n, "the playlist offers too many renditions");
                    }
                    this.rendition = Some(offered.len());
                    if name == VARIANT {
                        if due.is_some() {
                            return fault(n, "a rendition without its reference");
                        }
                        this.reference = None;
                        due = Some((offered.len(), n));
                    }
                    offered.push(rate);
                }
            }
        } else if !line.starts_with('#') && !line.trim().is_empty() {
            let begin = line.len() - line.trim_start().len();
            this.reference = Some(begin..begin + line.trim().len());
            this.rendition = due.take().map(|d| d.0);
            media |= this.rendition.is_none();
        }
        lines.push(this);
    }
    if lines.is_empty() {
        return fault(1, "a playlist begins with #EXTM3U");
    }
    if let Some((_, n)) = due {
        return fault(n, "a rendition without its reference");
    }
    if multivariant && media {
        return fault(1, "the playlist lists renditions and media");
    }
    let kept = chosen(rules, &offered);
    let mut out = String::with_capacity(text.len() + lines.len() * 48);
    for (i, line) in lines.iter().enumerate() {
        if line.rendition.is_some_and(|r| !kept[r]) {
            continue;
        }
        match &line.reference {
            None => out.push_str(line.text),
            Some(at) => {
                let n = i + 1;
                let Some(target) = resolve(rules.own, &line.text[at.clone()]) else {
                    return fault(n, "the reference is malformed");
                };
                let plain = |path: &str| path.split('?').next().unwrap_or_default().to_owned();
                let lists = line.text.starts_with("#EXT")
                    && REFERRING.iter().any(|r| r.1 && line.text[1..].starts_with(r.0));
                if (line.rendition.is_some() || lists)
                    && matches!(&target, Target::Here(p) if plain(p) == plain(rules.own))
                {
                    return fault(n, "the playlist lists itself");
                }
                out.push_str(&line.text[..at.start]);
                out.push_str(&(rules.lead)(&target));
                out.push_str(&line.text[at.end..]);
            }
        }
        out.push('\n');
    }
    Ok(Rewritten { text: out, offered, kept, live: media && !ended })
}
