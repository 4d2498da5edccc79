"""Guards against log events that the page for operators does not name."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[3]
CALL = re.compile(r"(?:WriteLog|_?logs?\.(?:write|info|warning|error))\(\s*\"([a-z][a-z_]+)\"")


def test_every_log_event_is_documented():
    sources = [p for p in (ROOT / "mimosapost").rglob("*.py") if "tests" not in p.parts]
    events = {event for path in sources for event in CALL.findall(path.read_text())}
    page = (ROOT / "docs" / "metrics-and-logs.md").read_text()
    assert "config_accepted" in events
    assert sorted(event for event in events if f"`{event}`" not in page) == []
