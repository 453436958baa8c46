"""Read a metric page in the text format of Prometheus."""

import attrs
from prometheus_client.parser import text_string_to_metric_families

__all__ = ["MetricPage", "PageError", "read_page"]

PREFIX = "comfreywharf_"


class PageError(ValueError):
    """A text isn't a metric page of a node."""


@attrs.frozen
class MetricPage:
    """The samples of one node's metric page.

    ``samples`` maps the name of a sample, without the project's prefix, to pairs of
    its labels and its value.
    """

    node_id: str
    samples: dict[str, list[tuple[dict[str, str], float]]]

    def total(self, name, **labels):
        """Return the sum of the samples that have these labels; 0.0 without any.

        A label's value is one that is accepted, or a collection of them.
        """
        return sum(
            value
            for found, value in self.samples.get(name, ())
            if all(_matches(found.get(key), wanted) for key, wanted in labels.items())
        )

    def value(self, name):
        """Return the value of a sample without labels, or ``None``."""
        samples = self.samples.get(name)
        return samples[0][1] if samples else None


def _matches(value, wanted):
    return value == wanted if isinstance(wanted, str) else value in wanted


def read_page(node_id, text):
    """Return the `MetricPage` of a text; raise `PageError` if it isn't one.

    Metrics of other programs on the same page are left out.

    >>> page = read_page("n1", "comfreywharf_fold_offset 42\\n")
    >>> page.value("fold_offset")
    42
    """
    samples = {}
    try:
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                if sample.name.startswith(PREFIX):
                    name = sample.name.removeprefix(PREFIX)
                    samples.setdefault(name, []).append((sample.labels, sample.value))
    except (ValueError, IndexError, KeyError) as error:
        raise PageError(f"not in the text format of Prometheus: {error}") from error
    if not samples:
        raise PageError(f"no metric named {PREFIX}...")
    return MetricPage(node_id, samples)
