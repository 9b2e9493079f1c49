"""
What part a gateway plays among the others: who is active, who probes, who sends what.

Membership itself is the job of ``peers``; here equal views give equal parts.
"""
