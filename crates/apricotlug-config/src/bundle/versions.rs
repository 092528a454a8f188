//! Service versions and the moves between them.

use std::{mem, ops::RangeInclusive};

use apricotlug_model::{
    Bundle, FindingCode, HashMap, Move, ServiceKey, ServiceVersion, UnixTime, VersionKey,
};
use toml::{Spanned, de::DeValue};

use super::names::Names;
use crate::{
    datetime::unix_time,
    doc::{At, Doc},
    fields::Fields,
    value,
};

const SHARE_THOUSANDTHS: RangeInclusive<i64> = 1..=1000;
const FULL_SHARE: u16 = 1000;

/// Versions of all services. A faulty version keeps its name, without a key.
pub(super) struct Versions<'t> {
    ids: HashMap<(ServiceKey, &'t str), Option<VersionKey>>,
    offsets: Vec<usize>,
    moves: Vec<MoveRow<'t>>,
    has_faults: bool,
}

struct MoveRow<'t> {
    version: VersionKey,
    from: At<&'t str>,
    deadline: UnixTime,
    stages: Vec<u16>,
}

/// Reads all versions, then resolves the versions that moves leave.
pub(super) fn read<'t>(
    doc: &mut Doc<'_>,
    fields: &mut Fields<'t>,
    services: &Names<'t, ServiceKey>,
    now: Option<UnixTime>,
    bundle: &mut Bundle,
) -> Versions<'t> {
    let mut versions = Versions {
        ids: HashMap::default(),
        offsets: Vec::new(),
        moves: Vec::new(),
        has_faults: false,
    };
    let rows = fields.some_tables(doc, "service_version", "a version");
    versions.has_faults = rows.is_empty();
    for row in rows {
        if versions.read(doc, row, services, now, bundle).is_none() {
            versions.has_faults = true;
        }
    }
    for row in mem::take(&mut versions.moves) {
        versions.resolve_move(doc, row, bundle);
    }
    versions
}

impl<'t> Versions<'t> {
    /// Returns the key of a version of a service. Where no version could be read at all, that is
    /// the finding, and references add none.
    pub(super) fn resolve(
        &self,
        doc: &mut Doc<'_>,
        bundle: &Bundle,
        service: ServiceKey,
        id: At<&str>,
    ) -> Option<VersionKey> {
        if self.ids.is_empty() {
            return None;
        }
        let Some(version) = self.ids.get(&(service, id.value)) else {
            let service = &bundle.services[service].id;
            doc.add(
                FindingCode::UnknownReference,
                id.offset,
                format!("service {service:?} has no version {:?}", id.value),
                "name a version of this service, or add it",
            );
            return None;
        };
        *version
    }

    /// Returns the offset of a version.
    pub(super) fn offset(&self, version: VersionKey) -> usize {
        self.offsets[usize::from(version)]
    }

    /// Reports services that would not have exactly one serving version, unless a faulty version
    /// may be the missing one.
    pub(super) fn check(&self, doc: &mut Doc<'_>, service_offsets: &[usize], bundle: &Bundle) {
        for (service, &offset) in bundle.services.keys().zip(service_offsets) {
            let (incoming, serving): (Vec<_>, Vec<_>) = bundle.services[service]
                .versions
                .iter()
                .partition(|&&version| bundle.versions[version].incoming.is_some());
            self.check_serving(doc, offset, service, &serving, bundle);
            self.check_incoming(doc, &incoming);
        }
    }

    fn check_serving(
        &self,
        doc: &mut Doc<'_>,
        offset: usize,
        service: ServiceKey,
        serving: &[VersionKey],
        bundle: &Bundle,
    ) {
        let id = &bundle.services[service].id;
        if serving.is_empty() && !self.has_faults {
            doc.add(
                FindingCode::Contradiction,
                offset,
                format!("service {id:?} has no version that serves already"),
                "add a version without `move`",
            );
        }
        for &version in serving.iter().skip(1) {
            doc.add(
                FindingCode::Contradiction,
                self.offset(version),
                format!("service {id:?} has a second version that serves, with no move to it"),
                "add `move` to the version that comes in, or remove the one that left",
            );
        }
    }

    fn check_incoming(&self, doc: &mut Doc<'_>, incoming: &[VersionKey]) {
        for &version in incoming.iter().skip(1) {
            doc.add(
                FindingCode::Contradiction,
                self.offset(version),
                "the service has a second move at the same time",
                "finish or take back one move before the next begins",
            );
        }
    }

    fn read(
        &mut self,
        doc: &mut Doc<'_>,
        mut row: Fields<'t>,
        services: &Names<'t, ServiceKey>,
        now: Option<UnixTime>,
        bundle: &mut Bundle,
    ) -> Option<()> {
        let id = row.id(doc, "id");
        let service = row.string(doc, "service");
        let service = service.and_then(|service| services.resolve(doc, service));
        let move_row = row.optional_table(doc, "move", "a move");
        let is_incoming = row.has("move");
        row.finish(doc);
        let movement = move_row.and_then(|move_row| read_move(doc, move_row, now));
        let (id, service) = (id?, service?);
        if self.ids.contains_key(&(service, id.value)) {
            add_duplicate(doc, id);
            return None;
        }
        let is_whole = movement.is_some() == is_incoming;
        let version = is_whole.then(|| self.push(id, service, bundle));
        self.ids.insert((service, id.value), version);
        let version = version?;
        if let Some((from, deadline, stages)) = movement {
            self.moves.push(MoveRow {
                version,
                from,
                deadline,
                stages,
            });
        }
        Some(())
    }

    fn push(&mut self, id: At<&str>, service: ServiceKey, bundle: &mut Bundle) -> VersionKey {
        let version = bundle.versions.push(ServiceVersion {
            id: id.value.to_owned(),
            service,
            incoming: None,
        });
        bundle.services[service].versions.push(version);
        self.offsets.push(id.offset);
        version
    }

    fn resolve_move(&mut self, doc: &mut Doc<'_>, row: MoveRow<'t>, bundle: &mut Bundle) {
        let service = bundle.versions[row.version].service;
        let from = self.resolve(doc, bundle, service, row.from);
        if from == Some(row.version) {
            doc.add(
                FindingCode::Contradiction,
                row.from.offset,
                "the move leaves the version that it brings in",
                "name the version that serves now",
            );
        }
        bundle.versions[row.version].incoming = Some(Move {
            from: from.unwrap_or(row.version),
            deadline: row.deadline,
            stages: row.stages,
        });
    }
}

fn add_duplicate(doc: &mut Doc<'_>, id: At<&str>) {
    doc.add(
        FindingCode::Duplicate,
        id.offset,
        format!("the service has version {:?} already", id.value),
        "rename or remove one of them",
    );
}

fn read_move<'t>(
    doc: &mut Doc<'_>,
    mut row: Fields<'t>,
    now: Option<UnixTime>,
) -> Option<(At<&'t str>, UnixTime, Vec<u16>)> {
    let from = row.string(doc, "from");
    let deadline = row.required(doc, "deadline");
    let deadline = deadline.and_then(|deadline| read_deadline(doc, deadline, now));
    let stages = row.required(doc, "stages");
    let stages = stages.and_then(|stages| read_stages(doc, stages));
    row.finish(doc);
    Some((from?, deadline?, stages?))
}

fn read_deadline(
    doc: &mut Doc<'_>,
    value: &Spanned<DeValue<'_>>,
    now: Option<UnixTime>,
) -> Option<UnixTime> {
    let offset = value.span().start;
    let Some(datetime) = value.get_ref().as_datetime() else {
        let expected = "a datetime without quotes, e.g. 2027-03-01T18:00:00Z";
        value::wrong_type(doc, value, "deadline", expected);
        return None;
    };
    let Some(deadline) = unix_time(datetime) else {
        doc.add(
            FindingCode::OutOfRange,
            offset,
            format!("`deadline` {datetime} names no point in time"),
            "write date, time and offset, e.g. 2027-03-01T18:00:00Z",
        );
        return None;
    };
    if now.is_some_and(|now| deadline.is_past(now)) {
        doc.add(
            FindingCode::PastDeadline,
            offset,
            format!("the deadline {datetime} lies in the past"),
            "set a later deadline, or remove the move where it is finished",
        );
    }
    Some(deadline)
}

fn read_stages(doc: &mut Doc<'_>, value: &Spanned<DeValue<'_>>) -> Option<Vec<u16>> {
    let items = value::some_list(doc, value, "stages");
    let stages: Vec<_> = items
        .iter()
        .map(|item| value::integer(doc, item, "stages", SHARE_THOUSANDTHS))
        .collect();
    let stages: Vec<u16> = stages.into_iter().collect::<Option<_>>()?;
    let is_rising = stages.windows(2).all(|pair| pair[0] < pair[1]);
    let is_full = stages.last().is_none_or(|&last| last == FULL_SHARE);
    if !is_rising || !is_full {
        doc.add(
            FindingCode::Contradiction,
            value.span().start,
            format!("`stages` {stages:?} do not rise to {FULL_SHARE}"),
            "write rising shares in thousandths that end at 1000, e.g. [10, 100, 500, 1000]",
        );
    }
    Some(stages)
}
