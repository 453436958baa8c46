"""Load traces for replays of placement, made by seeded builders.

A trace gives the requests per second of each key at any time, and when servers
drain, stop and start. Rates are expected values; the replay adds random noise to
the counts.
"""

import numpy as np
from attrs import Factory, field, frozen

from comfreywharf.records import KEY_SPACE, ServiceConfig

__all__ = [
    "AHMEDABAD",
    "LARGE",
    "RIGA",
    "TRACES",
    "Deployment",
    "HotKeyPeriod",
    "LoadTrace",
    "NodeEvent",
]

MINUTE_S = 60
EDGE_S = 20.0


@frozen(kw_only=True)
class Deployment:
    """The servers, failure domains and number of keys of a service divided by key."""

    name: str
    service: ServiceConfig
    servers: int
    slots: int
    domains: tuple[str, ...]
    regions: int = 1
    keys: int = 4000

    @property
    def node_ids(self):
        """Return the ids of the nodes, one beside each server."""
        return [f"{self.service.name}-{index:03d}" for index in range(self.servers)]

    def domain_of(self, node_id):
        """Return a node's failure domain."""
        return self.domains[self.node_ids.index(node_id) % len(self.domains)]

    def region_of(self, node_id):
        """Return a node's region."""
        index = self.node_ids.index(node_id) % len(self.domains)
        return f"region-{index * self.regions // len(self.domains)}"


RIGA = Deployment(
    name="riga",
    service=ServiceConfig(name="booking", unavailable_weight=3.0, churn_weight=1.0),
    servers=7,
    slots=12,
    domains=("agenskalns", "teika", "purvciems"),
)

AHMEDABAD = Deployment(
    name="ahmedabad",
    service=ServiceConfig(name="records", unavailable_weight=1.0, churn_weight=3.0),
    servers=8,
    slots=9,
    domains=("naroda", "vasna", "civic"),
)

LARGE = Deployment(
    name="large",
    service=ServiceConfig(name="booking", slices=10_000),
    servers=640,
    slots=12,
    domains=tuple(f"domain-{number}" for number in range(6)),
    regions=2,
    keys=60_000,
)


@frozen(kw_only=True)
class HotKeyPeriod:
    """A period in which a key is hot; ``share`` is a fraction of a server's fair load.

    The rate rises at its start and falls at its end linearly, each within `EDGE_S`.
    """

    key: int
    from_s: float
    to_s: float
    share: float


@frozen(kw_only=True)
class NodeEvent:
    """A server drains (``drain``), stops (``stop``) or starts (``start``)."""

    at_s: float
    node_id: str
    kind: str


@frozen(kw_only=True)
class LoadTrace:
    """Request rates of keys over time, and the events of the servers."""

    name: str
    deployment: Deployment
    duration_s: float
    positions: np.ndarray
    popularity: np.ndarray
    hot: tuple[HotKeyPeriod, ...] = ()
    events: tuple[NodeEvent, ...] = ()
    curve: tuple[tuple[float, float], ...] = ((0.0, 1.0),)
    peak_per_s: float = field(
        default=Factory(lambda self: 100.0 * self.deployment.servers, takes_self=True)
    )

    _hot_columns: tuple = field(
        init=False, default=Factory(lambda self: _columns(self.hot), takes_self=True)
    )

    def rates(self, now_s):
        """Return the requests per second of each key at a time."""
        times, levels = zip(*self.curve, strict=True)
        total = self.peak_per_s * np.interp(now_s, times, levels)
        fair = total / self.deployment.servers
        keys, from_s, to_s, shares = self._hot_columns
        edges = np.minimum(now_s - from_s, to_s - now_s) / EDGE_S
        hot = fair * shares * np.clip(edges, 0.0, 1.0)
        rates = self.popularity * (total - hot.sum())
        np.add.at(rates, keys, hot)
        return rates


def _columns(periods):
    keys = np.array([period.key for period in periods], dtype=np.int64)
    columns = [
        np.array([getattr(period, name) for period in periods], dtype=float)
        for name in ("from_s", "to_s", "share")
    ]
    return keys, *columns


def _positions_and_popularity(deployment, rng, exponent):
    """Return the positions of all keys in the hash space, and their popularities.

    Popularities follow Zipf's law without the first ranks, so that no key exceeds a
    server's capacity.
    """
    positions = np.sort(
        rng.integers(0, KEY_SPACE - 1, deployment.keys, dtype=np.int64, endpoint=True)
    )
    ranks = rng.permutation(deployment.keys) + deployment.keys // 200
    popularity = ranks.astype(float) ** -exponent
    return positions, popularity / popularity.sum()


def _trace(name, deployment, rng, **fields):
    positions, popularity = _positions_and_popularity(deployment, rng, exponent=0.8)
    return LoadTrace(
        name=name,
        deployment=deployment,
        positions=positions,
        popularity=popularity,
        **fields,
    )


def _hot_periods(deployment, rng, count, length_s, duration_s, shares):
    """Return hot keys that are replaced by others every ``length_s``.

    ``shares`` is the range of `HotKeyPeriod.share`.
    """
    periods = []
    from_s = 60.0
    while from_s < duration_s:
        for key in rng.choice(deployment.keys, count, replace=False):
            start_s = from_s + rng.uniform(0, length_s / 3)
            periods.append(
                HotKeyPeriod(
                    key=int(key),
                    from_s=start_s,
                    to_s=start_s + length_s,
                    share=rng.uniform(*shares),
                )
            )
        from_s += length_s
    return tuple(periods)


def deadline_rush(deployment, rng):
    """Return a trace whose load rises sevenfold within ten minutes and falls again."""
    duration_s = 40 * MINUTE_S
    curve = ((0, 0.15), (300, 0.15), (900, 1.0), (1500, 1.0), (2100, 0.3))
    hot = _hot_periods(deployment, rng, 3, 600.0, duration_s, (0.1, 0.4))
    return _trace(
        "deadline_rush", deployment, rng, duration_s=duration_s, curve=curve, hot=hot
    )


def wedding_season(deployment, rng):
    """Return a trace in which one calendar after another is hot."""
    duration_s = 40 * MINUTE_S
    hot = _hot_periods(deployment, rng, 1, 480.0, duration_s, (0.5, 0.8))
    return _trace("wedding_season", deployment, rng, duration_s=duration_s, hot=hot)


def licensing_round(deployment, rng):
    """Return a trace in which some records are read and written constantly."""
    duration_s = 40 * MINUTE_S
    hot = _hot_periods(deployment, rng, 8, 1200.0, duration_s, (0.15, 0.5))
    curve = ((0, 0.3), (300, 1.0), (1800, 1.0), (2400, 0.4))
    return _trace(
        "licensing_round", deployment, rng, duration_s=duration_s, curve=curve, hot=hot
    )


def changing_hot_keys(deployment, rng):
    """Return a trace whose 25 hottest keys change every three minutes."""
    duration_s = 30 * MINUTE_S
    hot = _hot_periods(deployment, rng, 25, 180.0, duration_s, (0.04, 0.25))
    return _trace("changing_hot_keys", deployment, rng, duration_s=duration_s, hot=hot)


def hasty_restart(deployment, rng):
    """Return a rolling restart that continues before restarted servers are warm."""
    return rolling_restart(deployment, rng, period_s=55.0)


def rolling_restart(deployment, rng, period_s=150.0):
    """Return a trace in which each server drains, stops and restarts cold."""
    events = []
    for index, node_id in enumerate(deployment.node_ids):
        at_s = 120.0 + index * period_s
        events += [
            NodeEvent(at_s=at_s, node_id=node_id, kind="drain"),
            NodeEvent(at_s=at_s + 20, node_id=node_id, kind="stop"),
            NodeEvent(at_s=at_s + 50, node_id=node_id, kind="start"),
        ]
    return _trace(
        "rolling_restart",
        deployment,
        rng,
        duration_s=events[-1].at_s + 5 * MINUTE_S,
        events=tuple(sorted(events, key=lambda event: event.at_s)),
        curve=((0.0, 0.6),),
    )


def domain_loss(deployment, rng):
    """Return a trace in which a failure domain is lost, and later returns."""
    domain = deployment.domains[0]
    lost = [n for n in deployment.node_ids if deployment.domain_of(n) == domain]
    events = [NodeEvent(at_s=300.0, node_id=node_id, kind="stop") for node_id in lost]
    events += [NodeEvent(at_s=900.0, node_id=node_id, kind="start") for node_id in lost]
    return _trace(
        "domain_loss",
        deployment,
        rng,
        duration_s=30 * MINUTE_S,
        events=tuple(events),
        curve=((0.0, 0.6),),
    )


TRACES = (
    deadline_rush,
    wedding_season,
    licensing_round,
    changing_hot_keys,
    rolling_restart,
    domain_loss,
)
