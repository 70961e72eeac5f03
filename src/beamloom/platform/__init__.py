"""The users' platform: its packet layout, names, paths and formats, translated to beamloom's types.

Nothing in this folder decides anything, and nothing outside it (and `deploy/`) knows these names.
The page they come from is the users' PROTOCOL; what is unclear there is in docs/QUESTIONS.md.
"""
