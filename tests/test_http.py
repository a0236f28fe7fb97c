import json
import socket

import pytest
import urllib3

from briarfall.standins import engine
from briarfall.standins import platform

HEADERS = {"Authorization": "Bearer tuvatu-key"}
BODY = {"model": "draft", "prompt": "a survey note", "max_tokens": 4}


@pytest.fixture(scope="module")
def inst():
    specs = [
        engine.EngineSpec("draft-a", "suva", 0, 12),
        engine.EngineSpec("draft-b", "suva", 12, 24),
    ]
    standin = platform.Platform(specs)
    standin.start()
    standin.put_accounts()
    standin.put("draft", standin.model("draft", 24))
    standin.put("booking", standin.service())
    started = standin.add_instance(max_body_bytes=10_000)
    assert standin.wait_ready()
    yield started
    standin.stop()


def post(inst, path="/v1/completions", body=None, **headers):
    data = body if isinstance(body, bytes) else json.dumps(body or BODY)
    return urllib3.request(
        "POST",
        inst.caller_url + path,
        body=data,
        headers={**HEADERS, **headers},
        retries=False,
        timeout=10,
    )


def raw(inst, data):
    host, port = inst.caller_server.address
    with socket.create_connection((host, port), timeout=10) as sock:
        sock.sendall(data)
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # The server has answered and ended the connection.
        response = b""
        while True:
            chunk = sock.recv(4096)
            if not chunk:
                return response
            response += chunk


class TestBadRequests:
    @pytest.mark.parametrize(
        ("changes", "status", "code"),
        [
            ({"prompt": ""}, 400, "bad_request"),
            ({"prompt": 5}, 400, "bad_request"),
            ({"max_tokens": 0}, 400, "bad_request"),
            ({"max_tokens": "x"}, 400, "bad_request"),
            ({"seed": -1}, 400, "bad_request"),
            ({"model": "absent"}, 404, "not_found"),
            ({"model": "booking"}, 404, "not_found"),
            ({"max_tokens": 100_000}, 413, "too_large"),
            ({"prompt": "x" * 20_000}, 413, "too_large"),
        ],
    )
    def test_invalid_field(self, inst, changes, status, code):
        resp = post(inst, body={**BODY, **changes})
        error = json.loads(resp.data)["error"]
        assert (resp.status, error["code"]) == (status, code)
        assert error["remedy"]
        assert error["outcome"] == "not_run"
        assert resp.headers["Briarfall-Outcome"] == "not_run"

    @pytest.mark.parametrize("body", [b"", b"{", b"\xff\xfe", b"[]", b"1"])
    def test_malformed_body(self, inst, body):
        assert post(inst, body=body).status == 400

    @pytest.mark.parametrize(
        ("name", "value", "status"),
        [
            ("Authorization", "Bearer wrong", 401),
            ("Authorization", "Basic x", 401),
            ("X-Deadline-Ms", "soon", 400),
            ("X-Deadline-Ms", "0", 400),
            ("X-Priority", "royal", 400),
            ("Last-Event-ID", "forged", 400),
        ],
    )
    def test_invalid_header(self, inst, name, value, status):
        assert post(inst, **{name: value}).status == status

    def test_unknown_path(self, inst):
        assert post(inst, "/v2/completions").status == 404

    @pytest.mark.parametrize(
        "data",
        [
            b"GARBAGE\r\n\r\n",
            b"POST /v1/completions HTTP/1.1\r\nContent-Length: x\r\n\r\n",
            b"POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
            b"Content-Length: 50\r\n\r\n{",
            b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 40_000 + b"\r\n\r\n",
        ],
    )
    def test_malformed_http(self, inst, data):
        answer = raw(inst, data)
        assert b" 4" in answer.split(b"\r\n")[0]
        assert post(inst).status == 200


class TestCompletions:
    def test_unstreamed(self, inst):
        data = json.loads(post(inst).data)
        assert len(data["choices"][0]["text"].split()) == 4
        assert data["usage"]["completion_tokens"] == 4

    def test_streamed_equals_unstreamed(self, inst):
        body = {**BODY, "seed": 5}
        whole = json.loads(post(inst, body=body).data)["choices"][0]["text"]
        lines = post(inst, body={**body, "stream": True}).data.split(b"\n")
        events = [
            json.loads(line[6:])
            for line in lines
            if line.startswith(b"data: {")
        ]
        text = "".join(e["choices"][0]["text"] for e in events)
        assert text == whole
        assert b"data: [DONE]" in lines

    def test_resume_returns_only_the_remaining_text(self, inst):
        body = {**BODY, "seed": 5, "stream": True}
        events = post(inst, body=body).data.split(b"\n\n")
        position = events[1].split(b"\n")[0][4:].decode()
        rest = post(inst, body=body, **{"Last-Event-ID": position}).data
        assert _texts(rest) == _texts(b"\n\n".join(events[2:]))

    def test_resume_by_another_client_is_refused(self, inst):
        body = {**BODY, "seed": 5, "stream": True}
        event = post(inst, body=body).data.split(b"\n")[0]
        headers = {
            "Last-Event-ID": event[4:].decode(),
            "Authorization": "Bearer statens-key",
        }
        resp = post(inst, body=body, **headers)
        assert json.loads(resp.data)["error"]["code"] == "bad_cursor"


def _texts(data):
    return [
        json.loads(line[6:])["choices"][0]["text"]
        for line in data.split(b"\n")
        if line.startswith(b"data: {")
    ]


class TestAdmin:
    def _get(self, inst, path, key="admin-key"):
        return urllib3.request(
            "GET",
            inst.admin_url + path,
            headers={"Authorization": f"Bearer {key}"},
        )

    @pytest.mark.parametrize("path", ["/healthz", "/readyz", "/metrics"])
    def test_paths_without_authentication(self, inst, path):
        assert self._get(inst, path, key="").status == 200

    @pytest.mark.parametrize("path", ["/status", "/catalogue", "/history"])
    def test_paths_for_operators_only(self, inst, path):
        assert self._get(inst, path).status == 200
        assert self._get(inst, path, "tuvatu-key").status == 401
        assert self._get(inst, path, "wrong").status == 401

    def test_metrics_count_requests(self, inst):
        post(inst)
        text = self._get(inst, "/metrics").data.decode()
        assert 'briarfall_requests_total{client="tuvatu"' in text
