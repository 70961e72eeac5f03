"""A token node whose configuration has a route with an unreadable term."""

import unittest

from beamloom.platform import store_encoding
from beamloom.platform.store_objects import CONFIGURATION_KIND
from beamloom.routing.tokens.records import RoutePart, RouteRecord, RoutingConfiguration
from beamloom.standins.token_client import FlowState
from tests.functional.token_node_case import DESTINATION, METRICS_PORT, TokenNodeCase


class UnreadableTermTest(TokenNodeCase):
    network = "127.61.41"

    async def test_it_is_logged_and_counted_and_the_route_serves(self) -> None:
        self.add_endpoint(1)
        self.configure_with(1, priority="highest")
        self.start_node(1)
        await self.wait_until_ready(1)
        await self.wait_for_line(1, "TermsUnreadable")
        events = [line for line in self.lines(1) if line["event"] == "TermsUnreadable"]
        self.assertIn("priority", str(events[0]["terms"]))
        flow = self.new_flow(2000)
        await self.play(1, [flow])
        self.assertIs(flow.state, FlowState.DONE)
        _, text = await self.get(1, METRICS_PORT, "/metrics")
        self.assertIn('beamloom_packets_total{event="terms_unreadable"} 1.0', text)
        self.assertIn("beamloom_configuration_version 1.0", text)

    def configure_with(self, version: int, **terms: object) -> None:
        route = RouteRecord("route", DESTINATION, (RoutePart("tracker", 1.0),))
        content = store_encoding.encode_configuration(RoutingConfiguration(version, (route,)))
        content["routes"][0].update(terms)
        self.store.store.put(CONFIGURATION_KIND, "main", content)
        self.store.note_change()


if __name__ == "__main__":
    unittest.main()
