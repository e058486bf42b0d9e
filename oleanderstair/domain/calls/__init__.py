"""Calls, from their admission to their answer.

Two kinds of calls are handled. Calls to a service of a release note are
handled by ``admission``, ``dispatching``, ``attempts`` and their helpers; see
``balancer``. Calls on a route of the configuration are handled by
``routed_calls``, ``routed_dispatching``, ``routed_queueing`` and their helpers;
see ``gateway``.
"""
