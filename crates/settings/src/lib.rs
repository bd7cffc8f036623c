//! The settings of a deployment as the platform hands them over (`WIRE-micadyke.md`, section 6), read into the decision
//! module's words. One reader for the simulator's adapter and the node; it chooses nothing.
#![warn(missing_docs)]

mod error;
mod field;

pub use error::Error;

use field::{Field, Parsed};
use micadyke::interface::*;
use serde_json::Value;

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
    /// The longest wait that a client who is refused is told and obeys; 0: none is told.
    pub come_back: Nanos,
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

/// Reads the settings object from its text.
///
/// # Errors
///
/// Which field is wrong, and how.
pub fn read(json: &str) -> Result<Site, Error> {
    let v: Value = serde_json::from_str(json).map_err(|e| Error::NotJson(e.to_string()))?;
    site(&v)
}

/// Reads the settings object into the module's own words. What it accepts the module accepts.
///
/// # Errors
///
/// Which field is wrong, and how.
pub fn site(v: &Value) -> Result<Site, Error> {
    let all = Field::settings(v)?;
    let ladder = ladder(&all)?;
    let (class_names, classes, deadline) = classes(&all, ladder.len())?;
    let (zones, zone) = zones(&all)?;
    let names = Names { classes: class_names, kinds: texts(&all.get("models")?)?, zones };
    let terms = terms(&all, deadline)?;
    Ok(Site { settings: settings(&all, classes, ladder, zone)?, names, terms })
}

/// Reads the ladder: its rungs rise in rate and worth.
fn ladder(all: &Field<'_>) -> Parsed<Vec<Step>> {
    let family = all.get("family_info")?;
    let (rates, worths) = (family.get("rung_kb")?.due()?, family.get("worth_by_rung")?.due()?);
    let of_rungs =
        |list: &Field<'_>| -> Parsed<Vec<f64>> { list.items()?.iter().map(Field::positive).collect() };
    let (rate, worth) = (of_rungs(&rates)?, of_rungs(&worths)?);
    if rate.len() != worth.len() {
        return Err(Error::Ladder);
    }
    if rate.is_empty() {
        return Err(rates.outside("a rate for each rung, one at least"));
    }
    for (list, values) in [(&rates, &rate), (&worths, &worth)] {
        if let Some(i) = values.windows(2).position(|w| w[0] >= w[1]) {
            return Err(list.items()?[i + 1].against(format!("{}[{i}], for rungs rise", list.path())));
        }
    }
    Ok(rate.into_iter().zip(worth).map(|(rate, worth)| Step { rate, worth }).collect())
}

/// Reads the classes: their names, what the module is told of them, and the longest deadline.
fn classes(all: &Field<'_>, rungs: usize) -> Parsed<(Vec<String>, Vec<Class>, Nanos)> {
    let list = all.get("classes")?.due()?;
    let fields = list.items()?;
    if fields.is_empty() {
        return Err(list.outside("a class at least"));
    }
    let scales = per_class(all, "scale_by_class", fields.len())?;
    let floors = per_class(all, "floor_by_class", fields.len())?;
    let tops = per_class(all, "highest_rung", fields.len())?;
    let seats = per_class(all, "licence_cap", fields.len())?;
    let (mut names, mut classes, mut longest) = (Vec::new(), Vec::new(), 0);
    for (i, field) in fields.iter().enumerate() {
        let (name, deadline) = (field.get("name")?.due()?, field.get("deadline_ns")?.due()?);
        let text = name.text()?;
        if text.is_empty() {
            return Err(name.outside("a name"));
        }
        if position(&names, text).is_some() {
            return Err(Error::Twice { path: name.path().into(), held: text.into() });
        }
        names.push(text.to_owned());
        let within = deadline.nanos()?;
        if within == 0 {
            return Err(deadline.outside("a time above 0"));
        }
        longest = longest.max(within);
        let (floor, top) = rungs_of(floors.get(i), tops.get(i), rungs)?;
        classes.push(Class {
            worth: field.get("worth")?.figure()?,
            aim: field.get("promise_ns")?.nanos()?,
            effect: effect(field)?,
            scale: scales.get(i).map_or(Ok(1.0), Field::positive)?,
            floor,
            top,
            seats: seats.get(i).map_or(Ok(0), Field::count)?,
        });
    }
    Ok((names, classes, longest))
}

/// A list with a value for each class, or an empty one where nothing is stated.
fn per_class<'v>(all: &Field<'v>, name: &'static str, known: usize) -> Parsed<Vec<Field<'v>>> {
    let values = all.get("family_info")?.get(name)?.items()?;
    let held = values.len();
    if held != 0 && held != known { Err(Error::PerClass { name, held, known }) } else { Ok(values) }
}

/// Reads the lowest and the highest rung of a class; else those of the ladder.
fn rungs_of(floor: Option<&Field<'_>>, top: Option<&Field<'_>>, rungs: usize) -> Parsed<(Rung, Rung)> {
    let (lowest, highest) = (floor.map_or(Ok(0), Field::count)?, top.map(Field::count).transpose()?);
    let last = rungs.saturating_sub(1);
    if let (Some(field), Some(held)) = (top, highest)
        && held as Rung > last
    {
        return Err(field.against(format!("settings.family_info.rung_kb, whose last rung is {last}")));
    }
    let highest = highest.map_or(last, |h| h as Rung);
    match floor {
        Some(field) if lowest as Rung > highest => {
            let other = top.map_or("settings.family_info.rung_kb", Field::path);
            Err(field.against(format!("{other}, whose last rung is {highest}")))
        }
        _ => Ok((lowest as Rung, highest)),
    }
}

/// Reads whether a class may be set up more than once.
fn effect(class: &Field<'_>) -> Parsed<Effect> {
    let deduplicated = Effect::Deduplicated { scope: Scope::All, window: 0 };
    let effects = [
        ("idempotent", Effect::Idempotent),
        ("at_most_once", Effect::AtMostOnce),
        ("deduplicated", deduplicated),
    ];
    let scopes = [("", Scope::All), ("all", Scope::All), ("zone", Scope::Zone), ("cell", Scope::Cell)];
    let effect = class.get("effect")?.due()?.word(&effects)?;
    if effect != deduplicated {
        return Ok(effect);
    }
    let scope = class.get("dedup_scope")?.word(&scopes)?;
    Ok(Effect::Deduplicated { scope, window: class.get("window_ns")?.nanos()? })
}

/// Reads the zones, and which is this front's own.
fn zones(all: &Field<'_>) -> Parsed<(Vec<String>, u32)> {
    let mut zones = texts(&all.get("dcs")?)?;
    let own = all.get("zone")?.text()?;
    if position(&zones, own).is_none() {
        // Servers of this front's own zone are known for such, listed or not.
        zones.push(own.to_owned());
    }
    let place = position(&zones, own).unwrap_or(zones.len());
    Ok((zones, place as u32))
}

fn texts(list: &Field<'_>) -> Parsed<Vec<String>> {
    list.items()?.iter().map(|f| f.text().map(str::to_owned)).collect()
}

/// Reads what is said of connections.
fn terms(all: &Field<'_>, deadline: Nanos) -> Parsed<Terms> {
    let permissions = all.get("permissions")?;
    Ok(Terms {
        streams: permissions.get("max_streams")?.count()?,
        idle: permissions.get("conn_idle_ns")?.nanos()?,
        connect_timeout: permissions.get("connect_timeout_ns")?.nanos()?,
        most_held: permissions.get("most_held")?.count()?,
        come_back: match permissions.get("retry_after")?.truth()? {
            true => permissions.get("max_retry_after_ns")?.nanos()?,
            false => 0,
        },
        probes: permissions.get("probes")?.truth()?,
        deadline,
        drain_grace: all.get("rules")?.get("stop_sending_within_ns")?.nanos()?,
    })
}

/// Reads the budget of further attempts, where one is stated.
fn retry_budget(rules: &Field<'_>) -> Parsed<Option<RetryBudget>> {
    let window = rules.get("counted_over_ns")?;
    let spare = rules.get("spare_attempts")?.figure()?;
    let share = rules.get("budget_share")?.figure()?;
    // Each of the three may be missing; without the stretch over which it is counted there is no budget.
    if window.is_missing() {
        return Ok(None);
    }
    Ok(Some(RetryBudget { spare, share, window: window.nanos()? }))
}

/// Reads what the module is told beside classes, ladder and zone.
fn settings(all: &Field<'_>, classes: Vec<Class>, ladder: Vec<Step>, zone: u32) -> Parsed<Settings> {
    let (family, rules) = (all.get("family_info")?, all.get("rules")?);
    let (permissions, penalties) = (all.get("permissions")?, all.get("penalties")?);
    let places = family.get("places_by_kind")?.items()?;
    Ok(Settings {
        fronts: all.get("group_size")?.count()?.max(1),
        zone,
        classes,
        ladder,
        cells: family.get("cells")?.due()?.some()?,
        racks: family.get("racks")?.due()?.some()?,
        streams_by_kind: places.iter().map(Field::count).collect::<Parsed<_>>()?,
        uplink: family.get("uplink_kb")?.figure()?,
        link_per_weight: family.get("kb_per_weight")?.figure()?,
        weights_tell_size: matches!(all.get("weights")?.text()?, "nominal" | "rough"),
        full_from: family.get("full_from")?.figure()?,
        change_cost_s: family.get("switch_s")?.figure()?,
        note_delay: family.get("see_ns")?.nanos()?,
        note_period: family.get("tell_ns")?.nanos()?,
        listing: match all.get("registry_mode")?.text()? {
            "subscribe" => Listing::Subscribed,
            _ => Listing::Pushed,
        },
        max_attempts: permissions.get("max_attempts")?.due()?.some()?,
        may_advise: permissions.get("retry_after")?.truth()?,
        max_come_back: permissions.get("max_retry_after_ns")?.nanos()?,
        cross_price: penalties.get("cross_zone")?.figure()?,
        handshake_price: penalties.get("handshake")?.figure()?,
        ask_within: rules.get("ask_within_ns")?.nanos()?,
        cold_for: rules.get("cold_ns")?.nanos()?,
        cold_from: rules.get("start_capacity")?.part()?,
        fall_multiple: rules.get("fall_multiple")?.figure()?,
        fall_window: rules.get("fall_ns")?.nanos()?,
        retry_budget: retry_budget(&rules)?,
    })
}
