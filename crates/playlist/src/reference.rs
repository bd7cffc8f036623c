//! References within manifests: resolved against the path that the manifest came from (RFC 3986 section 5).

/// Where a reference leads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// To the same server: an absolute path without dot segments, and the query if there is one.
    Here(String),
    /// To another server, or by another scheme: the reference as it is.
    Elsewhere(String),
}

/// Bytes of a reference at most.
pub const MAX_REFERENCE: usize = 2048;

/// Resolves a reference; `None`: it is none, or too long. `own`: an absolute path.
pub fn resolve(own: &str, reference: &str) -> Option<Target> {
    let sound = |b: u8| b.is_ascii_graphic() && !matches!(b, b'"' | b'<' | b'>' | b'\\' | b'^' | b'`');
    if reference.is_empty() || reference.len() > MAX_REFERENCE || !reference.bytes().all(sound) {
        return None;
    }
    let before = reference.find(['/', '?', '#']).unwrap_or(reference.len());
    if reference[..before].contains(':') || reference.starts_with("//") {
        return Some(Target::Elsewhere(reference.into()));
    }
    let reference = reference.split('#').next().unwrap_or_default();
    let (path, query) = match reference.split_once('?') {
        Some((path, query)) => (path, Some(query)),
        None => (reference, None),
    };
    let own = own.split(['?', '#']).next().unwrap_or_default();
    let full = if path.is_empty() {
        own.to_owned()
    } else if path.starts_with('/') {
        path.to_owned()
    } else {
        format!("{}{path}", &own[..own.rfind('/').map_or(0, |i| i + 1)])
    };
    let mut path = without_dots(&full);
    if let Some(query) = query {
        path.push('?');
        path.push_str(query);
    }
    Some(Target::Here(path))
}

/// An absolute path without `.` and `..` (RFC 3986 section 5.2.4).
pub fn without_dots(path: &str) -> String {
    let mut kept: Vec<&str> = Vec::new();
    let parts: Vec<&str> = path.split('/').skip(usize::from(path.starts_with('/'))).collect();
    for (i, part) in parts.iter().enumerate() {
        let last = i + 1 == parts.len();
        match *part {
            "." if last => kept.push(""),
            "." => {}
            ".." => {
                kept.pop();
                if last {
                    kept.push("");
                }
            }
            part => kept.push(part),
        }
    }
    format!("/{}", kept.join("/"))
}
