"""The adapter to the users' platform: translates its packets, names, paths and file formats.

It makes no decisions, and only it and `deploy/` use the platform's names. They are specified on the
users' PROTOCOL page; questions that the page leaves open are in docs/QUESTIONS.md.
"""
