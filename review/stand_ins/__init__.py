"""Stand-ins of the platform, servers and clients for the cases 6 to 10.

They need nothing but the standard library. All addresses are on loopback.
"""
