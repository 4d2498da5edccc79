"""Tests for the access of ``mimosapost demo`` to a deployment, and for its error messages."""

import aiohttp
import pytest

from mimosapost.bench.running import DeploymentError, RunningDeployment, sum_counters
from mimosapost.commands.entry import main
from mimosapost.standins.backends import Backends
from mimosapost.standins.behaviour import Behaviour
from mimosapost.standins.platform import PlatformStandin
from mimosapost.standins.trees import create_sapatilha, format_tree


async def test_domain_is_taken_out_and_in_with_rising_versions():
    """Check that each published fleet subtree has a higher version than the one before.

    Instances do not accept a subtree whose version is not higher, so the failure domain would
    stay in service.
    """
    published = create_sapatilha(1)
    servers = {slot.server for slot in published.teams[0].services[0].leafs[0].slots}
    platform = PlatformStandin()
    await platform.start()
    try:
        platform.publish("fleet", 7, format_tree(published.fleet).encode())
        for team in published.teams:
            platform.publish(team.team, 1, format_tree(team).encode())
        async with (
            Backends({name: Behaviour() for name in servers}) as backends,
            aiohttp.ClientSession() as session,
        ):
            address = platform.base_url.removeprefix("http://")
            deployment = RunningDeployment(session, (), (), address, backends.control_address)
            await deployment.wait_until_ready(5.0)
            tree = await deployment.read_tree()
            assert tree.teams == published.teams
            assert tree.list_servers("porto-a")
            assert not tree.list_servers("porto-a") & tree.list_servers("braga-a")
            assert await deployment.publish_domains_out(tree, ("porto-a",)) == 8
            assert (await deployment.read_tree()).fleet.domains_out == ("porto-a",)
            assert await deployment.publish_domains_out(tree, ()) == 9
            restored = await deployment.read_tree()
            assert (restored.fleet.version, restored.fleet.domains_out) == (9, ())
            await deployment.fall_cold(servers)
            assert all(server.behaviour.cold for server in backends.servers.values())
            assert {record["name"] for record in await deployment.read_records()} == servers
    finally:
        await platform.stop()


async def test_error_names_the_instance_that_is_not_ready():
    async with aiohttp.ClientSession() as session:
        deployment = RunningDeployment(
            session, ("127.0.0.1:1",), (), "127.0.0.1:1", "127.0.0.1:1"
        )
        with pytest.raises(DeploymentError, match=r"not ready .*http://127\.0\.0\.1:1/readyz"):
            await deployment.wait_until_ready(0.0)


def test_counters_sum_over_labels_and_instances():
    pages = [
        'mimosapost_a_total{x="1"} 2\nmimosapost_a_total{x="2"} 3',
        "mimosapost_a_total 1.0",
    ]
    assert sum_counters(pages) == {"mimosapost_a_total": 6}


@pytest.mark.parametrize(
    "arguments",
    [
        pytest.param(["--seconds", "11"], id="duration too short"),
        pytest.param(["--rate", "0"], id="rate 0"),
    ],
)
def test_invalid_duration_or_rate_is_refused(arguments, capsys):
    assert main(["demo", *arguments]) == 2
    assert "at least 12 seconds" in capsys.readouterr().err
