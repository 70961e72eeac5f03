"""Which backend a packet goes to: hashing, placement, flow table, partitions, forwarding."""
