"""Every code needs its entry in the tables of HTTP statuses and explanations.

A code that was added to its enum only would raise ``KeyError`` when an answer is sent or the
reference page is generated.
"""

import pytest

from mimosapost.model.codes import (
    MissingReason,
    ResultCode,
    get_explanation,
    get_http_status,
    get_missing_reason_meaning,
)


@pytest.mark.parametrize("code", list(ResultCode))
def test_each_code_has_an_http_status(code):
    assert 200 <= get_http_status(code) <= 599


@pytest.mark.parametrize("code", list(ResultCode))
def test_each_code_is_explained(code):
    assert all(get_explanation(code))


@pytest.mark.parametrize("reason", list(MissingReason))
def test_each_missing_reason_is_explained(reason):
    assert get_missing_reason_meaning(reason)
