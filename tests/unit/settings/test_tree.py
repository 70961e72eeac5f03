"""Inheritance in the tree matches a model of plain dicts, for any order of changes."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from beamloom.settings.declarations import DECLARATIONS, SettingLevel, SettingValue
from beamloom.settings.errors import InvalidScopeError, WrongLevelError
from beamloom.settings.tree import GLOBAL_SCOPE, Scope, SettingsTree

SCOPES = (GLOBAL_SCOPE, *(Scope(t) for t in "ab"), *(Scope(t, s) for t in "ab" for s in "xy"))
NAMES = ("flow.idle_timeout", "retry.budget_ratio", "limit.table_share")
VALUES = st.dictionaries(st.sampled_from(NAMES[:2]), st.sampled_from([0.25, 0.5]))


class TreeMachine(RuleBasedStateMachine):
    """Compares each effective value with the first one found from the scope upwards in a dict."""

    def __init__(self) -> None:
        super().__init__()
        self.tree = SettingsTree()
        self.oracle: dict[str, dict[str, SettingValue]] = {}
        self.revisions: dict[str, int] = {}
        self.revision = 0

    @rule(scope=st.sampled_from(SCOPES), values=VALUES)
    def replace(self, scope: Scope, values: dict[str, SettingValue]) -> None:
        self.revision += 1
        self.tree.replace(scope, values, self.revision)
        self.oracle[str(scope)] = values
        self.revisions[str(scope)] = self.revision

    @rule(scope=st.sampled_from(SCOPES))
    def remove(self, scope: Scope) -> None:
        self.tree.remove(scope)
        self.oracle.pop(str(scope), None)

    @invariant()
    def effective_values_agree(self) -> None:
        for scope in SCOPES:
            parts = str(scope).split("/")
            chain = [str(scope)]
            if len(parts) == 4:
                chain.append("/".join(parts[:2]))
            if len(parts) > 1:
                chain.append("global")
            for name in NAMES[:2]:
                expected: tuple[object, int] = (DECLARATIONS[name].default, 0)
                for place in chain:
                    if name in self.oracle.get(place, {}):
                        expected = (self.oracle[place][name], self.revisions[place])
                        break
                found = self.tree.effective(scope, name)
                assert (found.value, found.since_revision) == expected
                merged = self.tree.effective_values(scope).get(name, DECLARATIONS[name].default)
                assert merged == expected[0]

    @invariant()
    def rendering_shows_every_override_once(self) -> None:
        shown: dict[str, object] = {}
        waiting = [self.tree.render()]
        while waiting:
            node = waiting.pop()
            assert str(node.scope) not in shown
            shown[str(node.scope)] = dict(node.overrides)
            waiting.extend(node.children)
        for scope in self.oracle:
            assert shown.pop(scope) == self.oracle[scope]
        assert not any(shown.values())


class TreeTest(unittest.TestCase):
    def test_tree_agrees_with_oracle(self) -> None:
        run_state_machine_as_test(
            TreeMachine, settings=settings(derandomize=True, max_examples=50, deadline=None)
        )

    def test_scopes_and_object_keys_map_both_ways(self) -> None:
        for scope in SCOPES:
            self.assertEqual(Scope.parse(str(scope)), scope)
            self.assertEqual(Scope.from_object_key(scope.object_key), scope)
        for text in (
            "",
            "tenant",
            "tenant/",
            "tenant/a/b",
            "tenant/a/service/",
            "global/x",
            "tenant/a b",
            "service/a/x",
        ):
            with self.subTest(text=text), self.assertRaises(InvalidScopeError):
                Scope.parse(text)

    def test_limits_have_no_value_at_a_service(self) -> None:
        with self.assertRaises(WrongLevelError):
            SettingsTree().effective(Scope("a", "x"), "limit.table_share")
        self.assertEqual(Scope("a", "x").level, SettingLevel.SERVICE)
