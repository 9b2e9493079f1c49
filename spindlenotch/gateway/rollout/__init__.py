"""
A service changes its version by an operator's order: canary, promotion or rollback.

``orders`` keeps what is ordered, ``runs`` what one process does for one order; the
evidence is counted in ``evidence`` and judged in ``analysis``; ``promotion`` says when
an order may end and ``deciding`` what is written; ``loop`` talks to peers and store.
"""
