//! Structured fields (RFC 9651, formerly RFC 8941): limits around the parser and serializer of `sfv`.
//!
//! Parsing fails as a whole (section 4.2): a malformed field counts as absent.

pub use sfv::{
    BareItem, Decimal, Dictionary, InnerList, Integer, Item, Key, List, ListEntry, Parameters,
    String as Text, Token,
};
use sfv::{FieldType, Parser};

/// Maximum bytes of a field; a longer one is rejected.
pub const MAX_BYTES: usize = 8192;
/// Maximum members of a list or inner list, keys of a dictionary, or parameters of a member.
pub const MAX_MEMBERS: usize = 1024;

// `sfv` parses all members before they are counted here. The limit on the text bounds them to one per two bytes.
fn parse<T: FieldType>(text: &str, members: impl Fn(&T) -> Option<usize>) -> Option<T> {
    let read: T = (text.len() <= MAX_BYTES).then(|| Parser::new(text).parse().ok()).flatten()?;
    members(&read).is_some_and(|n| n <= MAX_MEMBERS).then_some(read)
}

/// The number of members; `None` if one of them has too many members or parameters itself.
fn count<'a>(members: impl ExactSizeIterator<Item = &'a ListEntry>) -> Option<usize> {
    let few_parameters = |items: &[Item]| items.iter().all(|i| i.params.len() <= MAX_MEMBERS);
    let n = members.len();
    let within_bounds = |member: &ListEntry| match member {
        ListEntry::Item(item) => few_parameters(std::slice::from_ref(item)),
        ListEntry::InnerList(l) => {
            l.items.len().max(l.params.len()) <= MAX_MEMBERS && few_parameters(&l.items)
        }
    };
    { members }.all(within_bounds).then_some(n)
}

/// Parses a list (section 4.2.1).
pub fn parse_list(text: &str) -> Option<List> {
    parse(text, |list: &List| count(list.iter()))
}

/// Parses a dictionary (section 4.2.2). Of equal keys the last value counts.
pub fn parse_dictionary(text: &str) -> Option<Dictionary> {
    parse(text, |dictionary: &Dictionary| count(dictionary.values()))
}

/// Serializes a list (section 4.1.1).
pub fn write_list(list: &List) -> String {
    list.serialize().unwrap_or_default()
}

/// Serializes a dictionary (section 4.1.2).
pub fn write_dictionary(dictionary: &Dictionary) -> String {
    dictionary.serialize().unwrap_or_default()
}
