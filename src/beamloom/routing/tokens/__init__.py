"""Routing by tokens: each packet of an open flow says which backend it belongs to.

Used where both ends of a flow send back a value that a balancer wrote (the cookie of Cheetah,
NSDI 2020; the server id of QUIC-LB). Without I/O and without a clock of its own.
"""
