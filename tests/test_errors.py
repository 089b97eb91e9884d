"""Guard against an error kind without a response or with a wrong one."""

import pytest

from wisteriaworks.errors import ERROR_RESPONSES, ErrorKind, RequestError, RunState


@pytest.mark.parametrize("kind", ErrorKind)
def test_every_kind_has_a_response(kind):
    response = ERROR_RESPONSES[kind]
    assert 400 <= response.http_status < 600
    assert RequestError(kind, "why").run_state is response.run_state


@pytest.mark.parametrize("kind", ErrorKind)
def test_retry_is_safe_only_when_nothing_ran(kind):
    response = ERROR_RESPONSES[kind]
    assert response.retry_safe == (response.run_state is RunState.NOT_RUN)
