"""A caller of the demo: sends requests, follows streams, checks answers."""

import http.client
import json
import socket

from demo_system import CUSTOMER_KEY, DemoFailure, fetch_json

WORDS = "feeder reel slot nozzle board check swap line".split()
FINAL_EVENTS = {"done", "refused", "failed", "unknown", "cancelled"}


def fnv1a(data):
    value = 0xCBF29CE484222325
    for byte in data:
        value = ((value ^ byte) * 0x100000001B3) & (2**64 - 1)
    return value


def expected_answer(prompt, tokens):
    """What fake-engine answers, whichever of them; see docs/INTERFACES.md."""
    prompt_hash = f"{fnv1a(prompt.encode()):016x}"
    text = ""
    for index in range(tokens):
        value = fnv1a(f"{index}:{prompt_hash}".encode())
        text += f"{WORDS[value % 8]}-{(value >> 8) % 10000} "
    return text


def expected_ticket(body):
    """What fake-service answers to a body."""
    text = json.dumps(body, separators=(",", ":"), ensure_ascii=False)
    return f"T-{fnv1a(text.encode()):016x}"


def entries_of(seed):
    answer = fetch_json(seed, "/v1/entries")
    return [entry["address"] for entry in answer["entries"]] if answer else []


def connect(address, timeout=5.0):
    host, port = address.rsplit(":", 1)
    return http.client.HTTPConnection(host, int(port), timeout=timeout)


def common_headers(accept):
    return {"authorization": f"Bearer {CUSTOMER_KEY}", "accept": accept}


def read_events(response):
    """Gives the events of a stream until it ends."""
    event = {}
    for raw in response:
        line = raw.decode().rstrip("\r\n")
        if not line:
            if "data" in event:
                yield event
            event = {}
        elif not line.startswith(":"):
            name, _, value = line.partition(":")
            event[name] = value.removeprefix(" ")


class StreamedRequest:
    """A streamed request that goes on through other entries until its end."""

    def __init__(self, key, prompt, tokens):
        self.key = key
        self.body = {"prompt": prompt, "max_tokens": tokens}
        self.text = ""
        self.last_id = None
        self.accepted = False
        self.path = None
        self.entries_used = []

    def run(self, entries, on_token=None, tries=40):
        """Returns once the whole answer is here; entries() gives addresses."""
        for turn in range(tries):
            addresses = entries()
            if not addresses:
                continue
            if self._follow(addresses[turn % len(addresses)], on_token):
                return
        raise DemoFailure(f"{self.key} was not answered after {tries} tries")

    def _follow(self, address, on_token):
        connection = connect(address)
        try:
            self._send(connection)
            response = connection.getresponse()
            if response.status != 200:
                reason = response.read().decode(errors="replace")
                if response.status == 404:
                    self.accepted = False
                elif '"moved"' not in reason and "not-confirmed" not in reason:
                    raise DemoFailure(f"{self.key}: {response.status} {reason}")
                return False
            self.entries_used.append(response.getheader("x-entry", address))
            return any(self._take(event, on_token) for event in read_events(response))
        except (OSError, http.client.HTTPException, socket.timeout):
            return False
        finally:
            connection.close()

    def _send(self, connection):
        headers = common_headers("text/event-stream")
        if self.accepted:
            if self.last_id:
                headers["last-event-id"] = self.last_id
            connection.request("GET", f"/v1/requests/{self.key}", headers=headers)
        else:
            headers |= {"idempotency-key": self.key, "x-deadline-ms": "30000",
                        "content-type": "application/json"}
            connection.request("POST", "/v1/services/assistant/requests",
                               json.dumps(self.body), headers)

    def _take(self, event, on_token):
        """Returns True iff the event ends the request."""
        name = event.get("event", "message")
        data = json.loads(event["data"])
        if name == "accepted":
            self.accepted = True
        elif name == "restart":
            self.text = ""
            self.last_id = event.get("id")
        elif name == "token":
            self._take_token(event, data)
            if on_token:
                on_token(self)
        elif name == "done":
            self.path = data["path"]
            return True
        elif name in FINAL_EVENTS and data.get("reason") != "not-confirmed":
            raise DemoFailure(f"{self.key}: {name} {data}")
        return False

    def _take_token(self, event, data):
        self.text += data["text"]
        self.last_id = event["id"]
        end = int(event["id"].rpartition("-")[2])
        if end != len(self.text.encode()):
            raise DemoFailure(f"{self.key}: a piece is doubled or missing at {end}")

    def check(self):
        expected = expected_answer(self.body["prompt"], self.body["max_tokens"])
        if self.text != expected:
            raise DemoFailure(f"{self.key}: the answer is not its own or not whole")


def call_service(key, body, address):
    """Sends one non-idempotent call; returns its result and path."""
    headers = common_headers("application/json") | {
        "idempotency-key": key, "x-idempotent": "false", "x-deadline-ms": "10000",
        "content-type": "application/json"}
    connection = connect(address, timeout=15.0)
    try:
        connection.request("POST", "/v1/services/floor-data/requests",
                           json.dumps(body), headers)
        response = connection.getresponse()
        answer = json.load(response)
    finally:
        connection.close()
    if response.status != 200:
        raise DemoFailure(f"{key}: {response.status} {answer}")
    if answer["result"]["ticket"] != expected_ticket(body):
        raise DemoFailure(f"{key}: the result is not its own: {answer}")
    return answer["result"], answer["path"]
