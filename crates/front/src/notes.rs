//! Events of the boxes read as notes for the module.
//!
//! `layers` (WHEP server-sent events extension) tells of one session: for each media section, which encodings are
//! active, at what rate, and at what rate they are meant to be. `endpoint-load-metrics` carries a load report in
//! the text form of the Open Request Cost Aggregation format; it tells of the whole box.

use crate::session::Reports;
use micadyke::interface::{ReportKind, Rung};
use micadyke_http::fields::LoadReport;
use micadyke_http::sse::Event;
use serde_json::Value;

/// Name of the event that tells of layers.
pub(crate) const LAYERS: &str = "layers";
/// Figure of a load report: what is asked of the box's link over what it gives.
pub(crate) const LINK: &str = "application_utilization";
/// Figure of a load report: the same of its rack's uplink.
pub(crate) const UPLINK: &str = "utilization.uplink";

/// The notes that an event brings.
pub(crate) fn read(event: &Event) -> Vec<(ReportKind, f64)> {
    match event.kind.as_str() {
        LAYERS => layers(&event.data),
        LoadReport::FIELD => {
            let r = reports(Some(&event.data));
            let notes = [(ReportKind::LinkUse, r.link), (ReportKind::UplinkUse, r.uplink)];
            notes.into_iter().filter_map(|(k, v)| Some((k, v?))).collect()
        }
        _ => Vec::new(),
    }
}

/// The figures of a load report.
pub(crate) fn reports(field: Option<&str>) -> Reports {
    let report = field.and_then(LoadReport::parse);
    let figure = |name| report.as_ref().and_then(|r| r.get(name)).filter(|v| *v >= 0.0);
    Reports { link: figure(LINK), uplink: figure(UPLINK) }
}

fn layers(data: &str) -> Vec<(ReportKind, f64)> {
    let Ok(Value::Object(media)) = serde_json::from_str::<Value>(data) else { return Vec::new() };
    let active = media.values().take(32).find_map(|m| m.get("active")?.as_array()?.first().cloned());
    let Some(active) = active else { return Vec::new() };
    let mut notes = Vec::new();
    let id = active.get("encodingId").or_else(|| active.get("id")).and_then(Value::as_str);
    if let Some(rung) = id.and_then(|i| i.parse::<Rung>().ok()) {
        notes.push((ReportKind::RungInForce, rung as f64));
    }
    let rate = |name: &str| active.get(name).and_then(Value::as_f64).filter(|v| *v >= 0.0);
    if let (Some(is), Some(meant)) = (rate("bitrate"), rate("targetBitrate"))
        && meant > 0.0
    {
        notes.push((ReportKind::Delivered, (is / meant).min(1.0)));
    }
    notes
}
