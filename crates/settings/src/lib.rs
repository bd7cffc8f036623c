//! Reads the settings of a deployment, a JSON object of the platform (`WIRE-micadyke.md`, section 6), into the
//! [`Settings`] of the decision module and the [`ConnectionSettings`] of the process around it.
//!
//! Both the simulator's adapter and the front node use this crate.
#![warn(missing_docs)]

mod error;
mod field;

pub use error::Error;

use field::{Field, Parsed};
use micadyke::interface::*;
use serde_json::Value;

/// The names of classes, machine kinds and zones, which the decision module knows by index only.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Names {
    /// Classes, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// Machine kinds, in the order of [`Settings::streams_by_kind`].
    pub kinds: Vec<String>,
    /// Zones, by index.
    pub zones: Vec<String>,
}

/// Settings of connections and deadlines, for the process that carries out the decisions.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct ConnectionSettings {
    /// Maximum number of concurrent set-ups on one connection to a server; 0: unlimited.
    pub max_streams: u32,
    /// Time after which a server closes an idle connection; 0: never.
    pub idle_timeout: Nanos,
    /// Time after which connecting to a server is abandoned; 0: not stated.
    pub connect_timeout: Nanos,
    /// Maximum number of requests that a front may hold open; 0: unlimited.
    pub max_open_requests: u32,
    /// The longest wait that a refused client is told and obeys; 0: clients are told none.
    pub max_retry_after: Nanos,
    /// Probing servers is allowed.
    pub probes: bool,
    /// The longest deadline of all classes.
    pub max_deadline: Nanos,
    /// Time after the notice that a server drains within which new attempts may still reach it; 0: not stated.
    pub drain_grace: Nanos,
    /// The longest time in which a server sends a front no report while sessions of the front play on it; 0: it owes none.
    pub max_report_interval: Nanos,
}

/// The settings of a deployment.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Deployment {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of classes, machine kinds and zones.
    pub names: Names,
    /// Settings of connections and deadlines.
    pub connections: ConnectionSettings,
}

/// The index of a name in a list of names.
pub fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// Parses the settings of a deployment from JSON text.
///
/// # Errors
///
/// The first field that is invalid.
pub fn read(json: &str) -> Result<Deployment, Error> {
    let v: Value = serde_json::from_str(json).map_err(|e| Error::NotJson(e.to_string()))?;
    from_json(&v)
}

/// Parses the settings of a deployment from a JSON value. The decision module accepts all settings returned.
///
/// # Errors
///
/// The first field that is invalid.
pub fn from_json(v: &Value) -> Result<Deployment, Error> {
    let all = Field::root(v)?;
    let ladder = ladder(&all)?;
    let (class_names, classes, deadline) = classes(&all, ladder.len())?;
    let (zones, zone) = zones(&all)?;
    let names = Names { classes: class_names, kinds: texts(&all.get("models")?)?, zones };
    let connections = connections(&all, deadline)?;
    Ok(Deployment { settings: settings(&all, classes, ladder, zone)?, names, connections })
}

/// Reads the ladder, whose rungs must increase in rate and worth.
fn ladder(all: &Field<'_>) -> Parsed<Vec<RungSpec>> {
    let family = all.get("family_info")?;
    let (rates, worths) = (family.get("rung_kb")?.required()?, family.get("worth_by_rung")?.required()?);
    let of_rungs =
        |list: &Field<'_>| -> Parsed<Vec<f64>> { list.items()?.iter().map(Field::positive).collect() };
    let (rate, worth) = (of_rungs(&rates)?, of_rungs(&worths)?);
    if rate.len() != worth.len() {
        return Err(Error::LadderLength);
    }
    if rate.is_empty() {
        return Err(rates.out_of_range("the rate of at least one rung"));
    }
    for (list, values) in [(&rates, &rate), (&worths, &worth)] {
        if let Some(i) = values.windows(2).position(|w| w[0] >= w[1]) {
            return Err(
                list.items()?[i + 1].conflict(format!("{}[{i}], as rungs must increase", list.path()))
            );
        }
    }
    Ok(rate.into_iter().zip(worth).map(|(rate, worth)| RungSpec { rate, worth }).collect())
}

/// Reads the classes. Returns their names, their settings and the longest deadline.
fn classes(all: &Field<'_>, rungs: usize) -> Parsed<(Vec<String>, Vec<Class>, Nanos)> {
    let list = all.get("classes")?.required()?;
    let fields = list.items()?;
    if fields.is_empty() {
        return Err(list.out_of_range("at least one class"));
    }
    let scales = per_class(all, "scale_by_class", fields.len())?;
    let floors = per_class(all, "floor_by_class", fields.len())?;
    let tops = per_class(all, "highest_rung", fields.len())?;
    let seats = per_class(all, "licence_cap", fields.len())?;
    let (mut names, mut classes, mut longest) = (Vec::new(), Vec::new(), 0);
    for (i, field) in fields.iter().enumerate() {
        let (name, deadline) = (field.get("name")?.required()?, field.get("deadline_ns")?.required()?);
        let text = name.text()?;
        if text.is_empty() {
            return Err(name.out_of_range("a name"));
        }
        if position(&names, text).is_some() {
            return Err(Error::DuplicateName { path: name.path().into(), value: text.into() });
        }
        names.push(text.to_owned());
        let time_limit = deadline.nanos()?;
        if time_limit == 0 {
            return Err(deadline.out_of_range("a time above 0"));
        }
        longest = longest.max(time_limit);
        let (floor, top) = rungs_of(floors.get(i), tops.get(i), rungs)?;
        classes.push(Class {
            worth: field.get("worth")?.non_negative()?,
            setup_target: field.get("promise_ns")?.nanos()?,
            effect: effect(field)?,
            scale: scales.get(i).map_or(Ok(1.0), Field::positive)?,
            floor,
            top,
            seats: seats.get(i).map_or(Ok(0), Field::count)?,
        });
    }
    Ok((names, classes, longest))
}

/// A list with one value for each class, or an empty one if the list is missing.
fn per_class<'v>(all: &Field<'v>, name: &'static str, classes: usize) -> Parsed<Vec<Field<'v>>> {
    let list = all.get("family_info")?.get(name)?.items()?;
    let values = list.len();
    if values != 0 && values != classes {
        Err(Error::PerClassLength { name, values, classes })
    } else {
        Ok(list)
    }
}

/// Reads the lowest and the highest rung of a class. They default to those of the ladder.
fn rungs_of(floor: Option<&Field<'_>>, top: Option<&Field<'_>>, rungs: usize) -> Parsed<(Rung, Rung)> {
    let (lowest, highest) = (floor.map_or(Ok(0), Field::count)?, top.map(Field::count).transpose()?);
    let last = rungs.saturating_sub(1);
    if let (Some(field), Some(rung)) = (top, highest)
        && rung as Rung > last
    {
        return Err(field.conflict(format!("settings.family_info.rung_kb, whose last rung is {last}")));
    }
    let highest = highest.map_or(last, |h| h as Rung);
    match floor {
        Some(field) if lowest as Rung > highest => {
            let other = top.map_or("settings.family_info.rung_kb", Field::path);
            Err(field.conflict(format!("{other}, whose last rung is {highest}")))
        }
        _ => Ok((lowest as Rung, highest)),
    }
}

/// Reads whether a session of a class may be set up more than once.
fn effect(class: &Field<'_>) -> Parsed<Effect> {
    let deduplicated = Effect::Deduplicated { scope: Scope::All, window: 0 };
    let effects = [
        ("idempotent", Effect::Idempotent),
        ("at_most_once", Effect::AtMostOnce),
        ("deduplicated", deduplicated),
    ];
    let scopes = [("", Scope::All), ("all", Scope::All), ("zone", Scope::Zone), ("cell", Scope::Cell)];
    let effect = class.get("effect")?.required()?.keyword(&effects)?;
    if effect != deduplicated {
        return Ok(effect);
    }
    let scope = class.get("dedup_scope")?.keyword(&scopes)?;
    Ok(Effect::Deduplicated { scope, window: class.get("window_ns")?.nanos()? })
}

/// Reads the zones and the index of this front's own zone.
fn zones(all: &Field<'_>) -> Parsed<(Vec<String>, u32)> {
    let mut zones = texts(&all.get("dcs")?)?;
    let own = all.get("zone")?.text()?;
    if position(&zones, own).is_none() {
        // The own zone gets an index even if it is not listed, so that servers in it are recognised.
        zones.push(own.to_owned());
    }
    let index = position(&zones, own).unwrap_or(zones.len());
    Ok((zones, index as u32))
}

fn texts(list: &Field<'_>) -> Parsed<Vec<String>> {
    list.items()?.iter().map(|f| f.text().map(str::to_owned)).collect()
}

/// Reads the settings of connections and deadlines.
fn connections(all: &Field<'_>, max_deadline: Nanos) -> Parsed<ConnectionSettings> {
    let permissions = all.get("permissions")?;
    Ok(ConnectionSettings {
        max_streams: permissions.get("max_streams")?.count()?,
        idle_timeout: permissions.get("conn_idle_ns")?.nanos()?,
        connect_timeout: permissions.get("connect_timeout_ns")?.nanos()?,
        max_open_requests: permissions.get("most_held")?.count()?,
        max_retry_after: match permissions.get("retry_after")?.boolean()? {
            true => permissions.get("max_retry_after_ns")?.nanos()?,
            false => 0,
        },
        probes: permissions.get("probes")?.boolean()?,
        max_deadline,
        drain_grace: all.get("rules")?.get("stop_sending_within_ns")?.nanos()?,
        max_report_interval: max_report_interval(all)?,
    })
}

/// Reads how often a server reports on the sessions that play on it. A report states what was true some time before it.
fn max_report_interval(all: &Field<'_>) -> Parsed<Nanos> {
    let family = all.get("family_info")?;
    let (period, delay) = (family.get("tell_ns")?.nanos()?, family.get("see_ns")?.nanos()?);
    let reports = all.get("stats")?.get("how")?.text()? == "answers" && period > 0;
    Ok(if reports { period.saturating_add(delay) } else { 0 })
}

/// Reads the retry budget, if there is one.
fn retry_budget(rules: &Field<'_>) -> Parsed<Option<RetryBudget>> {
    let window = rules.get("counted_over_ns")?;
    let spare = rules.get("spare_attempts")?.non_negative()?;
    let share = rules.get("budget_share")?.non_negative()?;
    // Each of the three fields is optional, but without a window there is no budget.
    if window.is_missing() {
        return Ok(None);
    }
    Ok(Some(RetryBudget { spare, share, window: window.nanos()? }))
}

/// Reads the settings of the decision module; classes, ladder and zone have been read before.
fn settings(all: &Field<'_>, classes: Vec<Class>, ladder: Vec<RungSpec>, zone: u32) -> Parsed<Settings> {
    let (family, rules) = (all.get("family_info")?, all.get("rules")?);
    let (permissions, penalties) = (all.get("permissions")?, all.get("penalties")?);
    let streams = family.get("places_by_kind")?.items()?;
    Ok(Settings {
        fronts: all.get("group_size")?.count()?.max(1),
        zone,
        classes,
        ladder,
        cells: family.get("cells")?.required()?.positive_count()?,
        racks: family.get("racks")?.required()?.positive_count()?,
        streams_by_kind: streams.iter().map(Field::count).collect::<Parsed<_>>()?,
        uplink: family.get("uplink_kb")?.non_negative()?,
        link_per_weight: family.get("kb_per_weight")?.non_negative()?,
        weights_reflect_size: matches!(all.get("weights")?.text()?, "nominal" | "rough"),
        full_from: family.get("full_from")?.non_negative()?,
        change_cost_s: family.get("switch_s")?.non_negative()?,
        report_delay: family.get("see_ns")?.nanos()?,
        report_period: family.get("tell_ns")?.nanos()?,
        listing: match all.get("registry_mode")?.text()? {
            "subscribe" => Listing::Subscribed,
            _ => Listing::Pushed,
        },
        max_attempts: permissions.get("max_attempts")?.required()?.positive_count()?,
        advises_retry: permissions.get("retry_after")?.boolean()?,
        max_retry_after: permissions.get("max_retry_after_ns")?.nanos()?,
        cross_price: penalties.get("cross_zone")?.non_negative()?,
        handshake_price: penalties.get("handshake")?.non_negative()?,
        subscribe_within: rules.get("ask_within_ns")?.nanos()?,
        cold_for: rules.get("cold_ns")?.nanos()?,
        cold_from: rules.get("start_capacity")?.fraction()?,
        fall_multiple: rules.get("fall_multiple")?.non_negative()?,
        fall_window: rules.get("fall_ns")?.nanos()?,
        retry_budget: retry_budget(&rules)?,
    })
}
