"""A small config, as an operator of kombe-ops would send it."""

HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "hule930"


def config(version, services=("wuno96b",), routes=None, scaling=None):
    """Routes default to orders (non-idempotent) and check-ins (idempotent)."""
    if routes is None:
        routes = [
            {"name": "orders", "path_prefix": "/pufi791/",
             "kind": "non_idempotent", "max_attempts": 2,
             "service": services[0]},
            {"name": "checkins", "path_prefix": "/lohu930/",
             "kind": "idempotent", "max_attempts": 2, "service": services[0]},
        ]
    usual = {"host": HOST, "timeout_ms": 3000, "target_latency_ms": 300,
             "priority": 2, "public": False, "sticky": False,
             "resumable": False}
    scaled = {} if scaling is None else {"scaling": scaling}
    return {
        "version": version,
        "routes": [dict(usual, **one) for one in routes],
        "services": [dict(scaled, name=one, health_path="/healthz",
                          max_conns=130, protocol="h1", tls=False)
                     for one in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1,
                     "unit": "token_count", "plain_tokens": 200,
                     "rate_per_s": 384330, "burst": 384330}],
    }
