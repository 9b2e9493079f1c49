"""
Rollouts of new service versions by an operator's order: canary, promotion, rollback.

``orders`` holds the orders, ``runs`` the state of one process for one order. Evidence
is counted in ``evidence``, combined in ``evidence_merging`` and evaluated in
``analysis``. ``promotion`` says when an order may be promoted and completed,
``decider_rules`` which gateway decides and what status it writes; ``loop`` communicates
with peers and the store.
"""
