"""
Experiments in virtual time with the real decision code.

Several balancers, exactly those of the daemon, run against fake workers with
slots and a speed. It is a fake at the interface: no platform, membership,
processes or network beyond constant delays.
"""
