"""The decision core of one balancer: events in, commands out."""
