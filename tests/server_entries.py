"""The entry with which a database registers in the platform's store."""

SERVER_ENTRY = {
    "service": "orders",
    "addr": "10.128.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "coldLeftMs": 0,
    "dbRole": "replica",
    "seq": 4,
    "born": 1700000000000,
}
