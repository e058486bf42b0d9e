"""Calls, from their admission to their answer.

Two kinds of calls are handled. Calls to a service of a release note are
run by ``admission``, ``dispatching``, ``attempts`` and their helpers; see
``balancer``. Calls on a route of the configuration are run by ``routed``,
``sending``, ``waiting`` and their helpers; see ``gateway``.
"""
