//! Requests for media over HTTP, as a media box reads them.

use micadyke_cmcd::client::Cmcd;
use micadyke_http::{Method, Request};

/// Whether a file is a playlist or a manifest.
pub(crate) fn is_list(file: &str) -> bool {
    file.ends_with(".m3u8") || file.ends_with(".mpd")
}

/// The title and the file that a path names.
pub(crate) fn named(path: &str) -> Option<(&str, &str)> {
    path.strip_prefix("/media/")?.split_once('/')
}

/// Whether a request sets a play up.
pub(crate) fn sets_up(request: &Request) -> bool {
    let list = named(request.path()).is_some_and(|(_, file)| is_list(file));
    request.method == Method::Get
        && list
        && request.headers.get("via").is_some()
        && Cmcd::of(&request.headers, &request.target).flag("su")
}
