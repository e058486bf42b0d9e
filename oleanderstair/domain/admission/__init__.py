"""Admits calls by urgency while the capacity of their service is short.

``pressure`` estimates how short capacity is, ``threshold`` adjusts which share
of each rank is admitted, and ``decide`` rejects calls at their arrival.
``reserved_slots`` keeps free slots for urgent calls, and ``urgency`` orders the
ranks of a service. All of it is active only with
``admission_by_rank`` in the policy.
"""
