"""Stand-ins of the platform for the cases of the second review; standard library only.

Store, endpoints, clients and routers run in the process of the script and follow the users' pages.
The nodes are the processes of `deploy/system.toml`.
"""
