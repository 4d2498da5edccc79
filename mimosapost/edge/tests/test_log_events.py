"""Each log event in the source must be listed on the page for operators."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[3]
LOG_CALL = re.compile(
    r"(?:WriteLog|_?logs?\.(?:write|info|warning|error))\(\s*\"([a-z][a-z_]+)\""
)


def test_every_log_event_is_documented():
    sources = [p for p in (ROOT / "mimosapost").rglob("*.py") if "tests" not in p.parts]
    events = {event for path in sources for event in LOG_CALL.findall(path.read_text())}
    page = (ROOT / "docs" / "metrics-and-logs.md").read_text()
    assert "config_accepted" in events
    assert sorted(event for event in events if f"`{event}`" not in page) == []
