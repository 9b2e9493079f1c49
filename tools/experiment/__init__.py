"""
Compares variants of the product by plays of the users' bench.

``plan`` reads what is to be played, ``plays`` plays it, ``results`` keeps what came of
it, ``paired`` tells differences from noise, ``report`` writes the page. The bench and
the sites are arguments: they are not part of this project.
"""
