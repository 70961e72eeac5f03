"""Settings reject values of a wrong type or range, and the reference page is current."""

import dataclasses
import unittest
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from beamloom.model.contracts import ServicePolicy, TenantLimits
from beamloom.settings.declarations import DECLARATIONS, SettingLevel
from beamloom.settings.errors import (
    OutOfBoundsError,
    SettingsError,
    UnknownSettingError,
    WrongLevelError,
    WrongTypeError,
)
from beamloom.settings.policies import service_policy, tenant_limits
from beamloom.settings.reference import render_reference
from beamloom.settings.tree import Scope, SettingsTree
from beamloom.settings.validation import check_setting, partition_values

PAGE = Path(__file__).resolve().parents[3] / "docs" / "SETTINGS.md"
SERVICE = SettingLevel.SERVICE
ANY_VALUE = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5)


class DeclarationsTest(unittest.TestCase):
    def test_faults_are_typed_and_name_the_remedy(self) -> None:
        for level, name, value, expected, remedy in (
            (SERVICE, "flow.idle_timeot", 3, UnknownSettingError, "flow.idle_timeout?"),
            (SERVICE, "flow.idle_timeout", "3", WrongTypeError, "1 to 86400"),
            (SERVICE, "flow.idle_timeout", True, WrongTypeError, "1 to 86400"),
            (SERVICE, "flow.idle_timeout", 0, OutOfBoundsError, "seconds"),
            (SERVICE, "flow.idle_timeout", float("nan"), OutOfBoundsError, "seconds"),
            (SERVICE, "request.repeat", "once", OutOfBoundsError, "allowed or never"),
            (SERVICE, "request.repeat", 1, WrongTypeError, "allowed or never"),
            (SERVICE, "limit.open_flows", 1, WrongLevelError, "global or tenant"),
            (SettingLevel.TENANT, "limit.open_flows", 1.5, WrongTypeError, "0 to"),
            (SettingLevel.TENANT, "limit.open_flows", 10**400, OutOfBoundsError, "flows"),
        ):
            with self.subTest(name=name, value=value), self.assertRaises(expected) as caught:
                check_setting(level, name, value)
            self.assertIn(remedy, str(caught.exception))

    def test_faults_are_all_reported_and_do_not_affect_valid_values(self) -> None:
        values = {"x": 1, "flow.idle_timeout": 0, "request.repeat": "never"}
        valid, errors = partition_values(SERVICE, values)
        self.assertEqual(valid, {"request.repeat": "never"})
        self.assertEqual([type(error) for error in errors], [UnknownSettingError, OutOfBoundsError])

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.sampled_from(sorted(DECLARATIONS)), ANY_VALUE)
    def test_any_value_is_accepted_or_rejected_with_a_remedy(
        self, name: str, value: object
    ) -> None:
        declaration = DECLARATIONS[name]
        try:
            accepted = declaration.check(value)
        except SettingsError as error:
            self.assertTrue(error.remedy)
        else:
            self.assertIs(type(accepted), type(declaration.default))
            self.assertEqual(declaration.parse(str(accepted)), accepted)

    def test_defaults_and_names_fit_the_contracts(self) -> None:
        tree = SettingsTree()
        self.assertEqual(service_policy(tree, Scope("t", "s")), ServicePolicy())
        self.assertEqual(tenant_limits(tree, Scope("t")), TenantLimits())
        fields = {
            field.name
            for kind in (ServicePolicy, TenantLimits)
            for field in dataclasses.fields(kind)
        }
        self.assertEqual({made.field_name for made in DECLARATIONS.values()}, fields)
        for declaration in DECLARATIONS.values():
            self.assertEqual(declaration.check(declaration.default), declaration.default)

    def test_reference_page_is_current(self) -> None:
        self.assertEqual(PAGE.read_text(), render_reference())
