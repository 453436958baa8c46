"""What the compared ways of keeping a limit give its server and callers."""

import pytest

from comfreywharf_dev.comparisons.limits import Bucket, Pacing, Window, simulate_limit


@pytest.mark.parametrize("limit_per_s", [0.25, 1.5, 4.9, 14.4])
def test_the_bucket_uses_the_limit_and_keeps_it(limit_per_s):
    """Guards against a limit that is kept by starving its server."""
    outcomes = simulate_limit(Bucket, limit_per_s, 2.5)
    assert outcomes.most_in_4_s * limit_per_s * 4 <= 4 * limit_per_s + 5
    assert outcomes.used >= simulate_limit(Window, limit_per_s, 2.5).used


def test_the_bucket_lets_clumps_wait_less_than_pacing():
    """Guards against waits at a server that has room in the mean."""
    bucket = simulate_limit(Bucket, 14.4, 0.9)
    pacing = simulate_limit(Pacing, 14.4, 0.9)
    assert bucket.wait_s < pacing.wait_s
    assert bucket.served >= pacing.served
