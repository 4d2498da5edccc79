"""Guards against result codes that no HTTP status carries."""

import pytest

from mimosapost.model.codes import ResultCode, get_status


@pytest.mark.parametrize("code", list(ResultCode))
def test_each_code_has_a_status(code):
    assert 200 <= get_status(code) <= 599
