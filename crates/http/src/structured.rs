//! Structured fields (RFC 9651, and RFC 8941 before it), read and written by `sfv`; here are the bounds.
//!
//! Parsing fails as a whole, as section 4.2 has it: a field that is not well formed is as if it were not there.

pub use sfv::{
    BareItem, Decimal, Dictionary, InnerList, Integer, Item, Key, List, ListEntry, Parameters,
    String as Text, Token,
};
use sfv::{FieldType, Parser};

/// Bytes of a field at most; a longer one is not read.
pub const MAX_BYTES: usize = 8192;
/// Members of a list or inner list, keys of a dictionary or parameters of a member at most.
pub const MAX_MEMBERS: usize = 1024;

// `sfv` reads as many members as the text holds, and is done with it before they are counted: the text's own bound
// keeps that at one for each two bytes.
fn parse<T: FieldType>(text: &str, members: impl Fn(&T) -> Option<usize>) -> Option<T> {
    let read: T = (text.len() <= MAX_BYTES).then(|| Parser::new(text).parse().ok()).flatten()?;
    members(&read).is_some_and(|n| n <= MAX_MEMBERS).then_some(read)
}

/// The count of members; `None`: one holds too many itself.
fn count<'a>(members: impl ExactSizeIterator<Item = &'a ListEntry>) -> Option<usize> {
    let few = |items: &[Item]| items.iter().all(|i| i.params.len() <= MAX_MEMBERS);
    let n = members.len();
    let sound = |member: &ListEntry| match member {
        ListEntry::Item(item) => few(std::slice::from_ref(item)),
        ListEntry::InnerList(l) => l.items.len().max(l.params.len()) <= MAX_MEMBERS && few(&l.items),
    };
    { members }.all(sound).then_some(n)
}

/// Reads a field that is a list (section 4.2.1).
pub fn parse_list(text: &str) -> Option<List> {
    parse(text, |list: &List| count(list.iter()))
}

/// Reads a field that is a dictionary (section 4.2.2). Of two equal keys the later value counts.
pub fn parse_dictionary(text: &str) -> Option<Dictionary> {
    parse(text, |dictionary: &Dictionary| count(dictionary.values()))
}

/// The text of a list (section 4.1.1).
pub fn write_list(list: &List) -> String {
    list.serialize().unwrap_or_default()
}

/// The text of a dictionary (section 4.1.2).
pub fn write_dictionary(dictionary: &Dictionary) -> String {
    dictionary.serialize().unwrap_or_default()
}
