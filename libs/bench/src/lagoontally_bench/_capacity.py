"""Measures a balancer's cost in CPU time, memory and bytes by its size."""

from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

import numpy as np

from lagoontally_model import (
    document_digest,
    join_sections,
    parse_template,
    split_sections,
)

from ._capacity_flows import measure_flows
from ._capacity_members import measure_members
from ._capacity_process import CpuTimer
from ._core_driver import (
    make_document,
)

LINE_SIZES = (10_000, 100_000, 300_000)
QUICK_LINE_SIZES = (2_000, 4_000, 8_000)
MEMBER_SIZES = (58, 230, 460)
TARGET_SIZES = (25, 250, 2_500)
TEMPLATE_SERVICES = 25
WORKERS = 2


class TemplateCost(NamedTuple):
    """Costs of a template.

    Attributes:
        targets: Number of its targets.
        document_bytes: Its size.
        section_bytes: Size of its largest section, the unit that peers exchange.
        adopt_us: CPU time to validate, digest, split and join it.
    """

    targets: int
    document_bytes: int
    section_bytes: int
    adopt_us: float


def measure(*, quick=False):
    """Return all costs; each size is measured in its own process."""
    sizes = QUICK_LINE_SIZES if quick else LINE_SIZES
    with ProcessPoolExecutor(WORKERS, max_tasks_per_child=1) as executor:
        flows = executor.map(measure_flows, sizes)
        members = executor.map(measure_members, MEMBER_SIZES)
        templates = executor.map(measure_template, TARGET_SIZES)
        return {
            "flows": [item._asdict() for item in flows],
            "members": [item._asdict() for item in members],
            "templates": [item._asdict() for item in templates],
        }


def slope(rows, size, measure_name):
    """Return the gradient and intercept of a least-squares fit of cost over size."""
    xs = [row[size] for row in rows]
    ys = [row[measure_name] for row in rows]
    gradient, intercept = np.polyfit(xs, ys, 1)
    return float(gradient), float(intercept)


def measure_template(targets):
    """Measure a template with this many targets."""
    services = min(TEMPLATE_SERVICES, targets)
    document = make_document(targets, services=services)
    sections = split_sections(document)
    largest = max(sections.values(), key=len)
    timer = CpuTimer()
    times = 5
    for _ in range(times):
        with timer:
            parse_template(document)
            document_digest(document)
            join_sections(split_sections(document))
    return TemplateCost(targets, len(document), len(largest), timer.mean_us(times))
