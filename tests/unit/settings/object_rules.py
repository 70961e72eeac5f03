"""Rules that write arbitrary objects to a store, for state machines of the configuration."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

TENANTS, SERVICES, BACKENDS = ("t", "u"), ("t/s", "t/r", "u/s"), ("1", "2")
SCOPES = ("global", "tenant/t", "service/t/s", "service/u/s")


class ObjectMachine(RuleBasedStateMachine):
    """Writes valid and invalid tenants, services and backends; a subclass implements `write`."""

    def write(self, key: str, value: object) -> None:
        raise NotImplementedError

    @rule(tenant=st.sampled_from(TENANTS), exists=st.booleans())
    def tenant(self, tenant: str, exists: bool) -> None:
        self.write(f"tenant/{tenant}", {} if exists else None)

    @rule(
        name=st.sampled_from(SERVICES),
        ip=st.sampled_from(["10.0.0.1", "10.0.0.2", "bad", None]),
    )
    def service(self, name: str, ip: str | None) -> None:
        value = {"ip": ip, "protocol": "udp", "port": 53}
        self.write(f"service/{name}", None if ip is None else value)

    @rule(
        name=st.sampled_from(SERVICES),
        number=st.sampled_from(BACKENDS),
        address=st.sampled_from(["127.0.0.1:1", "[::1]:2", "bad", None]),
    )
    def backend(self, name: str, number: str, address: str | None) -> None:
        value = {"address": address, "health": "127.0.0.1:9", "zone": "z"}
        self.write(f"backend/{name}/{number}", None if address is None else value)
