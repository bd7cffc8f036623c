//! The settings of a deployment as the platform hands them over (`WIRE-micadyke.md`, section 6), read into the decision
//! module's words. One reader for the simulator's adapter and the node; it chooses nothing.
#![warn(missing_docs)]

mod error;

pub use error::Error;

use micadyke::interface::*;
use serde_json::Value;

type Parsed<T> = Result<T, Error>;

/// Names that an instance's settings give to classes, machine kinds and zones.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Names {
    /// Classes, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// Machine kinds, in the order of [`Settings::streams_by_kind`].
    pub kinds: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
}

/// What the settings say of connections and deadlines, which concerns whoever carries the decisions out.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Terms {
    /// Set-ups that one connection to a server carries at a time; 0: no bound is stated.
    pub streams: u32,
    /// A server closes a connection that was idle for so long; 0: never.
    pub idle: Nanos,
    /// A connection that is not up by then does not come up; 0: nothing is stated.
    pub connect_timeout: Nanos,
    /// Requests that a front may hold open; 0: no bound is stated.
    pub most_held: u32,
    /// Servers may be tested.
    pub probes: bool,
    /// The longest deadline of a class.
    pub deadline: Nanos,
    /// Nothing new may reach a server later than this after it was told that it drains; 0: nothing is stated.
    pub drain_grace: Nanos,
}

/// The settings of a deployment.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Site {
    /// What the decision module is told.
    pub settings: Settings,
    /// Names that it does not know.
    pub names: Names,
    /// What it need not know.
    pub terms: Terms,
}

/// Where a name stands in a list of names.
pub fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// A longer time is taken for this one, ten years: sums with the time of day stay far from the end of [`Nanos`].
const LONGEST: f64 = 3.2e17;
/// A greater count is taken for this one: sums of two stay far from the end of their type.
const MOST: f64 = (1u32 << 30) as f64;

/// What stands under a path; null where it is missing.
fn at<'v>(value: &'v Value, path: &str) -> Parsed<&'v Value> {
    let mut v = value;
    for key in path.split('.') {
        if !(v.is_object() || v.is_null()) {
            return Err(Error::NoObject { path: path.into(), key: key.into(), held: v.to_string() });
        }
        v = &v[key];
    }
    Ok(v)
}

/// A value that is not of the kind that is due.
fn not(due: &'static str, held: impl ToString, path: &str) -> Error {
    Error::Kind { path: path.into(), held: held.to_string(), due }
}

fn float(value: &Value, path: &str) -> Parsed<f64> {
    let v = at(value, path)?;
    if v.is_null() {
        return Ok(0.0);
    }
    v.as_f64().ok_or_else(|| not("a number", v, path))
}

fn nanos(value: &Value, path: &str) -> Parsed<Nanos> {
    let v = float(value, path)?;
    if v < 0.0 {
        return Err(Error::Negative { path: path.into(), held: v.to_string() });
    }
    Ok(v.min(LONGEST) as Nanos)
}

fn whole(v: f64, path: &str) -> Parsed<u32> {
    if v < 0.0 || v.fract() != 0.0 {
        return Err(not("a count", v, path));
    }
    Ok(v.min(MOST) as u32)
}

fn count(value: &Value, path: &str) -> Parsed<u32> {
    whole(float(value, path)?, path)
}

fn counts(value: &Value, path: &str) -> Parsed<Vec<u32>> {
    floats(value, path)?.into_iter().map(|v| whole(v, path)).collect()
}

fn text<'v>(value: &'v Value, path: &str) -> Parsed<&'v str> {
    let v = at(value, path)?;
    if v.is_null() {
        return Ok("");
    }
    v.as_str().ok_or_else(|| not("a text", v, path))
}

fn list<'v>(value: &'v Value, path: &str) -> Parsed<&'v [Value]> {
    let v = at(value, path)?;
    if v.is_null() {
        return Ok(&[]);
    }
    v.as_array().map(Vec::as_slice).ok_or_else(|| not("a list", v, path))
}

fn truth(value: &Value, path: &str) -> Parsed<bool> {
    let v = at(value, path)?;
    if v.is_null() {
        return Ok(false);
    }
    v.as_bool().ok_or_else(|| not("true or false", v, path))
}

fn floats(value: &Value, path: &str) -> Parsed<Vec<f64>> {
    list(value, path)?.iter().map(|v| v.as_f64().ok_or_else(|| not("a number", v, path))).collect()
}

fn names(value: &Value, path: &str) -> Parsed<Vec<String>> {
    let name = |v: &Value| v.as_str().map(str::to_owned).ok_or_else(|| not("a name", v, path));
    list(value, path)?.iter().map(name).collect()
}

/// Reads the settings object from its text.
///
/// # Errors
///
/// Which field is wrong, and how.
pub fn read(json: &str) -> Parsed<Site> {
    let v: Value = serde_json::from_str(json).map_err(|e| Error::NotJson(e.to_string()))?;
    site(&v)
}

/// Reads what a class says of itself: its name, its deadline, and what the module is told.
fn class(c: &Value) -> Parsed<(String, Nanos, Class)> {
    let word = |path: &str, held: &str| Error::Word { path: path.into(), held: held.into() };
    let effect = match text(c, "effect")? {
        "idempotent" | "" => Effect::Idempotent,
        "at_most_once" => Effect::AtMostOnce,
        "deduplicated" => Effect::Deduplicated {
            scope: match text(c, "dedup_scope")? {
                "all" | "" => Scope::All,
                "zone" => Scope::Zone,
                "cell" => Scope::Cell,
                other => return Err(word("dedup_scope", other)),
            },
            window: nanos(c, "window_ns")?,
        },
        other => return Err(word("effect", other)),
    };
    let (worth, aim) = (float(c, "worth")?, nanos(c, "promise_ns")?);
    let class = Class { worth, aim, effect, scale: 1.0, floor: 0, top: 0, seats: 0 };
    Ok((text(c, "name")?.to_owned(), nanos(c, "deadline_ns")?, class))
}

/// Reads the settings object into the module's own words.
///
/// # Errors
///
/// Which field is wrong, and how.
pub fn site(v: &Value) -> Parsed<Site> {
    let mut zones = names(v, "dcs")?;
    let zone_name = text(v, "zone")?;
    if position(&zones, zone_name).is_none() {
        // Servers of this front's own zone are known for such, listed or not.
        zones.push(zone_name.to_owned());
    }
    let kinds = names(v, "models")?;
    let scales = floats(v, "family_info.scale_by_class")?;
    let floors = counts(v, "family_info.floor_by_class")?;
    let tops = counts(v, "family_info.highest_rung")?;
    let seats = counts(v, "family_info.licence_cap")?;
    let rates = floats(v, "family_info.rung_kb")?;
    let worths = floats(v, "family_info.worth_by_rung")?;
    if rates.len() != worths.len() {
        return Err(Error::Ladder);
    }
    let known = list(v, "classes")?.len();
    let lists = [("floor_by_class", &floors), ("highest_rung", &tops), ("licence_cap", &seats)];
    let lists = lists.into_iter().map(|(name, values)| (name, values.len()));
    for (name, held) in lists.chain([("scale_by_class", scales.len())]) {
        if held != 0 && held != known {
            return Err(Error::PerClass { name, held, known });
        }
    }
    let mut classes = Vec::new();
    let mut class_names = Vec::new();
    let mut deadline = 0;
    for (i, c) in list(v, "classes")?.iter().enumerate() {
        let (name, within, class) = class(c).map_err(|e| e.of_class(i))?;
        if class_names.contains(&name) {
            return Err(Error::Twice { path: format!("classes[{i}].name"), held: name });
        }
        class_names.push(name);
        deadline = deadline.max(within);
        let top = rates.len().saturating_sub(1);
        classes.push(Class {
            scale: scales.get(i).copied().unwrap_or(1.0),
            floor: floors.get(i).map_or(0, |f| *f as Rung),
            top: tops.get(i).map_or(top, |t| *t as Rung),
            seats: seats.get(i).copied().unwrap_or(0),
            ..class
        });
    }
    let retry_budget = match at(v, "rules.counted_over_ns")?.is_null() {
        true => None,
        false => Some(RetryBudget {
            spare: float(v, "rules.spare_attempts")?,
            share: float(v, "rules.budget_share")?,
            window: nanos(v, "rules.counted_over_ns")?,
        }),
    };
    let s = Settings {
        fronts: count(v, "group_size")?.max(1),
        zone: position(&zones, zone_name).unwrap_or(zones.len()) as u32,
        classes,
        ladder: rates.iter().zip(&worths).map(|(&rate, &worth)| Step { rate, worth }).collect(),
        cells: count(v, "family_info.cells")?,
        racks: count(v, "family_info.racks")?,
        streams_by_kind: counts(v, "family_info.places_by_kind")?,
        uplink: float(v, "family_info.uplink_kb")?,
        link_per_weight: float(v, "family_info.kb_per_weight")?,
        weights_tell_size: matches!(text(v, "weights")?, "nominal" | "rough"),
        full_from: float(v, "family_info.full_from")?,
        change_cost_s: float(v, "family_info.switch_s")?,
        note_delay: nanos(v, "family_info.see_ns")?,
        note_period: nanos(v, "family_info.tell_ns")?,
        listing: if text(v, "registry_mode")? == "subscribe" { Listing::Subscribed } else { Listing::Pushed },
        max_attempts: count(v, "permissions.max_attempts")?,
        may_advise: truth(v, "permissions.retry_after")?,
        max_come_back: nanos(v, "permissions.max_retry_after_ns")?,
        cross_price: float(v, "penalties.cross_zone")?,
        handshake_price: float(v, "penalties.handshake")?,
        ask_within: nanos(v, "rules.ask_within_ns")?,
        cold_for: nanos(v, "rules.cold_ns")?,
        cold_from: float(v, "rules.start_capacity")?,
        fall_multiple: float(v, "rules.fall_multiple")?,
        fall_window: nanos(v, "rules.fall_ns")?,
        retry_budget,
    };
    let terms = Terms {
        streams: count(v, "permissions.max_streams")?,
        idle: nanos(v, "permissions.conn_idle_ns")?,
        connect_timeout: nanos(v, "permissions.connect_timeout_ns")?,
        most_held: count(v, "permissions.most_held")?,
        probes: truth(v, "permissions.probes")?,
        deadline,
        drain_grace: nanos(v, "rules.stop_sending_within_ns")?,
    };
    Ok(Site { settings: s, names: Names { classes: class_names, kinds, zones }, terms })
}
