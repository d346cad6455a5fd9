"""Merges the event timelines of all instances."""

from __future__ import annotations

import datetime
import json

import attrs

from gentianwall.ctl.client import OperatorClient, Reply


@attrs.frozen
class MergedTimeline:
    """Events of all instances by time, and addresses that did not answer."""

    events: tuple[dict, ...]
    silent: tuple[str, ...]


def collect(
    client: OperatorClient,
    request_id: str = "",
    subject: str = "",
    kind: str = "",
) -> MergedTimeline:
    """Gets, merges and filters the events of all instances.

    Args:
        client: Client with the operators' addresses of all instances.
        request_id: If not empty, keeps only events of this request.
        subject: If not empty, keeps only events whose subject contains it.
        kind: If not empty, keeps only events of this kind.
    """
    events = []
    silent = []
    for address, reply in client.get_each("/v1/timeline").items():
        if isinstance(reply, Reply) and reply.status == 200:
            events += reply.content["events"]
        else:
            silent.append(address)
    matching = [
        event
        for event in events
        if (not request_id or event["request_id"] == request_id)
        and (not subject or subject in event["subject"])
        and (not kind or event["kind"] == kind)
    ]
    matching.sort(key=lambda e: (e["wall_ms"], e["counter"], e["instance"]))
    return MergedTimeline(tuple(matching), tuple(silent))


def render(timeline: MergedTimeline) -> str:
    """Renders a line for each event and each address without an answer."""
    lines = []
    for event in timeline.events:
        happened_at = datetime.datetime.fromtimestamp(
            event["wall_ms"] / 1000.0, datetime.UTC
        )
        stamp = f"{happened_at:%Y-%m-%d %H:%M:%S}.{event['wall_ms'] % 1000:03d}"
        parts = [stamp, event["instance"], event["kind"], event["subject"]]
        parts += [event["detail"], event["request_id"]]
        lines.append("  ".join(part for part in parts if part))
    lines += [f"no answer from {address}" for address in timeline.silent]
    return "\n".join(lines)


def render_trace(timeline: MergedTimeline) -> str:
    """Renders the events in the Chrome trace event format."""
    instances = sorted({event["instance"] for event in timeline.events})
    instant_events = [
        {
            "name": event["kind"],
            "ph": "i",
            "s": "p",
            "ts": event["wall_ms"] * 1000 + event["counter"] % 1000,
            "pid": instances.index(event["instance"]) + 1,
            "tid": 1,
            "args": {
                key: event[key] for key in ("subject", "detail", "request_id")
            },
        }
        for event in timeline.events
    ]
    process_names = [
        {
            "name": "process_name",
            "ph": "M",
            "pid": number,
            "args": {"name": name},
        }
        for number, name in enumerate(instances, start=1)
    ]
    return json.dumps({"traceEvents": process_names + instant_events})
