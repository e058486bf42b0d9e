"""The deployments that the gateway is measured on."""

import typing

from oleanderstair.emulator import neighbours, plans

_CATALOGO_NOISE: typing.Final = neighbours.Noise(share=0.35)
_BURZA_NOISE: typing.Final = neighbours.Noise(share=0.25)

COTOPAXI: typing.Final = plans.Plan(
    region='sierra',
    instances_by_data_centre={'latacunga': 8, 'ambato': 6, 'riobamba': 6},
    services=(
        plans.ServicePlan(
            'catalogo',
            {'latacunga': 7, 'ambato': 7, 'riobamba': 4},
            slots=6,
            queue=24,
            noise=_CATALOGO_NOISE,
        ),
        plans.ServicePlan(
            'calendario',
            {'latacunga': 4, 'ambato': 4, 'riobamba': 4},
            slots=6,
            queue=24,
            noise=_CATALOGO_NOISE,
        ),
    ),
    kinds=(
        plans.Kind(
            'catalogue-lookup',
            'catalogo',
            per_s=62,
            work=plans.Work(190, most_ms=2000),
            aim_ms=600,
            deadline_ms=1500,
            timeout_ms=1500,
            rank=2,
            late_worth=0.1,
        ),
        plans.Kind(
            'print-order',
            'catalogo',
            per_s=25,
            work=plans.Work(250, most_ms=2600),
            idempotent=False,
            aim_ms=800,
            deadline_ms=2000,
            timeout_ms=1200,
            rank=1,
            worth=2,
            late_worth=0.2,
        ),
        plans.Kind(
            'calendar-fetch',
            'calendario',
            per_s=23.9,
            work=plans.Work(470, most_ms=5000),
            aim_ms=1500,
            deadline_ms=4000,
            timeout_ms=2500,
            rank=2,
            late_worth=0.1,
        ),
    ),
    between_ms=0.5,
    wave=0.55,
    wave_ms=17_000,
)
COOPERATIVE: typing.Final = plans.Plan(
    region='zapad',
    instances_by_data_centre={
        'trnava': 6,
        'nitra': 4,
        'senec': 4,
        'pezinok': 4,
    },
    services=(
        plans.ServicePlan(
            'burza',
            {'trnava': 4, 'nitra': 5, 'senec': 3, 'pezinok': 3},
            noise=_BURZA_NOISE,
            crowded_factor=1.7,
        ),
        plans.ServicePlan(
            'sklad',
            {'trnava': 3, 'nitra': 3, 'senec': 4, 'pezinok': 2},
            noise=_BURZA_NOISE,
            crowded_factor=1.7,
        ),
    ),
    kinds=(
        plans.Kind(
            'listing-lookup',
            'burza',
            per_s=95.2,
            work=plans.Work(76, most_ms=810),
            aim_ms=250,
            deadline_ms=800,
            timeout_ms=800,
            rank=2,
            late_worth=0.1,
        ),
        plans.Kind(
            'remnant-reserve',
            'burza',
            per_s=27.9,
            work=plans.Work(100, most_ms=1100),
            idempotent=False,
            aim_ms=300,
            deadline_ms=1000,
            timeout_ms=1000,
            rank=1,
            worth=2,
            late_worth=0.2,
        ),
        plans.Kind(
            'stock-count',
            'sklad',
            per_s=41,
            work=plans.Work(190, most_ms=2000),
            aim_ms=600,
            deadline_ms=1500,
            timeout_ms=1500,
            rank=2,
            late_worth=0.1,
        ),
    ),
    between_ms=1.4,
    wave=0.55,
    wave_ms=13_000,
)
_DEPOT_NOISE: typing.Final = neighbours.Noise(share=0.25)
_DEPOT_SERVICE: typing.Final = plans.ServicePlan(
    '',
    {},
    slots=6,
    queue=12,
    noise=_DEPOT_NOISE,
    crowded_factor=1.7,
    connections=336,
)
DEPOTS: typing.Final = plans.Plan(
    region='pohjoinen',
    instances_by_data_centre={
        'oulu-a': 6,
        'kemi-b': 6,
        'kajaani-c': 5,
        'rovaniemi-d': 5,
    },
    services=(
        _DEPOT_SERVICE._replace(
            name='varasto-kysely',
            targets_by_data_centre={
                'oulu-a': 5,
                'kemi-b': 5,
                'kajaani-c': 5,
                'rovaniemi-d': 5,
            },
        ),
        _DEPOT_SERVICE._replace(
            name='lastaus-varaus',
            targets_by_data_centre={
                'oulu-a': 3,
                'kemi-b': 3,
                'kajaani-c': 3,
                'rovaniemi-d': 2,
            },
        ),
        _DEPOT_SERVICE._replace(
            name='asiakirja-arkisto',
            targets_by_data_centre={
                'oulu-a': 2,
                'kemi-b': 3,
                'kajaani-c': 1,
                'rovaniemi-d': 2,
            },
        ),
    ),
    kinds=(
        plans.Kind(
            'stock-lookup',
            'varasto-kysely',
            per_s=166,
            work=plans.Work(160, tail_share=0, most_ms=1200),
            aim_ms=400,
            deadline_ms=3000,
            timeout_ms=1500,
            worth=1.5,
            late_worth=0.061,
            retries=2,
            deadline_spread=0.15,
            host='stock.example',
        ),
        plans.Kind(
            'salt-release',
            'lastaus-varaus',
            per_s=69.6,
            work=plans.Work(210, tail_share=0, most_ms=1200),
            idempotent=False,
            aim_ms=1000,
            deadline_ms=4000,
            timeout_ms=2000,
            rank=2,
            worth=0.8,
            late_worth=0.12,
            retries=2,
            deadline_spread=0.15,
            host='release.example',
        ),
        plans.Kind(
            'manifest-export',
            'asiakirja-arkisto',
            per_s=22.9,
            work=plans.Work(130, tail_share=0, most_ms=770),
            aim_ms=400,
            deadline_ms=2500,
            timeout_ms=2500,
            rank=1,
            worth=0.8,
            late_worth=0.08,
            retries=2,
            deadline_spread=0.15,
            host='archive.example',
        ),
    ),
    between_ms=0.9,
    wave=0.15,
    wave_ms=11_000,
)
PLANS: typing.Final = {
    'cotopaxi': COTOPAXI,
    'cooperative': COOPERATIVE,
    'depots': DEPOTS,
}
