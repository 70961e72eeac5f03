"""Stand-ins for the platform, its endpoints and its clients, after PROTOCOL.md.

They use the standard library only and share no code with the software under review.
"""
