"""What the metrics of all nodes of a fleet say together.

`pages` reads the metric pages of the nodes, `measures` takes one figure of each from
them, and `outliers` finds the nodes whose figures stand out.
"""

from comfreywharf.fleet.measures import MEASURES, Measure
from comfreywharf.fleet.outliers import Deviation, Outlier, find_outliers
from comfreywharf.fleet.pages import MetricPage, PageError, read_page

__all__ = [
    "MEASURES",
    "Deviation",
    "Measure",
    "MetricPage",
    "Outlier",
    "PageError",
    "find_outliers",
    "read_page",
]
