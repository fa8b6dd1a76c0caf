"""Tests of ``promote``: waiting for hosts and repeated attempts."""

from tests.cli.transcript import ROOT, Run, Served

EXAMPLE = str(ROOT / 'docs/examples/environment.toml')


def promote(served: Served, *more: str) -> Run:
    """Promote the example as the first version."""
    return Run(
        [
            'promote',
            EXAMPLE,
            '--agent',
            served.url,
            '--replaces=0',
            '--operator=anna',
            *more,
        ],
    )


def test_agent_without_host_list():
    """Guards against success when the agent knows no host."""
    with Served().running() as served:
        served.agent.peers = list
        run = promote(served, '--wait=0.1')
    assert run.status == 1
    assert 'not_ready: the agent has no host list yet' in run.errors


def test_leaving_hosts_are_not_waited_for():
    """Guards against a wait for a host that is shut down."""
    with Served().running() as served:
        served.agent.unreachable.add('eh-2')
        served.agent.state_of['eh-2'] = 'leaving'
        run = promote(served, '--wait=1')
    assert (run.status, run.output.splitlines()[1:]) == (
        0,
        ['all live hosts have version 1'],
    )


def test_attempt_id_is_generated_and_shown():
    """Guards against an attempt that cannot be retried with its id."""
    with Served().running() as served:
        first = promote(served)
        attempt = first.errors.split()[1]
        again = promote(served, f'--attempt={attempt}')
    assert first.output == again.output
