"""Tests of `briarfall.logs`: JSON fields, limits, no blocking."""

import json
import logging
import os

from briarfall import logs


def record(message, level=logging.INFO):
    row = logging.LogRecord("x", level, "f", 1, message, (), None)
    row.created = 1000.0
    return row


class TestJsonFormatter:
    def test_fields_have_no_trailing_punctuation(self):
        line = logs.JsonFormatter("i1").format(
            record("send failed request=ab12 sends=2: no answer")
        )
        fields = json.loads(line)
        assert fields["request"] == "ab12"
        assert fields["sends"] == "2"
        assert fields["instance"] == "i1"


class TestBoundedHandler:
    def test_stalled_reader_does_not_block_emit(self):
        reader, writer = os.pipe()
        try:
            handler = logs.BoundedHandler(writer, logs.JsonFormatter("i1"))
            # More lines than the pipe and the queue hold together, so that a
            # blocking `emit` would hang here.
            for _ in range(50_000):
                handler.emit(record("y" * 100, logging.WARNING))
            assert handler.dropped > 0
        finally:
            os.close(reader)
            handler._queue.join()
            os.close(writer)

    def test_info_lines_are_dropped_before_warnings(self):
        reader, writer = os.pipe()
        handler = logs.BoundedHandler(writer, logs.JsonFormatter("i1"))
        for _ in range(1000):
            handler.emit(record("well"))
        handler.emit(record("bad", logging.WARNING))
        handler._queue.join()
        os.close(writer)
        with os.fdopen(reader, "rb") as file:
            lines = file.read().decode().splitlines()
        assert len(lines) < 300
        assert any('"bad"' in line for line in lines)
        assert any("dropped=" in line for line in lines)
        assert handler.dropped > 0
