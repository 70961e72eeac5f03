"""Routing by tokens: each packet of an open flow carries a token that identifies its backend.

This requires both ends of a flow to send back a value that a balancer wrote (the cookie of Cheetah,
NSDI 2020; the server id of QUIC-LB). The package does no I/O and reads no clock.
"""
